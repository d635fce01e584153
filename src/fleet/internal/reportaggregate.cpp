#include "fireflyhaven/fleet/reportaggregate.h"

#include <algorithm>
#include <utility>

namespace fireflyhaven::fleet {

namespace {

constexpr std::size_t MAX_SESSIONS_PER_DIGEST = 600;
// The counters of an upstream without requests in flight stay in the digests for this long after their last change.
constexpr Duration IDLE_UPSTREAM_RETENTION { 3000 };

// Answers since the last report, if the counter may have restarted at 0 meanwhile.
std::uint32_t answersSince(std::uint32_t last, std::uint32_t current)
{
    return current >= last ? current - last : current;
}

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

void ReportAggregate::onReport(const HostId& source, const HostReport& report, bool newIncarnation, TimePoint now)
{
    Source& it = m_sources[source];
    if (newIncarnation) {
        clearLoad(it);
        it.upstreams.clear();
    }
    // A source that returns after a silence goes on with its trial counters.
    if (std::exchange(it.incarnation, report.incarnation) != report.incarnation) {
        for (const auto& [key, trial] : it.trials)
            addTrial(m_earlierTrials[key], trial);
        it.trials.clear();
    }
    for (const UpstreamCounters& counters : report.upstreams.items)
        applyCounters(it, counters, now);
    for (const TrialCounters& trial : report.trials.items)
        it.trials[{ trial.rollout, trial.route }] = trial;
    it.baselineTimes = report.baselineTimes.items;
    it.rollouts = report.rollouts.items;
    it.sessions = report.sessions.items;
    it.demands = report.demands.items;
    it.lastReportAt = now;
    it.silent = false;
    if (!report.upstreams.items.empty())
        it.lastBusyAt = now;
    // Trial counters of earlier incarnations count until no source reports a roll-out any more.
    const bool anyRollout = std::any_of(
        m_sources.begin(), m_sources.end(), [](const auto& entry) { return !entry.second.rollouts.empty(); });
    if (!anyRollout)
        m_earlierTrials.clear();
}

void ReportAggregate::onSilent(const HostId& source)
{
    const auto it = m_sources.find(source);
    if (it == m_sources.end())
        return;
    clearLoad(it->second);
    it->second.baselineTimes.clear();
    it->second.rollouts.clear();
    it->second.sessions.clear();
    it->second.demands.clear();
    it->second.silent = true;
}

void ReportAggregate::applyCounters(Source& source, const UpstreamCounters& counters, TimePoint now)
{
    const TrackedCounters first { .last
        = { .upstream = counters.upstream, .good = counters.good, .failed = counters.failed } };
    TrackedCounters& known = source.upstreams.try_emplace(counters.upstream, first).first->second;
    UpstreamSum& sum = m_sums[counters.upstream];
    sum.inFlight += counters.inFlight - known.last.inFlight;
    sum.pendingPrefillMs += counters.pendingPrefillMs - known.last.pendingPrefillMs;
    const std::uint32_t good = answersSince(known.last.good, counters.good);
    const std::uint32_t failed = answersSince(known.last.failed, counters.failed);
    sum.good += good;
    sum.failed += failed;
    known.countedGood += good;
    known.countedFailed += failed;
    if (known.last != counters)
        sum.changedAt = now;
    known.last = counters;
}

void ReportAggregate::clearLoad(Source& source)
{
    for (auto& [upstream, tracked] : source.upstreams) {
        UpstreamSum& sum = m_sums[upstream];
        sum.inFlight -= std::exchange(tracked.last.inFlight, 0);
        sum.pendingPrefillMs -= std::exchange(tracked.last.pendingPrefillMs, 0);
    }
}

void ReportAggregate::fill(FleetDigest& digest, const HostId& excluded, TimePoint now) const
{
    const auto it = m_sources.find(excluded);
    fillUpstreams(digest, it == m_sources.end() ? nullptr : &it->second, now);
    fillTrials(digest, excluded);
    fillViews(digest, excluded, now);
    fillDemands(digest, excluded);
}

void ReportAggregate::fillUpstreams(FleetDigest& digest, const Source* excluded, TimePoint now) const
{
    for (const auto& [upstream, sum] : m_sums) {
        UpstreamSum remaining = sum;
        if (excluded && excluded->upstreams.contains(upstream)) {
            const TrackedCounters& own = excluded->upstreams.at(upstream);
            remaining.inFlight -= own.last.inFlight;
            remaining.pendingPrefillMs -= own.last.pendingPrefillMs;
            remaining.good -= own.countedGood;
            remaining.failed -= own.countedFailed;
        }
        const bool isIdle = remaining.inFlight == 0 && remaining.pendingPrefillMs == 0
            && now - sum.changedAt >= IDLE_UPSTREAM_RETENTION;
        if (isIdle)
            continue;
        digest.upstreams.items.push_back({ .upstream = upstream,
            .inFlight = static_cast<std::uint16_t>(std::min<std::uint32_t>(remaining.inFlight, UINT16_MAX)),
            .pendingPrefillMs = remaining.pendingPrefillMs,
            .good = remaining.good,
            .failed = remaining.failed });
    }
}

void ReportAggregate::fillTrials(FleetDigest& digest, const HostId& excluded) const
{
    std::map<TrialKey, TrialCounters> sums = m_earlierTrials;
    std::map<ShortHash, quality::LatencyRatios> baselineTimes;
    for (const auto& [id, source] : m_sources) {
        if (id == excluded)
            continue;
        for (const auto& [key, trial] : source.trials)
            addTrial(sums[key], trial);
        for (const RouteTimes& it : source.baselineTimes)
            baselineTimes[it.route] += it.times;
    }
    for (const auto& [key, sum] : sums)
        digest.trials.items.push_back(sum);
    for (const auto& [route, times] : baselineTimes)
        digest.baselineTimes.items.push_back({ .route = route, .times = times });
}

// Merges the roll-out views and sessions of the sources. Their ages increase by the time since the source's last
// report.
void ReportAggregate::fillViews(FleetDigest& digest, const HostId& excluded, TimePoint now) const
{
    std::map<ShortHash, RolloutView> views;
    std::map<std::uint64_t, ActiveSession> sessions;
    for (const auto& [id, source] : m_sources) {
        if (id == excluded || source.silent)
            continue;
        const auto age = static_cast<std::uint32_t>((now - source.lastReportAt).count());
        for (const RolloutView& it : source.rollouts) {
            RolloutView& view = views[it.rollout];
            view.rollout = it.rollout;
            view.ageMs = std::max(view.ageMs, it.ageMs + age);
            view.rejected = view.rejected || it.rejected;
            view.completed = view.completed || it.completed;
        }
        for (ActiveSession it : source.sessions) {
            it.ageMs += age;
            ActiveSession& known = sessions.try_emplace(it.session, it).first->second;
            if (it.ageMs < known.ageMs)
                known = it;
        }
    }
    for (const auto& [session, it] : sessions) {
        if (digest.sessions.items.size() < MAX_SESSIONS_PER_DIGEST)
            digest.sessions.items.push_back(it);
    }
    for (const auto& [rollout, view] : views)
        digest.rollouts.items.push_back(view);
}

void ReportAggregate::fillDemands(FleetDigest& digest, const HostId& excluded) const
{
    std::map<ShortHash, PromptDemand> sums;
    for (const auto& [id, source] : m_sources) {
        if (id == excluded)
            continue;
        for (const PromptDemand& it : source.demands) {
            PromptDemand& sum = sums[it.service];
            sum.service = it.service;
            sum.longPrompts += it.longPrompts;
            sum.shortPrompts += it.shortPrompts;
        }
    }
    for (const auto& [service, sum] : sums)
        digest.demands.items.push_back(sum);
}

bool ReportAggregate::isBusy(const HostId& source, Duration within, TimePoint now) const
{
    const auto it = m_sources.find(source);
    return it != m_sources.end() && it->second.lastBusyAt != TimePoint {} && now - it->second.lastBusyAt < within;
}

}
