#include "conductor.h"

#include "fireflyhaven/telemetry/logevent.h"
#include "fireflyhaven/common/hash.h"

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

Conductor::Conductor(ConductorParts parts)
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

void Conductor::tick(bool isWriter, TimePoint now)
{
    noteCapacity(now);
    if (!isWriter) {
        m_fence.reset();
        return;
    }
    if (m_writing || now < m_retryAt)
        return;
    for (const ServiceName& service : m_parts.board.services()) {
        if (const auto status = m_parts.board.statusDue(service, oldInFlight(service), now))
            return write(*status);
    }
}

void Conductor::write(const catalog::RolloutStatus& status)
{
    // A later writer has a later wall clock, or is refused until it has.
    if (!m_fence) {
        const auto epoch = static_cast<std::uint64_t>(m_parts.clock.wallNow().time_since_epoch().count());
        m_fence = store::Fence { .producer = PRODUCER, .epoch = epoch, .sequence = 0 };
    }
    m_writing = true;
    m_parts.store.put(store::Topic::Status, m_parts.codec.encodeRolloutStatus(status), m_fence,
        [this, alive = m_alive, status](const auto& outcome) {
            if (!*alive)
                return;
            m_writing = false;
            if (outcome.value) {
                telemetry::logEvent(spdlog::level::info, "rollout_status_written",
                    { { "service", status.service.value() }, { "version", status.target.value() },
                        { "status", phaseText(status.phase) } });
                if (m_fence)
                    ++m_fence->sequence;
                return m_parts.board.onStatus(status);
            }
            telemetry::logEvent(spdlog::level::warn, "rollout_status_refused",
                { { "service", status.service.value() }, { "reason", outcome.reason } });
            m_retryAt = m_parts.clock.now() + RETRY;
            // Whether the call was done is not known: a new epoch makes its sequence number irrelevant.
            m_fence.reset();
        });
}

}
