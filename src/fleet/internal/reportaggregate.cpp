#include "fireflyhaven/fleet/reportaggregate.h"

#include <algorithm>
#include <utility>

namespace fireflyhaven::fleet {

namespace {

// Sessions that one digest tells of.
constexpr std::size_t MOST_SESSIONS = 600;
// Counters of an upstream with nothing under way are told for this long after their last change.
constexpr Duration TOLD_AT_REST { 3000 };

void addTrial(TrialCounters& sum, const TrialCounters& it)
{
    sum.rollout = it.rollout;
    sum.route = it.route;
    sum.good += it.good;
    sum.failed += it.failed;
    sum.goodUnderLoad += it.goodUnderLoad;
    sum.failedUnderLoad += it.failedUnderLoad;
    sum.badUpstreams |= it.badUpstreams;
    sum.times += it.times;
}

}

void ReportAggregate::onReport(const HostId& source, const HostReport& report, bool newLife, TimePoint now)
{
    Source& it = m_sources[source];
    if (newLife) {
        clearLoad(it);
        it.upstreams.clear();
        for (const auto& [key, trial] : it.trials)
            addTrial(m_endedTrials[key], trial);
        it.trials.clear();
    }
    for (const UpstreamCounters& counters : report.upstreams.items)
        take(it, counters, now);
    for (const TrialCounters& trial : report.trials.items)
        it.trials[{ trial.rollout, trial.route }] = trial;
    it.oldTimes = report.oldTimes.items;
    it.rollouts = report.rollouts.items;
    it.sessions = report.sessions.items;
    it.heardAt = now;
    it.silent = false;
    if (!report.upstreams.items.empty())
        it.busyAt = now;
    // Trials of hosts that started anew count as long as the roll-out goes on.
    const bool anyRollout = std::any_of(
        m_sources.begin(), m_sources.end(), [](const auto& entry) { return !entry.second.rollouts.empty(); });
    if (!anyRollout)
        m_endedTrials.clear();
}

void ReportAggregate::onSilent(const HostId& source)
{
    const auto it = m_sources.find(source);
    if (it == m_sources.end())
        return;
    clearLoad(it->second);
    it->second.oldTimes.clear();
    it->second.rollouts.clear();
    it->second.sessions.clear();
    it->second.silent = true;
}

void ReportAggregate::take(Source& source, const UpstreamCounters& counters, TimePoint now)
{
    const Counted first { .last = { .upstream = counters.upstream, .good = counters.good, .failed = counters.failed },
        .goodBefore = counters.good,
        .failedBefore = counters.failed };
    Counted& known = source.upstreams.try_emplace(counters.upstream, first).first->second;
    Sum& sum = m_sums[counters.upstream];
    sum.inFlight += counters.inFlight - known.last.inFlight;
    sum.pendingPrefillMs += counters.pendingPrefillMs - known.last.pendingPrefillMs;
    sum.good += counters.good - known.last.good;
    sum.failed += counters.failed - known.last.failed;
    if (known.last != counters)
        sum.changedAt = now;
    known.last = counters;
}

void ReportAggregate::clearLoad(Source& source)
{
    for (auto& [upstream, counted] : source.upstreams) {
        Sum& sum = m_sums[upstream];
        sum.inFlight -= std::exchange(counted.last.inFlight, 0);
        sum.pendingPrefillMs -= std::exchange(counted.last.pendingPrefillMs, 0);
    }
}

void ReportAggregate::fill(FleetDigest& digest, const HostId& except, TimePoint now) const
{
    const auto it = m_sources.find(except);
    fillUpstreams(digest, it == m_sources.end() ? nullptr : &it->second, now);
    fillTrials(digest, except);
    fillViews(digest, except, now);
}

void ReportAggregate::fillUpstreams(FleetDigest& digest, const Source* except, TimePoint now) const
{
    for (const auto& [upstream, sum] : m_sums) {
        Sum rest = sum;
        if (except && except->upstreams.contains(upstream)) {
            const Counted& own = except->upstreams.at(upstream);
            rest.inFlight -= own.last.inFlight;
            rest.pendingPrefillMs -= own.last.pendingPrefillMs;
            rest.good -= own.last.good - own.goodBefore;
            rest.failed -= own.last.failed - own.failedBefore;
        }
        const bool atRest = rest.inFlight == 0 && rest.pendingPrefillMs == 0 && now - sum.changedAt >= TOLD_AT_REST;
        if (atRest)
            continue;
        digest.upstreams.items.push_back({ .upstream = upstream,
            .inFlight = static_cast<std::uint16_t>(std::min<std::uint32_t>(rest.inFlight, UINT16_MAX)),
            .pendingPrefillMs = rest.pendingPrefillMs,
            .good = rest.good,
            .failed = rest.failed });
    }
}

void ReportAggregate::fillTrials(FleetDigest& digest, const HostId& except) const
{
    std::map<TrialKey, TrialCounters> sums = m_endedTrials;
    std::map<ShortHash, quality::LatencyRatios> oldTimes;
    for (const auto& [id, source] : m_sources) {
        if (id == except)
            continue;
        for (const auto& [key, trial] : source.trials)
            addTrial(sums[key], trial);
        for (const RouteTimes& it : source.oldTimes)
            oldTimes[it.route] += it.times;
    }
    for (const auto& [key, sum] : sums)
        digest.trials.items.push_back(sum);
    for (const auto& [route, times] : oldTimes)
        digest.oldTimes.items.push_back({ .route = route, .times = times });
}

// Views and sessions grow older while they lie here.
void ReportAggregate::fillViews(FleetDigest& digest, const HostId& except, TimePoint now) const
{
    std::map<ShortHash, RolloutView> views;
    std::map<std::uint64_t, SessionAtWork> sessions;
    for (const auto& [id, source] : m_sources) {
        if (id == except || source.silent)
            continue;
        const auto age = static_cast<std::uint32_t>((now - source.heardAt).count());
        for (const RolloutView& it : source.rollouts) {
            RolloutView& view = views[it.rollout];
            view.rollout = it.rollout;
            view.ageMs = std::max(view.ageMs, it.ageMs + age);
            view.rejected = view.rejected || it.rejected;
            view.completed = view.completed || it.completed;
        }
        for (SessionAtWork it : source.sessions) {
            it.ageMs += age;
            SessionAtWork& known = sessions.try_emplace(it.session, it).first->second;
            if (it.ageMs < known.ageMs)
                known = it;
        }
    }
    for (const auto& [session, it] : sessions) {
        if (digest.sessions.items.size() < MOST_SESSIONS)
            digest.sessions.items.push_back(it);
    }
    for (const auto& [rollout, view] : views)
        digest.rollouts.items.push_back(view);
}

bool ReportAggregate::isBusy(const HostId& source, Duration within, TimePoint now) const
{
    const auto it = m_sources.find(source);
    return it != m_sources.end() && it->second.busyAt != TimePoint {} && now - it->second.busyAt < within;
}

}
