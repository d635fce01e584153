#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/fleet/types/hostreport.h"

#include <map>
#include <optional>

namespace fireflyhaven::fleet {

struct HostTableOptions {
    // A host that was not heard for this long takes no callers.
    Duration silence { 1800 };
    // A host that was not heard for this long no longer counts in shares of limits.
    Duration forgetShare { 12'000 };
    // A host that was not heard for this long gets no more reports.
    Duration forgetAddress { 60'000 };
    // Interval of reports to hosts that are silent.
    Duration probeInterval { 1000 };
};

// Another entry host, as its reports and its record in the store tell.
struct KnownHost {
    http::Endpoint peerAddress;
    HostReport report;
    // No value where only its record is known.
    std::optional<TimePoint> heardAt;
    TimePoint knownSince {};
    TimePoint probedAt {};
};

// The other entry hosts: who they are, which of them live, what each reported last. Does no I/O.
class HostTable {
public:
    HostTable(HostId self, HostTableOptions options = {});

    // A host's record in the store, or an address that another host named.
    void onAddress(const HostId& host, const http::Endpoint& peerAddress, TimePoint now);
    // Returns the earlier report, empty where there was none; no value where the report is old or the host's own.
    std::optional<HostReport> onReport(const HostReport& report, const http::Endpoint& from, TimePoint now);

    bool isLive(const KnownHost& host, TimePoint now) const;
    // Hosts that were heard lately, by id.
    std::vector<const KnownHost*> live(TimePoint now) const;
    // Hosts that may be sending to upstreams, this one included.
    int sharers(TimePoint now) const;
    // Addresses that are due for a report: all that live, and those that are probed.
    std::vector<http::Endpoint> reportTargets(TimePoint now);
    void forgetSilent(TimePoint now);
    const std::map<HostId, KnownHost>& hosts() const { return m_hosts; }
    const HostId& self() const { return m_self; }

private:
    const HostId m_self;
    const HostTableOptions m_options;
    std::map<HostId, KnownHost> m_hosts;
};

// The first of the hosts by rendezvous hash for the subject; all hosts with the same view choose the same one.
const HostId& firstByRendezvous(const std::vector<HostId>& hosts, std::string_view subject);

}
