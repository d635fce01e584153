#include "fireflyhaven/balancing/balancer.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>

namespace fireflyhaven::balancing {

namespace {

// Time in which a host finds out whether it is cut off, before it tells the others of unanswered attempts.
constexpr Duration FAILURE_CONFIRMATION_TIME { 1500 };

double milliseconds(Duration it) { return static_cast<double>(it.count()); }

}

Balancer::Balancer(const catalog::Catalog& catalog, const fleet::PeerLoad& peers, const ratelimit::LimitTable& limits,
    BalancerOptions options)
    : m_catalog(catalog)
    , m_peers(peers)
    , m_limits(limits)
    , m_options(std::move(options))
{
}

bool Balancer::matches(const catalog::UpstreamState& it, const UpstreamRequirements& requirements, TimePoint now) const
{
    const auto& upstream = it.upstream;
    return upstream.service == requirements.service && it.isReady(now)
        && !m_notices.isDraining(upstream.id, upstream.startedAtMs) && !m_catalog.isEvacuated(upstream.dataCentre)
        && (!requirements.requiredUpstream || upstream.id == *requirements.requiredUpstream)
        && (!requirements.requiredVersion || upstream.version == *requirements.requiredVersion)
        && std::find(requirements.excludedVersions.begin(), requirements.excludedVersions.end(), upstream.version)
        == requirements.excludedVersions.end()
        && std::find(requirements.excludedUpstreams.begin(), requirements.excludedUpstreams.end(), upstream.id)
        == requirements.excludedUpstreams.end();
}

bool Balancer::isServable(const UpstreamRequirements& requirements, TimePoint startBy, TimePoint now) const
{
    return std::any_of(m_catalog.upstreams().begin(), m_catalog.upstreams().end(), [&](const auto& entry) {
        const catalog::Upstream& upstream = entry.second.upstream;
        return matches(entry.second, requirements, now)
            && !m_notices.isBackedOff(upstream.id, upstream.startedAtMs, startBy);
    });
}

double Balancer::warmupRate(const catalog::UpstreamState& it) const
{
    const catalog::Service* service = m_catalog.service(it.upstream.service);
    return service ? service->warmupRequestsPerSecond : 0;
}

bool Balancer::maySendTo(const catalog::UpstreamState& it, LocalState& state, int hostCount, TimePoint now)
{
    if (m_notices.isBackedOff(it.upstream.id, it.upstream.startedAtMs, now))
        return false;
    const catalog::Service* service = m_catalog.service(it.upstream.service);
    const int slots = it.upstream.slots;
    const int queue = std::max(1, static_cast<int>(m_options.queueFraction * slots));
    const int totalInFlight
        = state.inFlight + static_cast<int>(m_peers.at(fleet::shortHashOf(it.upstream.id)).inFlight);
    if (totalInFlight >= slots + queue)
        return false;
    if (service && state.inFlight >= std::max(1, service->maxConnections / std::max(1, hostCount)))
        return false;
    if (!it.isCold(now))
        return true;
    if (!state.pacer)
        state.pacer.emplace(combineHashes(m_options.seed, stableHash(it.upstream.id.value())));
    return state.pacer->maySend(warmupRate(it), hostCount, now);
}

std::optional<RequestRate> Balancer::limitOf(const catalog::UpstreamState& upstream) const
{
    if (m_limits.empty())
        return std::nullopt;
    return m_limits.limitOf(ratelimit::incarnationOf(upstream.upstream.id, upstream.upstream.startedAtMs));
}

template <typename Predicate>
std::vector<Balancer::Candidate> Balancer::eligibleCandidates(
    const UpstreamRequirements& requirements, int hostCount, TimePoint now, Predicate includes)
{
    std::vector<Candidate> usable;
    std::vector<Candidate> ejected;
    for (const auto& [id, it] : m_catalog.upstreams()) {
        if (!matches(it, requirements, now))
            continue;
        LocalState& state = localState(id);
        if (!maySendTo(it, state, hostCount, now) || (limitOf(it) && !includes(id, state)))
            continue;
        if (requirements.condition == UpstreamCondition::Healthy && !state.health.isHealthy())
            continue;
        (state.health.isUsable(now) ? usable : ejected).push_back({ .upstream = &it, .state = &state });
    }
    // If all candidates look bad, the fault lies elsewhere, and avoiding them all would stop the service.
    const bool takesEjected = usable.empty() && requirements.condition == UpstreamCondition::Any;
    return takesEjected ? ejected : usable;
}

std::vector<Balancer::Candidate> Balancer::candidatesWithPermits(
    const UpstreamRequirements& requirements, int hostCount, TimePoint until, TimePoint now)
{
    return eligibleCandidates(requirements, hostCount, now, [&](const UpstreamId&, const LocalState& state) {
        return state.openPermitRequests < m_options.maxOpenPermitRequests && state.permitsRefusedUntil <= until;
    });
}

std::optional<PermitNeed> Balancer::neededPermit(const UpstreamRequirements& requirements, int hostCount, TimePoint now)
{
    if (m_limits.empty())
        return std::nullopt;
    std::vector<Candidate> candidates = candidatesWithPermits(requirements, hostCount, now, now);
    const bool hasAlternative = candidates.size() > 1;
    // A request that no upstream may take now can wait for the next permit.
    if (candidates.empty())
        candidates = candidatesWithPermits(requirements, hostCount, now + m_options.maxPermitWait, now);
    const Candidate* best = pickBest(candidates, requirements, now);
    const auto limit = best ? limitOf(*best->upstream) : std::nullopt;
    if (!limit)
        return std::nullopt;
    const catalog::Upstream& upstream = best->upstream->upstream;
    return PermitNeed { .upstream = upstream.id,
        .incarnation = ratelimit::incarnationOf(upstream.id, upstream.startedAtMs),
        .limit = *limit,
        .maxWait = hasAlternative ? Duration(0) : m_options.maxPermitWait,
        .longestWait = m_options.maxPermitWait };
}

std::vector<Balancer::Candidate> Balancer::candidatesWithPermission(
    const UpstreamRequirements& requirements, int hostCount, TimePoint now, const std::optional<UpstreamId>& permitted)
{
    return eligibleCandidates(requirements, hostCount, now,
        [&](const UpstreamId& id, const LocalState&) { return permitted && id == *permitted; });
}

bool Balancer::canSend(
    const UpstreamRequirements& requirements, int hostCount, TimePoint now, const std::optional<UpstreamId>& permitted)
{
    return !candidatesWithPermission(requirements, hostCount, now, permitted).empty();
}

std::optional<Ticket> Balancer::pickUpstream(
    const UpstreamRequirements& requirements, int hostCount, TimePoint now, const std::optional<UpstreamId>& permitted)
{
    std::vector<Candidate> candidates = candidatesWithPermission(requirements, hostCount, now, permitted);
    const auto isPermitted = [&](const Candidate& it) { return permitted && it.upstream->upstream.id == *permitted; };
    if (std::any_of(candidates.begin(), candidates.end(), isPermitted))
        std::erase_if(candidates, [&](const Candidate& it) { return !isPermitted(it); });
    const Candidate* candidate = pickBest(candidates, requirements, now);
    return candidate ? std::optional(recordSend(*candidate, requirements, hostCount, now)) : std::nullopt;
}

std::optional<TimePoint> Balancer::nextPermitAt(const UpstreamRequirements& requirements, TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const auto& [id, it] : m_catalog.upstreams()) {
        if (!matches(it, requirements, now))
            continue;
        if (!limitOf(it) || !isPermitRefused(id, now))
            return std::nullopt;
        const TimePoint until = m_localStates.at(id).permitsRefusedUntil;
        first = std::min(first.value_or(until), until);
    }
    return first;
}

