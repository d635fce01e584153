#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/fleet/types/fleetdigest.h"

#include <map>
#include <optional>

namespace fireflyhaven::fleet {

struct HostTableOptions {
    DataCentreId dataCentre;
    // Capacity of this host in thousandths of a core.
    std::uint16_t capacity = 0;
    // A host without a report of its own for this long is no longer live, unless an aggregator confirms it.
    Duration livenessTimeout { 1800 };
    // A host that is known through an aggregator is no longer live if the aggregator's last contact with it, according
    // to the rosters, is this long ago.
    Duration confirmationTimeout { 5500 };
    // A host without a sign of life for this long no longer counts as one that shares the upstreams' limits.
    Duration shareRetention { 12'000 };
    // A host without a sign of life for this long is removed and gets no more reports.
    Duration addressRetention { 60'000 };
    // Interval of reports to a host that is not live.
    Duration probeInterval { 1000 };
};

// State of another entry host, from its reports, the rosters of aggregators and its record in the store.
struct KnownHost {
    http::Endpoint peerAddress;
    HostReport report;
    // Receipt of the last report from this host itself; no value if there was none in its current incarnation.
    std::optional<TimePoint> lastReportAt;
    // Last sign of life other than a report: an entry in an aggregator's roster or a digest of the host itself. No
    // value if there was none or a newer roster of its data centre omits it.
    std::optional<TimePoint> confirmedAt;
    // When an expected message from it failed to arrive; applies until a later sign of life.
    std::optional<TimePoint> suspectedAt;
    TimePoint knownSince {};
    TimePoint probedAt {};
};

// State that this host reports about itself.
struct OwnState {
    bool acceptsRequests = false;
    bool reachesStore = false;
};

// Membership view of one host: the other entry hosts with their addresses, liveness and last reports. Does no I/O.
class HostTable {
public:
    HostTable(HostId self, HostTableOptions options = {});

    void setOwnState(const OwnState& state) { m_own = state; }
    // Whether reports go through aggregators, in which case the table holds only some hosts of the other data centres.
    void setLayered(bool layered) { m_layered = layered; }
    bool isLayered() const { return m_layered; }

    // Takes an address from a host's record in the store or from another host's report. Ignored while the host is live.
    void onAddress(const HostId& host, const http::Endpoint& peerAddress, TimePoint now);
    // Returns the previous report of the same incarnation, empty if there was none. Returns no value for a stale or
    // repeated report and for this host's own.
    std::optional<HostReport> onReport(const HostReport& report, const http::Endpoint& from, TimePoint now);
    // Takes the live hosts of a data centre from another host's digest.
    void onRoster(const Roster& roster, TimePoint now);

    // Records a sign of life other than a report.
    void markAlive(const HostId& host, TimePoint now);
    // Records that an expected message from the host did not arrive.
    void markSuspected(const HostId& host, TimePoint now);

    bool isLive(const KnownHost& host, TimePoint now) const;
    // Whether a report came from the host itself within the liveness timeout.
    bool hasRecentReport(const KnownHost& host, TimePoint now) const;
    // Live hosts in order of their ids.
    std::vector<const KnownHost*> live(TimePoint now) const;
    // Live hosts of a data centre, this host included, in the same order on all hosts with the same view: hosts that
    // accept requests first, then by capacity (largest first, where all hosts above a small capacity rank as equal),
    // then by hash of the id.
    std::vector<HostId> ranked(const DataCentreId& dataCentre, TimePoint now) const;
    // Data centres with live hosts, and this host's data centre.
    std::vector<DataCentreId> dataCentres(TimePoint now) const;
    // The first host by rank that reaches the store, for each data centre that has one.
    std::vector<HostId> storeReaders(TimePoint now) const;
    bool reachesStore(const HostId& host) const;
    bool acceptsRequests(const HostId& host) const;
    // Number of hosts in this table that may be sending to upstreams and share their limits, this one included.
    int sharingHostCount(TimePoint now) const;
    // Addresses of all live hosts and of at most `maxProbes` other hosts that are due for a probe. Probes are limited
    // because a starting host receives the addresses of hundreds of others, and all hosts may start at once.
    std::vector<http::Endpoint> reportTargets(std::size_t maxProbes, TimePoint now);
    // Addresses of at most `maxTargets` hosts that are not live and are due for a probe. Restarts their probe interval.
    std::vector<http::Endpoint> probeTargets(std::size_t maxTargets, TimePoint now);
    void removeExpired(TimePoint now);
    const std::map<HostId, KnownHost>& hosts() const { return m_hosts; }
    const HostId& self() const { return m_self; }
    const DataCentreId& ownDataCentre() const { return m_options.dataCentre; }

private:
    static std::optional<TimePoint> lastSeen(const KnownHost& host);

    const HostId m_self;
    const HostTableOptions m_options;
    OwnState m_own;
    bool m_layered = false;
    std::map<HostId, KnownHost> m_hosts;
};

// Chooses a host for the subject by rendezvous hashing; all hosts with the same list choose the same one. The list must
// not be empty.
const HostId& firstByRendezvous(const std::vector<HostId>& hosts, std::string_view subject);

}
