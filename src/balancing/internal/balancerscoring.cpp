#include "fireflyhaven/balancing/balancer.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>

// The part of the balancer that estimates what a request takes at each upstream.
namespace fireflyhaven::balancing {

namespace {

// Prior latency model, until samples replace it.
constexpr double INITIAL_INTERCEPT_MS = 30;
constexpr double INITIAL_MS_PER_TOKEN = 0.03;
// Lets the number of in-flight requests decide between candidates with similar expected times.
constexpr double COST_PER_REQUEST_MS = 1;
// Random cost, so that hosts with the same view of the loads do not all choose the same upstream.
constexpr double MAX_JITTER_MS = 2;
// Added to both times of a ratio of observed to expected time, since ratios of times below it are noise.
constexpr double RATIO_FLOOR_MS = 30;
// Interval at which the upstreams are divided anew.
constexpr Duration DIVISION_INTERVAL { 500 };
// Speeds of upstreams in one report.
constexpr std::size_t MAX_REPORTED_SPEEDS = 16;

double milliseconds(Duration it) { return static_cast<double>(it.count()); }

Duration duration(double ms) { return Duration(static_cast<Duration::rep>(std::max(0.0, ms))); }

}

Duration Balancer::pendingTime(const LocalState& state, TimePoint now)
{
    Duration sum {};
    Duration overdue {};
    for (const PendingSend& it : state.pendingSends) {
        sum += it.processingTime;
        overdue = std::max(overdue, now - it.expectedBy);
    }
    // An overdue request shows that the upstream is slower than expected; it may be hanging.
    return std::max(sum, overdue);
}

Duration Balancer::queueingTimeOf(
    const catalog::UpstreamState& it, const LocalState& state, const UpstreamRequirements& requirements, TimePoint now)
{
    const fleet::PeerLoadSum peers = m_peers.at(fleet::shortHashOf(it.upstream.id));
    if (!requirements.model.empty())
        return pendingTime(state, now) + Duration(peers.pendingPrefillMs);
    const int totalInFlight = state.inFlight + static_cast<int>(peers.inFlight);
    const int slots = std::max(1, it.upstream.slots);
    const double rounds = std::max(0, totalInFlight - slots + 1) / static_cast<double>(slots);
    const Duration queue = duration(rounds * latencyModel(requirements.service, requirements.model).predict(0));
    Duration overdue {};
    for (const PendingSend& pending : state.pendingSends)
        overdue = std::max(overdue, now - pending.expectedBy);
    return std::max(queue, overdue);
}

void Balancer::scoreCandidates(
    std::vector<Candidate>& candidates, const UpstreamRequirements& requirements, TimePoint now)
{
    const LatencyModel& model = latencyModel(requirements.service, requirements.model);
    for (Candidate& it : candidates) {
        it.uncachedTokens = requirements.promptTokens;
        it.queueingTime = queueingTimeOf(*it.upstream, *it.state, requirements, now);
        const bool remote = it.upstream->upstream.dataCentre != m_options.ownDataCentre;
        const int totalInFlight
            = it.state->inFlight + static_cast<int>(m_peers.at(fleet::shortHashOf(it.upstream->upstream.id)).inFlight);
        it.cost = COST_PER_REQUEST_MS * totalInFlight + (remote ? milliseconds(m_options.remotePenalty) : 0)
            + MAX_JITTER_MS * nextRandom();
    }
    scorePrefixCaching(candidates, requirements, now);
    for (Candidate& it : candidates) {
        const UpstreamId& id = it.upstream->upstream.id;
        it.reportedWorkTime = m_speeds.reported(id, now);
        it.deviation = m_speeds.deviation(id, now);
        const double usualMs = model.predict(it.uncachedTokens);
        // The queueing time at a model engine already includes the engine's slowness.
        const double baselineQueueingMs
            = milliseconds(it.queueingTime) / (requirements.model.empty() ? 1 : std::max(1.0, it.deviation));
        it.baselineTime = duration(it.reportedWorkTime * usualMs + baselineQueueingMs);
        it.processingTime = duration(it.reportedWorkTime * it.deviation * usualMs);
        it.cost += milliseconds(it.processingTime) + it.deviation * milliseconds(it.queueingTime)
            + partitionCost(it, requirements);
    }
}

double Balancer::partitionCost(const Candidate& candidate, const UpstreamRequirements& requirements) const
{
    const ServiceName& service = requirements.service;
    if (requirements.model.empty() || !m_partition.isDivided(service))
        return 0;
    const bool isLong = m_partition.isLong(requirements.promptTokens);
    if (isLong == m_partition.isForLongPrompts(service, candidate.upstream->upstream.id))
        return 0;
    if (isLong)
        return m_options.displacementWeight * milliseconds(candidate.processingTime);
    const Duration wait = m_partition.expectedWaitAmongLongPrompts(service);
    return candidate.reportedWorkTime * candidate.deviation * milliseconds(wait);
}

void Balancer::scorePrefixCaching(
    std::vector<Candidate>& candidates, const UpstreamRequirements& requirements, TimePoint now)
{
    const std::vector<SharedPrefix> prefixes = sharedPrefixes(requirements.model, requirements.promptParts);
    if (prefixes.empty())
        return;
    const SharedPrefix& longest = prefixes.back();
    const auto affinity = [&](const Candidate& it) {
        return combineHashes(stableHash(it.upstream->upstream.id.value()), longest.hash);
    };
    const auto home = std::max_element(candidates.begin(), candidates.end(),
        [&](const Candidate& a, const Candidate& b) { return affinity(a) < affinity(b); });
    const bool heldAnywhere = m_prefixCaches.isHeldAnywhere(longest.hash, now);
    const double slope = latencyModel(requirements.service, requirements.model).slope();
    for (Candidate& it : candidates) {
        std::uint32_t cached = 0;
        for (const SharedPrefix& prefix : prefixes) {
            if (m_prefixCaches.holds(prefix.hash, it.upstream->upstream.id, now))
                cached = std::max(cached, prefix.tokens);
        }
        if (!heldAnywhere && &it == &*home)
            cached = std::max(cached, static_cast<std::uint32_t>(m_options.homeCachedFraction * longest.tokens));
        it.uncachedTokens = requirements.promptTokens - std::min(requirements.promptTokens, cached);
        it.cost += m_options.cacheMissWeight * slope * (longest.tokens - std::min(cached, longest.tokens));
    }
}

const Balancer::Candidate* Balancer::pickBest(
    std::vector<Candidate>& candidates, const UpstreamRequirements& requirements, TimePoint now)
{
    if (candidates.empty())
        return nullptr;
    if (m_options.randomPolicy)
        return &candidates[static_cast<std::size_t>(nextRandom() * static_cast<double>(candidates.size()))];
    scoreCandidates(candidates, requirements, now);
    return &*std::min_element(
        candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
}

void Balancer::onLoadReport(const Ticket& ticket, const LoadReport& load, TimePoint now)
{
    if (load.workTimeFactor)
        m_speeds.onReported(ticket.upstream, *load.workTimeFactor, now);
}

void Balancer::onFirstToken(Ticket& ticket, TimePoint now)
{
    if (ticket.firstTokenAt)
        return;
    ticket.firstTokenAt = now;
    const auto it = m_localStates.find(ticket.upstream);
    if (it == m_localStates.end())
        return;
    LocalState& state = it->second;
    std::erase_if(state.pendingSends, [&](const PendingSend& p) { return p.number == ticket.number; });
    // What the upstream says now explains the time better than what was known when the request was sent.
    const double reported = m_speeds.reported(ticket.upstream, now);
    const double observed = milliseconds(now - ticket.sentAt);
    const double processing = milliseconds(ticket.processingTime) * reported / ticket.reportedWorkTime;
    const double expected = processing + milliseconds(ticket.queueingTime);
    m_speeds.onObserved(ticket.upstream, (observed + RATIO_FLOOR_MS) / (expected + RATIO_FLOOR_MS), now);
    // Samples from a slow upstream describe that upstream, not the service, and would distort the service's model.
    constexpr double MAX_DEVIATION_FOR_SAMPLES = 2;
    if (m_speeds.deviation(ticket.upstream, now) > MAX_DEVIATION_FOR_SAMPLES)
        return;
    const double processingMs = std::max(0.0, observed - milliseconds(ticket.queueingTime)) / reported;
    latencyModel(ticket.service, ticket.model).add(ticket.uncachedTokens, processingMs);
}

// Requests share an upstream's steps while they generate tokens, so that each takes the part of one slot.
void Balancer::recordDecode(const Ticket& ticket, TimePoint now)
{
    const catalog::UpstreamState* upstream = m_catalog.upstream(ticket.upstream);
    if (ticket.model.empty() || !ticket.firstTokenAt || !upstream)
        return;
    const double slotMs = milliseconds(now - *ticket.firstTokenAt) / std::max(1, upstream->upstream.slots);
    const double usualMs = slotMs / m_speeds.lasting(ticket.upstream, now);
    m_partition.onWork(ticket.service, ticket.isLongPrompt, usualMs, false, now);
}

bool Balancer::isDivisionWanted(const ServiceName& service, TimePoint now) const
{
    if (m_options.promptDivision != PromptDivision::WhereConfigured)
        return m_options.promptDivision == PromptDivision::Always;
    if (m_catalog.hasDeferrableRoute(service))
        return true;
    return std::any_of(m_catalog.upstreams().begin(), m_catalog.upstreams().end(), [&](const auto& entry) {
        return entry.second.upstream.service == service && m_speeds.isKnown(entry.first, now);
    });
}

void Balancer::dividePrompts(TimePoint now)
{
    if (now - m_dividedAt < DIVISION_INTERVAL)
        return;
    m_dividedAt = now;
    for (const catalog::Service& service : m_catalog.configuration().services) {
        if (!service.engine)
            continue;
        std::vector<PartitionMember> members;
        for (const auto& [id, it] : m_catalog.upstreams()) {
            const bool isMember = it.upstream.service == service.name && it.isReady(now)
                && !m_catalog.isEvacuated(it.upstream.dataCentre);
            if (isMember)
                members.push_back({ .upstream = id, .workTimeFactor = m_speeds.lasting(id, now) });
        }
        if (isDivisionWanted(service.name, now))
            m_partition.divide(service.name, std::move(members), now);
        else
            m_partition.clear(service.name);
    }
}

void Balancer::onPeerReport(const fleet::HostReport& report, TimePoint now)
{
    m_partition.onPeerDemands(report.host, report.demands.items);
    for (const fleet::UpstreamSpeed& it : report.speeds.items)
        m_speeds.onPeerMeasured(it.upstream, it.workTimeFactor(), it.age(), now);
}

void Balancer::fillReport(fleet::HostReport& report, TimePoint now)
{
    report.speeds.items = m_speeds.report(MAX_REPORTED_SPEEDS, now);
    const auto& services = m_catalog.configuration().services;
    const bool anyDivided
        = std::any_of(services.begin(), services.end(), [&](const auto& it) { return isDivisionWanted(it.name, now); });
    if (anyDivided)
        report.demands.items = m_partition.ownDemands(now);
}

LatencyModel& Balancer::latencyModel(const ServiceName& service, const catalog::ModelName& model)
{
    const auto it = m_latencyModels.try_emplace(
        { service, model }, INITIAL_INTERCEPT_MS, model.empty() ? 0 : INITIAL_MS_PER_TOKEN);
    return it.first->second;
}

}