bool Balancer::isPermitRefused(const UpstreamId& upstream, TimePoint now) const
{
    const auto it = m_localStates.find(upstream);
    return it != m_localStates.end() && now < it->second.permitsRefusedUntil;
}

void Balancer::onPermitRequested(const UpstreamId& upstream) { ++localState(upstream).openPermitRequests; }

void Balancer::onPermitClosed(const UpstreamId& upstream)
{
    const auto it = m_localStates.find(upstream);
    if (it != m_localStates.end())
        it->second.openPermitRequests = std::max(0, it->second.openPermitRequests - 1);
}

void Balancer::onPermitRefused(const UpstreamId& upstream, TimePoint until)
{
    const auto it = m_localStates.find(upstream);
    if (it != m_localStates.end())
        it->second.permitsRefusedUntil = until;
}

std::optional<LatencyEstimate> Balancer::estimateLatency(
    const UpstreamRequirements& requirements, int hostCount, TimePoint now)
{
    std::vector<Candidate> candidates = candidatesWithPermits(requirements, hostCount, now, now);
    const Candidate* candidate = pickBest(candidates, requirements, now);
    if (!candidate)
        return std::nullopt;
    return LatencyEstimate { .processingTime = candidate->processingTime, .queueingTime = candidate->queueingTime };
}

