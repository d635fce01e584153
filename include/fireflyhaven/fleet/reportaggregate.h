#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/fleet/types/fleetdigest.h"

#include <absl/container/flat_hash_map.h>

#include <map>

namespace fireflyhaven::fleet {

// Sums up the reports of many sources: hosts, or data centres whose aggregators sent the sums of their hosts. Reports
// are idempotent, because the newest counters of a source replace its earlier ones. Does no I/O.
class ReportAggregate {
public:
    // Applies a report, which lists only the upstreams whose counters changed. `newIncarnation` is set if the source is
    // new, restarted or returned after a silence, which resets its upstream counters. Counts of answers that decrease
    // have restarted at 0.
    void onReport(const HostId& source, const HostReport& report, bool newIncarnation, TimePoint now);
    // Removes the source's in-flight work, roll-out views and sessions from the sums. Its counted answers, including
    // those of versions on trial, stay.
    void onSilent(const HostId& source);

    // Fills in the sums over all sources except `excluded` (none if the id is empty), with ages as of `now`.
    void fill(FleetDigest& digest, const HostId& excluded, TimePoint now) const;
    // Whether the source reported any upstream within this time.
    bool isBusy(const HostId& source, Duration within, TimePoint now) const;

private:
    using TrialKey = std::pair<ShortHash, ShortHash>;
    // Counters of one upstream in a source's last report, and its answers since the first report.
    struct TrackedCounters {
        UpstreamCounters last;
        std::uint32_t countedGood = 0;
        std::uint32_t countedFailed = 0;
    };
    struct Source {
        std::uint64_t incarnation = 0;
        absl::flat_hash_map<ShortHash, TrackedCounters> upstreams;
        std::map<TrialKey, TrialCounters> trials;
        std::vector<RouteTimes> baselineTimes;
        std::vector<RolloutView> rollouts;
        std::vector<ActiveSession> sessions;
        std::vector<PromptDemand> demands;
        TimePoint lastReportAt {};
        TimePoint lastBusyAt {};
        // A silent source contributes only its answer counts.
        bool silent = false;
    };
    struct UpstreamSum {
        std::uint32_t inFlight = 0;
        std::uint32_t pendingPrefillMs = 0;
        // Answers since the first report of each source. They stay when a source falls silent.
        std::uint32_t good = 0;
        std::uint32_t failed = 0;
        TimePoint changedAt {};
    };

    void applyCounters(Source& source, const UpstreamCounters& counters, TimePoint now);
    // Sets the source's in-flight work to zero and removes it from the sums.
    void clearLoad(Source& source);
    void fillUpstreams(FleetDigest& digest, const Source* excluded, TimePoint now) const;
    void fillTrials(FleetDigest& digest, const HostId& excluded) const;
    void fillViews(FleetDigest& digest, const HostId& excluded, TimePoint now) const;
    void fillDemands(FleetDigest& digest, const HostId& excluded) const;

    std::map<HostId, Source> m_sources;
    absl::flat_hash_map<ShortHash, UpstreamSum> m_sums;
    // Trial counters of earlier incarnations of the sources.
    std::map<TrialKey, TrialCounters> m_earlierTrials;
};

}
