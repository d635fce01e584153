#include "conductor.h"

#include "fireflyhaven/common/hash.h"
#include "fireflyhaven/telemetry/logevent.h"

#include <algorithm>

namespace fireflyhaven::entry {

namespace {
constexpr Duration RETRY { 300 };
const std::string PRODUCER = "rollouts";

const char* phaseText(catalog::RolloutPhase phase)
{
    switch (phase) {
    case catalog::RolloutPhase::Running:
        return "running";
    case catalog::RolloutPhase::Completed:
        return "completed";
    case catalog::RolloutPhase::RolledBack:
        return "rolled back";
    }
    return "";
}
}

Conductor::Conductor(const ConductorParts& parts)
    : m_parts(parts)
{
}

Conductor::~Conductor() { *m_alive = false; }

void Conductor::noteCapacity(TimePoint now)
{
    for (const ServiceName& service : m_parts.board.services()) {
        const auto target = m_parts.board.targetOf(service);
        rollout::VersionCapacity capacity;
        for (const auto& [id, it] : m_parts.catalog.upstreams()) {
            if (it.upstream.service != service || !it.isReady(now)
                || m_parts.catalog.isEvacuated(it.upstream.dataCentre))
                continue;
            const bool isNew = it.upstream.version == target;
            if (!isNew && m_parts.board.isRejected(service, it.upstream.version))
                continue;
            (isNew ? capacity.newSlots : capacity.oldSlots) += it.upstream.slots;
            capacity.inFlight += inFlightAt(id);
            if (isNew)
                noteNewUpstream(it, capacity, now);
        }
        m_parts.board.onCapacity(service, capacity);
    }
}

// Hosts that see the same upstreams choose the same one to put under load.
void Conductor::noteNewUpstream(
    const catalog::UpstreamState& it, rollout::VersionCapacity& capacity, TimePoint now) const
{
    const UpstreamId& id = it.upstream.id;
    ++capacity.newUpstreams;
    const bool fits = !it.isCold(now) && m_parts.balancer.isUsable(id, now);
    const bool first
        = !capacity.provingUpstream || stableHash(id.value()) < stableHash(capacity.provingUpstream->value());
    if (!fits || !first)
        return;
    capacity.provingUpstream = id;
    capacity.provingSlots = it.upstream.slots;
    capacity.provingInFlight = inFlightAt(id);
}

int Conductor::inFlightAt(const UpstreamId& id) const
{
    return m_parts.balancer.inFlight(id) + static_cast<int>(m_parts.peers.at(fleet::shortHashOf(id)).inFlight);
}

int Conductor::oldInFlight(const ServiceName& service) const
{
    const auto target = m_parts.board.targetOf(service);
    int n = 0;
    for (const auto& [id, it] : m_parts.catalog.upstreams()) {
        if (it.upstream.service != service || it.upstream.version == target)
            continue;
        n += inFlightAt(id);
    }
    return n;
}

bool Conductor::isStatusDue(TimePoint now) const
{
    const std::vector<ServiceName> services = m_parts.board.services();
    return std::any_of(services.begin(), services.end(), [&](const ServiceName& service) {
        return m_parts.board.statusDue(service, oldInFlight(service), now).has_value();
    });
}

void Conductor::tick(bool isWriter, TimePoint now)
{
    noteCapacity(now);
    if (!isWriter) {
        m_fence.reset();
        return;
    }
    if (m_calling || now < m_retryAt || !isStatusDue(now))
        return;
    if (!m_fence)
        return claim();
    for (const ServiceName& service : m_parts.board.services()) {
        if (const auto status = m_parts.board.statusDue(service, oldInFlight(service), now))
            return write(*status);
    }
}

// A later writer has a later wall clock, or is refused until it has. Two that claim in the same moment differ.
std::uint64_t Conductor::nextEpoch() const
{
    constexpr std::uint64_t HOSTS = 512;
    const auto wall = static_cast<std::uint64_t>(m_parts.clock.wallNow().time_since_epoch().count());
    return 2 * (wall * HOSTS + stableHash(m_parts.host.value()) % HOSTS);
}

void Conductor::claim()
{
    const std::uint64_t epoch = nextEpoch();
    m_calling = true;
    m_parts.store.claim(store::Topic::Status, { .producer = PRODUCER, .epoch = epoch },
        [this, alive = m_alive, epoch](const auto& outcome) {
            if (!*alive)
                return;
            if (!outcome.value)
                return onRefused("claim", outcome.reason);
            // The next epoch may begin at any sequence number, whether the claim counted or not.
            m_claimed = { .producer = PRODUCER, .epoch = epoch + 1 };
            readStatuses();
        });
}

void Conductor::readStatuses()
{
    m_parts.store.readNewest(store::Topic::Status, {}, [this, alive = m_alive](const auto& outcome) {
        if (!*alive)
            return;
        if (!outcome.value)
            return onRefused("read", outcome.reason);
        m_calling = false;
        for (const store::KeyedRecord& it : outcome.value->records) {
            if (const auto status = m_parts.codec.decodeRolloutStatus(it))
                m_parts.board.onStatus(*status);
        }
        m_fence = m_claimed;
    });
}

void Conductor::write(const catalog::RolloutStatus& status)
{
    m_calling = true;
    m_parts.store.put(store::Topic::Status, m_parts.codec.encodeRolloutStatus(status), m_fence,
        [this, alive = m_alive, status](const auto& outcome) {
            if (!*alive)
                return;
            if (!outcome.value)
                return onRefused("write", outcome.reason);
            m_calling = false;
            telemetry::logEvent(spdlog::level::info, "rollout_status_written",
                { { "service", status.service.value() }, { "version", status.target.value() },
                    { "status", phaseText(status.phase) } });
            if (m_fence)
                ++m_fence->sequence;
            m_parts.board.onStatus(status);
        });
}

// Whether the call was done is not known: the next try begins with a claim of its own.
void Conductor::onRefused(const char* call, const std::string& reason)
{
    telemetry::logEvent(spdlog::level::warn, "rollout_status_refused", { { "call", call }, { "reason", reason } });
    m_calling = false;
    m_retryAt = m_parts.clock.now() + RETRY;
    m_fence.reset();
}

}