Ticket Balancer::recordSend(
    const Candidate& candidate, const UpstreamRequirements& requirements, int hostCount, TimePoint now)
{
    const UpstreamId& id = candidate.upstream->upstream.id;
    LocalState& state = *candidate.state;
    Ticket ticket { .number = m_nextTicket++,
        .upstream = id,
        .upstreamStartedAtMs = candidate.upstream->upstream.startedAtMs,
        .service = requirements.service,
        .model = requirements.model,
        .uncachedTokens = candidate.uncachedTokens,
        .processingTime = candidate.processingTime,
        .queueingTime = candidate.queueingTime,
        .baselineTime = candidate.baselineTime,
        .reportedWorkTime = candidate.reportedWorkTime,
        .sentAt = now,
        .isLongPrompt = m_partition.isLong(requirements.promptTokens) };
    ++state.inFlight;
    state.health.onSent();
    state.pendingSends.push_back({ .number = ticket.number,
        .processingTime = candidate.processingTime,
        .expectedBy = now + 2 * ticket.expectedTimeToFirstToken() + Duration(100) });
    if (candidate.upstream->isCold(now) && state.pacer)
        state.pacer->onSent(warmupRate(*candidate.upstream), hostCount, now);
    for (const SharedPrefix& it : sharedPrefixes(requirements.model, requirements.promptParts))
        m_prefixCaches.onPrefill(it.hash, id, now);
    if (!requirements.model.empty()) {
        const double usualMs
            = milliseconds(candidate.processingTime) / (candidate.reportedWorkTime * candidate.deviation);
        m_partition.onWork(requirements.service, ticket.isLongPrompt, usualMs, true, now);
    }
    return ticket;
}

void Balancer::onEnded(const Ticket& ticket, SendOutcome outcome, TimePoint now)
{
    const auto it = m_localStates.find(ticket.upstream);
    if (it == m_localStates.end())
        return;
    LocalState& state = it->second;
    state.inFlight = std::max(0, state.inFlight - 1);
    state.health.onEnded();
    std::erase_if(state.pendingSends, [&](const PendingSend& p) { return p.number == ticket.number; });
    ServiceHealth& service = m_serviceHealth[ticket.service];
    if (outcome == SendOutcome::Unreachable || outcome == SendOutcome::Misdirected)
        state.health.onUnreachable(now);
    if (outcome == SendOutcome::Cancelled)
        return;
    recordDecode(ticket, now);
    if (outcome == SendOutcome::Unanswered || outcome == SendOutcome::Unreachable)
        return recordUnanswered(state, service, now);
    const bool succeeded = outcome == SendOutcome::Succeeded;
    ++(succeeded ? state.successes : state.failures);
    (succeeded ? service.successes : service.failures).add(1, now);
    state.health.onAnswers(succeeded ? 1 : 0, succeeded ? 0 : 1, service, now);
}

void Balancer::onSilent(const Ticket& ticket, TimePoint now)
{
    const auto it = m_localStates.find(ticket.upstream);
    if (it != m_localStates.end())
        recordUnanswered(it->second, m_serviceHealth[ticket.service], now);
}

