#include "fireflyhaven/balancing/balancer.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>

namespace fireflyhaven::balancing {

namespace {

// Expected times until answers have shown better ones.
constexpr double FIRST_GUESS_BASE_MS = 30;
constexpr double FIRST_GUESS_MS_PER_TOKEN = 0.03;
// Small load differences decide where the expected times are alike.
constexpr double COST_PER_REQUEST_MS = 1;
// Hosts that see the same loads must not all choose the same upstream.
constexpr double MOST_JITTER_MS = 2;
constexpr double MOST_SLOWNESS = 16;
constexpr double LEAST_SLOWNESS = 0.5;
// Weight of the newest observation of slowness.
constexpr double SLOWNESS_WEIGHT = 0.3;
constexpr Duration SLOWNESS_HALF_LIFE { 4000 };
// Times below this are noise beside each other.
constexpr double SLOWNESS_FLOOR_MS = 30;

double milliseconds(Duration it) { return static_cast<double>(it.count()); }

Duration duration(double ms) { return Duration(static_cast<Duration::rep>(std::max(0.0, ms))); }

}

Balancer::Balancer(const catalog::Catalog& catalog, const fleet::PeerLoad& peers, BalancerOptions options)
    : m_catalog(catalog)
    , m_peers(peers)
    , m_options(std::move(options))
{
}

bool Balancer::fits(const catalog::UpstreamState& it, const Demand& demand, TimePoint now) const
{
    const auto& upstream = it.upstream;
    return upstream.service == demand.service && it.isReady(now)
        && !m_notices.isLeaving(upstream.id, upstream.startedAtMs) && !m_catalog.isEvacuated(upstream.dataCentre)
        && (!demand.onlyUpstream || upstream.id == *demand.onlyUpstream)
        && (!demand.onlyVersion || upstream.version == *demand.onlyVersion)
        && std::find(demand.notVersions.begin(), demand.notVersions.end(), upstream.version) == demand.notVersions.end()
        && std::find(demand.excluded.begin(), demand.excluded.end(), upstream.id) == demand.excluded.end();
}

bool Balancer::isServable(const Demand& demand, TimePoint startBy, TimePoint now) const
{
    return std::any_of(m_catalog.upstreams().begin(), m_catalog.upstreams().end(), [&](const auto& entry) {
        const catalog::Upstream& upstream = entry.second.upstream;
        return fits(entry.second, demand, now) && !m_notices.isBackedOff(upstream.id, upstream.startedAtMs, startBy);
    });
}

double Balancer::warmupRate(const catalog::UpstreamState& it) const
{
    const catalog::Service* service = m_catalog.service(it.upstream.service);
    return service ? service->warmupRequestsPerSecond : 0;
}

bool Balancer::mayTake(const catalog::UpstreamState& it, Load& load, int hosts, TimePoint now)
{
    if (m_notices.isBackedOff(it.upstream.id, it.upstream.startedAtMs, now))
        return false;
    const catalog::Service* service = m_catalog.service(it.upstream.service);
    const int slots = it.upstream.slots;
    const int queue = std::max(1, static_cast<int>(m_options.queueShare * slots));
    const int underWay = load.inFlight + static_cast<int>(m_peers.at(fleet::shortHashOf(it.upstream.id)).inFlight);
    if (underWay >= slots + queue)
        return false;
    if (service && load.inFlight >= std::max(1, service->maxConnections / std::max(1, hosts)))
        return false;
    if (!it.isCold(now))
        return true;
    if (!load.pacer)
        load.pacer.emplace(combineHashes(m_options.seed, stableHash(it.upstream.id.value())));
    return load.pacer->maySend(warmupRate(it), hosts, now);
}

std::vector<Balancer::Option> Balancer::options(const Demand& demand, int hosts, TimePoint now)
{
    std::vector<Option> healthy;
    std::vector<Option> left;
    for (const auto& [id, it] : m_catalog.upstreams()) {
        if (!fits(it, demand, now))
            continue;
        Load& load = loadOf(id);
        if (!mayTake(it, load, hosts, now))
            continue;
        (load.health.isUsable(now) ? healthy : left).push_back({ .upstream = &it, .load = &load });
    }
    // Where most look bad the fault lies elsewhere, and leaving them all would stop the service.
    return healthy.empty() ? left : healthy;
}

Duration Balancer::pendingTime(const Load& load, TimePoint now)
{
    Duration sum {};
    Duration overdue {};
    for (const Pending& it : load.pending) {
        sum += it.ownTime;
        overdue = std::max(overdue, now - it.expectedBy);
    }
    // A request that is overdue shows that the upstream is slower than thought; it may be hanging.
    return std::max(sum, overdue);
}

Duration Balancer::timeAheadOf(const catalog::UpstreamState& it, const Load& load, const Demand& demand, TimePoint now)
{
    const fleet::PeerLoadSum peers = m_peers.at(fleet::shortHashOf(it.upstream.id));
    if (!demand.model.empty())
        return pendingTime(load, now) + Duration(peers.pendingPrefillMs);
    const int underWay = load.inFlight + static_cast<int>(peers.inFlight);
    const int slots = std::max(1, it.upstream.slots);
    const double rounds = std::max(0, underWay - slots + 1) / static_cast<double>(slots);
    const Duration queue = duration(rounds * latency(demand.service, demand.model).predict(0));
    Duration overdue {};
    for (const Pending& pending : load.pending)
        overdue = std::max(overdue, now - pending.expectedBy);
    return std::max(queue, overdue);
}

double Balancer::slownessOf(const Load& load, TimePoint now)
{
    const double age = milliseconds(now - load.slownessAt) / milliseconds(SLOWNESS_HALF_LIFE);
    return 1 + (load.slowness - 1) * std::exp2(-std::max(0.0, age));
}

void Balancer::assess(std::vector<Option>& options, const Demand& demand, TimePoint now)
{
    const LatencyModel& model = latency(demand.service, demand.model);
    for (Option& it : options) {
        it.uncachedTokens = demand.promptTokens;
        it.timeAhead = timeAheadOf(*it.upstream, *it.load, demand, now);
        const bool remote = it.upstream->upstream.dataCentre != m_options.ownDataCentre;
        const int underWay
            = it.load->inFlight + static_cast<int>(m_peers.at(fleet::shortHashOf(it.upstream->upstream.id)).inFlight);
        it.cost = COST_PER_REQUEST_MS * underWay + (remote ? milliseconds(m_options.remotePenalty) : 0)
            + MOST_JITTER_MS * random();
    }
    assessPrompt(options, demand, now);
    for (Option& it : options) {
        const double slowness = slownessOf(*it.load, now);
        // What waits at an engine was counted with the engine's slowness in it.
        const double plainAhead = milliseconds(it.timeAhead) / (demand.model.empty() ? 1 : std::max(1.0, slowness));
        it.plainTime = duration(model.predict(it.uncachedTokens) + plainAhead);
        it.ownTime = duration(slowness * model.predict(it.uncachedTokens));
        it.cost += milliseconds(it.ownTime) + slowness * milliseconds(it.timeAhead);
    }
}

void Balancer::assessPrompt(std::vector<Option>& options, const Demand& demand, TimePoint now)
{
    const std::vector<SharedPrefix> prefixes = sharedPrefixes(demand.model, demand.promptParts);
    if (prefixes.empty())
        return;
    const SharedPrefix& deepest = prefixes.back();
    const auto affinity
        = [&](const Option& it) { return combineHashes(stableHash(it.upstream->upstream.id.value()), deepest.hash); };
    const auto home = std::max_element(
        options.begin(), options.end(), [&](const Option& a, const Option& b) { return affinity(a) < affinity(b); });
    const bool known = m_cache.isKnown(deepest.hash, now);
    const double slope = latency(demand.service, demand.model).slope();
    for (Option& it : options) {
        std::uint32_t cached = 0;
        for (const SharedPrefix& prefix : prefixes) {
            if (m_cache.holds(prefix.hash, it.upstream->upstream.id, now))
                cached = std::max(cached, prefix.tokens);
        }
        if (!known && &it == &*home)
            cached = std::max(cached, static_cast<std::uint32_t>(m_options.homeCredit * deepest.tokens));
        it.uncachedTokens = demand.promptTokens - std::min(demand.promptTokens, cached);
        it.cost += m_options.rereadWeight * slope * (deepest.tokens - std::min(cached, deepest.tokens));
    }
}

const Balancer::Option* Balancer::best(std::vector<Option>& options, const Demand& demand, TimePoint now)
{
    if (options.empty())
        return nullptr;
    if (m_options.naive)
        return &options[static_cast<std::size_t>(random() * static_cast<double>(options.size()))];
    assess(options, demand, now);
    return &*std::min_element(
        options.begin(), options.end(), [](const Option& a, const Option& b) { return a.cost < b.cost; });
}

std::optional<Ticket> Balancer::send(const Demand& demand, int hosts, TimePoint now)
{
    std::vector<Option> all = options(demand, hosts, now);
    const Option* option = best(all, demand, now);
    return option ? std::optional(take(*option, demand, hosts, now)) : std::nullopt;
}

std::optional<Outlook> Balancer::outlook(const Demand& demand, int hosts, TimePoint now)
{
    std::vector<Option> all = options(demand, hosts, now);
    const Option* option = best(all, demand, now);
    if (!option)
        return std::nullopt;
    return Outlook { .ownTime = option->ownTime, .timeAhead = option->timeAhead };
}

Ticket Balancer::take(const Option& option, const Demand& demand, int hosts, TimePoint now)
{
    const UpstreamId& id = option.upstream->upstream.id;
    Load& load = *option.load;
    Ticket ticket { .number = m_nextTicket++,
        .upstream = id,
        .upstreamBornMs = option.upstream->upstream.startedAtMs,
        .service = demand.service,
        .model = demand.model,
        .uncachedTokens = option.uncachedTokens,
        .ownTime = option.ownTime,
        .timeAhead = option.timeAhead,
        .plainTime = option.plainTime,
        .sentAt = now };
    ++load.inFlight;
    load.health.onSent();
    load.pending.push_back({ .number = ticket.number,
        .ownTime = option.ownTime,
        .expectedBy = now + 2 * ticket.expectedFirstToken() + Duration(100) });
    if (option.upstream->isCold(now) && load.pacer)
        load.pacer->onSent(warmupRate(*option.upstream), hosts, now);
    for (const SharedPrefix& it : sharedPrefixes(demand.model, demand.promptParts))
        m_cache.onRead(it.hash, id, now);
    return ticket;
}

void Balancer::onFirstToken(Ticket& ticket, TimePoint now)
{
    if (ticket.firstTokenSeen)
        return;
    ticket.firstTokenSeen = true;
    const auto it = m_loads.find(ticket.upstream);
    if (it == m_loads.end())
        return;
    Load& load = it->second;
    std::erase_if(load.pending, [&](const Pending& p) { return p.number == ticket.number; });
    const double observed = milliseconds(now - ticket.sentAt);
    const double expected = milliseconds(ticket.expectedFirstToken());
    const double ratio = (observed + SLOWNESS_FLOOR_MS) / (expected + SLOWNESS_FLOOR_MS);
    const double slowness = slownessOf(load, now);
    load.slowness
        = slowness + SLOWNESS_WEIGHT * (std::clamp(ratio * slowness, LEAST_SLOWNESS, MOST_SLOWNESS) - slowness);
    load.slownessAt = now;
    // A slow upstream tells of itself, not of what its service takes.
    constexpr double MOST_SLOWNESS_OF_SAMPLES = 2;
    if (load.slowness > MOST_SLOWNESS_OF_SAMPLES)
        return;
    const double own = std::max(0.0, observed - milliseconds(ticket.timeAhead));
    latency(ticket.service, ticket.model).add(ticket.uncachedTokens, own);
}

void Balancer::onEnded(const Ticket& ticket, SendOutcome outcome, TimePoint now)
{
    const auto it = m_loads.find(ticket.upstream);
    if (it == m_loads.end())
        return;
    Load& load = it->second;
    load.inFlight = std::max(0, load.inFlight - 1);
    load.health.onEnded();
    std::erase_if(load.pending, [&](const Pending& p) { return p.number == ticket.number; });
    ServiceHealth& service = m_serviceHealth[ticket.service];
    if (outcome == SendOutcome::Unreachable)
        load.health.onUnreachable(now);
    if (outcome == SendOutcome::Abandoned)
        return;
    const bool good = outcome == SendOutcome::Good;
    ++(good ? load.good : load.failed);
    (good ? service.good : service.failed).add(1, now);
    load.health.onAnswers(good ? 1 : 0, good ? 0 : 1, service, now);
}

void Balancer::onLeaving(const Ticket& ticket, TimePoint now)
{
    m_notices.onLeaving(ticket.upstream, ticket.upstreamBornMs, now);
}

void Balancer::onBackoff(const Ticket& ticket, Duration wait, TimePoint now)
{
    m_notices.onBackoff(ticket.upstream, ticket.upstreamBornMs, now + wait, now);
}

void Balancer::onPeerAnswers(const std::vector<fleet::AnswerCounts>& answers, TimePoint now)
{
    for (const fleet::AnswerCounts& it : answers) {
        if (it.good == 0 && it.failed == 0)
            continue;
        for (auto& [id, load] : m_loads) {
            const catalog::UpstreamState* upstream = m_catalog.upstream(id);
            if (!upstream || fleet::shortHashOf(id) != it.upstream)
                continue;
            ServiceHealth& service = m_serviceHealth[upstream->upstream.service];
            service.good.add(it.good, now);
            service.failed.add(it.failed, now);
            load.health.onAnswers(it.good, it.failed, service, now);
        }
    }
}

void Balancer::forget(const UpstreamId& upstream)
{
    m_loads.erase(upstream);
    m_cache.forget(upstream);
}

void Balancer::expire(TimePoint now)
{
    m_cache.expire(now);
    m_notices.expire(now);
}

std::vector<fleet::UpstreamCounters> Balancer::counters(TimePoint now) const
{
    std::vector<fleet::UpstreamCounters> all;
    for (const auto& [id, load] : m_loads) {
        all.push_back({ .upstream = fleet::shortHashOf(id),
            .inFlight = static_cast<std::uint16_t>(std::min(load.inFlight, UINT16_MAX)),
            .pendingPrefillMs = static_cast<std::uint32_t>(pendingTime(load, now).count()),
            .good = load.good,
            .failed = load.failed });
    }
    return all;
}

int Balancer::inFlight(const UpstreamId& upstream) const
{
    const auto it = m_loads.find(upstream);
    return it == m_loads.end() ? 0 : it->second.inFlight;
}

double Balancer::random()
{
    m_random = combineHashes(m_random, m_options.seed);
    return unitInterval(m_random);
}

bool Balancer::isUsable(const UpstreamId& upstream, TimePoint now) const
{
    const auto it = m_loads.find(upstream);
    return it == m_loads.end() || it->second.health.isUsable(now);
}

Duration Balancer::pendingPrefill(const UpstreamId& upstream, TimePoint now) const
{
    const auto it = m_loads.find(upstream);
    const Duration own = it == m_loads.end() ? Duration(0) : pendingTime(it->second, now);
    return own + Duration(m_peers.at(fleet::shortHashOf(upstream)).pendingPrefillMs);
}

Balancer::Load& Balancer::loadOf(const UpstreamId& upstream) { return m_loads[upstream]; }

LatencyModel& Balancer::latency(const ServiceName& service, const catalog::ModelName& model)
{
    const auto it = m_latencies.try_emplace(
        { service, model }, FIRST_GUESS_BASE_MS, model.empty() ? 0 : FIRST_GUESS_MS_PER_TOKEN);
    return it.first->second;
}

}
