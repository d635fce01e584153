#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/fleet/types/fleetdigest.h"

#include <map>
#include <optional>

namespace fireflyhaven::fleet {

struct HostTableOptions {
    DataCentreId dataCentre;
    // Of this host, in thousandths of a core.
    std::uint16_t capacity = 0;
    // A host that was not heard for this long takes no callers.
    Duration silence { 1800 };
    // A host that was last heard by an aggregator so long ago, as far as the aggregator told, takes none either.
    Duration vouchedSilence { 5500 };
    // A host that was not heard for this long no longer counts in shares of limits.
    Duration forgetShare { 12'000 };
    // A host that was not heard for this long gets no more reports.
    Duration forgetAddress { 60'000 };
    // Interval of reports to hosts that are silent.
    Duration probeInterval { 1000 };
};

// Another entry host, as its reports, its data centre's aggregators and its record in the store tell.
struct KnownHost {
    http::Endpoint peerAddress;
    HostReport report;
    // No value where it was not heard by this host itself.
    std::optional<TimePoint> heardAt;
    // When an aggregator heard it; no value where none vouches for it.
    std::optional<TimePoint> vouchedAt;
    // It should have been heard since and was not; holds until a later sign of life.
    std::optional<TimePoint> suspectedAt;
    TimePoint knownSince {};
    TimePoint probedAt {};
};

// What this host says of itself.
struct OwnState {
    bool takesCallers = false;
    bool reachesStore = false;
};

// The other entry hosts: who they are, which of them live, what each reported last. Does no I/O.
class HostTable {
public:
    HostTable(HostId self, HostTableOptions options = {});

    void setOwnState(const OwnState& state) { m_own = state; }
    // Whether reports go through aggregators: the hosts of other data centres are then known in part only.
    void setLayered(bool layered) { m_layered = layered; }
    bool isLayered() const { return m_layered; }

    // A host's record in the store, or an address that another host named.
    void onAddress(const HostId& host, const http::Endpoint& peerAddress, TimePoint now);
    // Returns the earlier report, empty where there was none; no value where the report is old or the host's own.
    std::optional<HostReport> onReport(const HostReport& report, const http::Endpoint& from, TimePoint now);
    // Another host names live hosts of a data centre.
    void onRoster(const Roster& roster, TimePoint now);

    // A message of another kind came from the host.
    void onSign(const HostId& host, TimePoint now);
    // The host should have been heard and was not.
    void onSuspected(const HostId& host, TimePoint now);

    bool isLive(const KnownHost& host, TimePoint now) const;
    // Whether this host itself heard it lately.
    bool isHeard(const KnownHost& host, TimePoint now) const;
    // Hosts that live, by id.
    std::vector<const KnownHost*> live(TimePoint now) const;
    // Live hosts of a data centre, this host included, in an order on which hosts with the same view agree: hosts that
    // take callers first, larger ones before small ones, then by rendezvous hash.
    std::vector<HostId> ranked(const DataCentreId& dataCentre, TimePoint now) const;
    // Data centres in which hosts live, this host's included.
    std::vector<DataCentreId> dataCentres(TimePoint now) const;
    // For each data centre, the first host by rank that reaches the store, if there is one.
    std::vector<HostId> storeReaders(TimePoint now) const;
    bool reachesStore(const HostId& host) const;
    bool takesCallers(const HostId& host) const;
    // Hosts that may be sending to upstreams, as far as they are known one by one, this one included.
    int sharers(TimePoint now) const;
    // Addresses that are due for a report: all that live, and some silent ones that are probed. A host that starts is
    // named hundreds of others, and all may start at once.
    std::vector<http::Endpoint> reportTargets(std::size_t mostProbes, TimePoint now);
    // Addresses of silent hosts that are due for a probe, at most so many.
    std::vector<http::Endpoint> probeTargets(std::size_t most, TimePoint now);
    void forgetSilent(TimePoint now);
    const std::map<HostId, KnownHost>& hosts() const { return m_hosts; }
    const HostId& self() const { return m_self; }
    const DataCentreId& ownDataCentre() const { return m_options.dataCentre; }

private:
    static std::optional<TimePoint> lastSign(const KnownHost& host);

    const HostId m_self;
    const HostTableOptions m_options;
    OwnState m_own;
    bool m_layered = false;
    std::map<HostId, KnownHost> m_hosts;
};

// The first of the hosts by rendezvous hash for the subject; all hosts with the same view choose the same one.
const HostId& firstByRendezvous(const std::vector<HostId>& hosts, std::string_view subject);

}