void Balancer::recordUnanswered(LocalState& state, ServiceHealth& service, TimePoint now)
{
    state.unconfirmedFailures.push_back(now);
    service.failures.add(1, now);
    state.health.onAnswers(0, 1, service, now);
}

void Balancer::confirmFailures(TimePoint now)
{
    for (auto& [id, state] : m_localStates) {
        const std::size_t confirmed = std::erase_if(
            state.unconfirmedFailures, [now](TimePoint at) { return now - at >= FAILURE_CONFIRMATION_TIME; });
        state.failures += static_cast<std::uint32_t>(confirmed);
    }
}

void Balancer::onCutOff()
{
    for (auto& [id, state] : m_localStates)
        state.unconfirmedFailures.clear();
}

void Balancer::onReachRestored()
{
    onCutOff();
    for (auto& [id, state] : m_localStates)
        state.health.forgetFailures();
}

void Balancer::onDraining(const Ticket& ticket, TimePoint now)
{
    m_notices.onDraining(ticket.upstream, ticket.upstreamStartedAtMs, now);
}

void Balancer::onBackoff(const Ticket& ticket, Duration wait, TimePoint now)
{
    m_notices.onBackoff(ticket.upstream, ticket.upstreamStartedAtMs, now + wait, now);
}

void Balancer::onPeerAnswers(const std::vector<fleet::AnswerCounts>& answers, TimePoint now)
{
    for (const fleet::AnswerCounts& it : answers) {
        if (it.good == 0 && it.failed == 0)
            continue;
        for (auto& [id, state] : m_localStates) {
            const catalog::UpstreamState* upstream = m_catalog.upstream(id);
            if (!upstream || fleet::shortHashOf(id) != it.upstream)
                continue;
            ServiceHealth& service = m_serviceHealth[upstream->upstream.service];
            service.successes.add(it.good, now);
            service.failures.add(it.failed, now);
            state.health.onAnswers(it.good, it.failed, service, now);
        }
    }
}

void Balancer::removeUpstream(const UpstreamId& upstream, TimePoint now)
{
    m_localStates.erase(upstream);
    m_prefixCaches.removeUpstream(upstream);
    m_speeds.removeUpstream(upstream, now);
}

void Balancer::expire(TimePoint now)
{
    confirmFailures(now);
    m_prefixCaches.expire(now);
    m_notices.expire(now);
    dividePrompts(now);
}

std::vector<fleet::UpstreamCounters> Balancer::counters(TimePoint now) const
{
    std::vector<fleet::UpstreamCounters> all;
    for (const auto& [id, state] : m_localStates) {
        all.push_back({ .upstream = fleet::shortHashOf(id),
            .inFlight = static_cast<std::uint16_t>(std::min(state.inFlight, UINT16_MAX)),
            .pendingPrefillMs = static_cast<std::uint32_t>(pendingTime(state, now).count()),
            .good = state.successes,
            .failed = state.failures });
    }
    return all;
}

int Balancer::inFlight(const UpstreamId& upstream) const
{
    const auto it = m_localStates.find(upstream);
    return it == m_localStates.end() ? 0 : it->second.inFlight;
}

double Balancer::nextRandom()
{
    m_randomState = combineHashes(m_randomState, m_options.seed);
    return unitInterval(m_randomState);
}

bool Balancer::isUsable(const UpstreamId& upstream, TimePoint now) const
{
    const auto it = m_localStates.find(upstream);
    return it == m_localStates.end() || it->second.health.isUsable(now);
}

Duration Balancer::pendingPrefill(const UpstreamId& upstream, TimePoint now) const
{
    const auto it = m_localStates.find(upstream);
    const Duration ownPending = it == m_localStates.end() ? Duration(0) : pendingTime(it->second, now);
    return ownPending + Duration(m_peers.at(fleet::shortHashOf(upstream)).pendingPrefillMs);
}

Balancer::LocalState& Balancer::localState(const UpstreamId& upstream) { return m_localStates[upstream]; }

}
