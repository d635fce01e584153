#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/fleet/types/fleetdigest.h"

#include <absl/container/flat_hash_map.h>

#include <map>

namespace fireflyhaven::fleet {

// Adds up the reports of many sources: hosts, or data centres whose aggregators did the same. A report that comes twice
// counts once, since each source's newest counters replace its earlier ones. Does no I/O.
class ReportAggregate {
public:
    // A report names only the upstreams whose counters changed. `newLife` tells that the source started anew.
    void onReport(const HostId& source, const HostReport& report, bool newLife, TimePoint now);
    // What the source had under way no longer counts; the answers of a version on trial that it saw still do.
    void onSilent(const HostId& source);

    // Fills in the sums over all sources but one, at their current age. An empty id leaves out none.
    void fill(FleetDigest& digest, const HostId& except, TimePoint now) const;
    // Whether the source named upstreams within this time.
    bool isBusy(const HostId& source, Duration within, TimePoint now) const;

private:
    using TrialKey = std::pair<ShortHash, ShortHash>;
    // One upstream's counters as a source told them last, and what it had counted when it was first heard.
    struct Counted {
        UpstreamCounters last;
        std::uint32_t goodBefore = 0;
        std::uint32_t failedBefore = 0;
    };
    struct Source {
        absl::flat_hash_map<ShortHash, Counted> upstreams;
        std::map<TrialKey, TrialCounters> trials;
        std::vector<RouteTimes> oldTimes;
        std::vector<RolloutView> rollouts;
        std::vector<SessionAtWork> sessions;
        TimePoint heardAt {};
        TimePoint busyAt {};
        // Only its trials count.
        bool silent = false;
    };
    struct Sum {
        std::uint32_t inFlight = 0;
        std::uint32_t pendingPrefillMs = 0;
        // Answers since each source was first heard; a source that falls silent takes none of them away.
        std::uint32_t good = 0;
        std::uint32_t failed = 0;
        TimePoint changedAt {};
    };

    void take(Source& source, const UpstreamCounters& counters, TimePoint now);
    // The source has nothing under way any more.
    void clearLoad(Source& source);
    void fillUpstreams(FleetDigest& digest, const Source* except, TimePoint now) const;
    void fillTrials(FleetDigest& digest, const HostId& except) const;
    void fillViews(FleetDigest& digest, const HostId& except, TimePoint now) const;

    std::map<HostId, Source> m_sources;
    absl::flat_hash_map<ShortHash, Sum> m_sums;
    // Trials of earlier lives of the sources.
    std::map<TrialKey, TrialCounters> m_endedTrials;
};

}
