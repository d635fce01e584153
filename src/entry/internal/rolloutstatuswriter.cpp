#include "rolloutstatuswriter.h"

#include "fireflyhaven/common/hash.h"
#include "fireflyhaven/telemetry/logevent.h"

#include <algorithm>

namespace fireflyhaven::entry {

namespace {
constexpr Duration RETRY_DELAY { 300 };
const std::string PRODUCER = "rollouts";

const char* phaseName(catalog::RolloutPhase phase)
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

RolloutStatusWriter::RolloutStatusWriter(const RolloutStatusWriterContext& context)
    : m_context(context)
{
}

RolloutStatusWriter::~RolloutStatusWriter() { *m_alive = false; }

void RolloutStatusWriter::updateCapacity(TimePoint now)
{
    for (const ServiceName& service : m_context.rollouts.services()) {
        const auto target = m_context.rollouts.targetOf(service);
        rollout::VersionCapacity capacity;
        for (const auto& [id, it] : m_context.catalog.upstreams()) {
            if (it.upstream.service != service || !it.isReady(now)
                || m_context.catalog.isEvacuated(it.upstream.dataCentre))
                continue;
            const bool isNew = it.upstream.version == target;
            if (!isNew && m_context.rollouts.isRejected(service, it.upstream.version))
                continue;
            (isNew ? capacity.newSlots : capacity.oldSlots) += it.upstream.slots;
            const int inFlight = inFlightAt(id);
            capacity.inFlight += inFlight;
            capacity.newInFlight += isNew ? inFlight : 0;
            if (isNew)
                addNewUpstream(it, capacity, now);
        }
        m_context.rollouts.onCapacity(service, capacity);
    }
}

// Adds an upstream with the target version to the capacity. The eligible one with the lowest hash becomes the proving
// upstream, so that hosts with the same view of the upstreams put the same one under load.
void RolloutStatusWriter::addNewUpstream(
    const catalog::UpstreamState& it, rollout::VersionCapacity& capacity, TimePoint now) const
{
    const UpstreamId& id = it.upstream.id;
    ++capacity.newUpstreams;
    const bool eligible = !it.isCold(now) && m_context.balancer.isUsable(id, now);
    const bool first
        = !capacity.provingUpstream || stableHash(id.value()) < stableHash(capacity.provingUpstream->value());
    if (!eligible || !first)
        return;
    capacity.provingUpstream = id;
    capacity.provingSlots = it.upstream.slots;
    capacity.provingInFlight = inFlightAt(id);
}

void RolloutStatusWriter::onPeerAnswers(const std::vector<fleet::AnswerCounts>& answers)
{
    if (m_context.rollouts.services().empty())
        return;
    std::map<fleet::ShortHash, std::uint32_t> counts;
    for (const fleet::AnswerCounts& it : answers)
        counts[it.upstream] += it.good + it.failed;
    for (const auto& [id, it] : m_context.catalog.upstreams()) {
        const auto found = counts.find(fleet::shortHashOf(id));
        if (found != counts.end())
            m_context.rollouts.onPeerAnswers(it.upstream.service, it.upstream.version, found->second);
    }
}

int RolloutStatusWriter::inFlightAt(const UpstreamId& id) const
{
    return m_context.balancer.inFlight(id) + static_cast<int>(m_context.peers.at(fleet::shortHashOf(id)).inFlight);
}

int RolloutStatusWriter::inFlightOnOtherVersions(const ServiceName& service) const
{
    const auto target = m_context.rollouts.targetOf(service);
    int n = 0;
    for (const auto& [id, it] : m_context.catalog.upstreams()) {
        if (it.upstream.service != service || it.upstream.version == target)
            continue;
        n += inFlightAt(id);
    }
    return n;
}

bool RolloutStatusWriter::isStatusDue(TimePoint now) const
{
    const std::vector<ServiceName> services = m_context.rollouts.services();
    return std::any_of(services.begin(), services.end(), [&](const ServiceName& service) {
        return m_context.rollouts.statusDue(service, inFlightOnOtherVersions(service), now).has_value();
    });
}

void RolloutStatusWriter::tick(bool isWriter, TimePoint now)
{
    updateCapacity(now);
    if (!isWriter) {
        m_fence.reset();
        return;
    }
    if (m_callInFlight || now < m_retryAt || !isStatusDue(now))
        return;
    if (!m_fence)
        return claim();
    for (const ServiceName& service : m_context.rollouts.services()) {
        if (const auto status = m_context.rollouts.statusDue(service, inFlightOnOtherVersions(service), now))
            return write(*status);
    }
}

// Epochs grow with the wall clock: a later writer whose clock is behind is refused until its clock has passed the
// earlier epoch. The hash of the host name separates claims of two hosts within the same millisecond. Epochs of claims
// are even, because the writes that follow a claim use the next higher epoch.
std::uint64_t RolloutStatusWriter::nextEpoch() const
{
    constexpr std::uint64_t HOST_HASH_RANGE = 512;
    const auto wall = static_cast<std::uint64_t>(m_context.clock.wallNow().time_since_epoch().count());
    return 2 * (wall * HOST_HASH_RANGE + stableHash(m_context.host.value()) % HOST_HASH_RANGE);
}

void RolloutStatusWriter::claim()
{
    const std::uint64_t epoch = nextEpoch();
    m_callInFlight = true;
    m_context.store.claim(store::Topic::Status, { .producer = PRODUCER, .epoch = epoch },
        [this, alive = m_alive, epoch](const auto& outcome) {
            if (!*alive)
                return;
            if (!outcome.value)
                return onCallFailed("claim", outcome.reason);
            // A new epoch may begin at any sequence number, so it does not matter whether the store counted the claim.
            m_claimedFence = { .producer = PRODUCER, .epoch = epoch + 1 };
            readStatuses();
        });
}

void RolloutStatusWriter::readStatuses()
{
    m_context.store.readNewest(store::Topic::Status, {}, nullptr, [this, alive = m_alive](const auto& outcome) {
        if (!*alive)
            return;
        if (!outcome.value)
            return onCallFailed("read", outcome.reason);
        m_callInFlight = false;
        for (const store::KeyedRecord& it : outcome.value->records) {
            if (const auto status = m_context.codec.decodeRolloutStatus(it))
                m_context.rollouts.onStatus(*status);
        }
        m_fence = m_claimedFence;
    });
}

void RolloutStatusWriter::write(const catalog::RolloutStatus& status)
{
    m_callInFlight = true;
    m_context.store.put(store::Topic::Status, m_context.codec.encodeRolloutStatus(status), m_fence,
        [this, alive = m_alive, status](const auto& outcome) {
            if (!*alive)
                return;
            if (!outcome.value)
                return onCallFailed("write", outcome.reason);
            m_callInFlight = false;
            telemetry::logEvent(spdlog::level::info, "rollout_status_written",
                { { "service", status.service.value() }, { "version", status.target.value() },
                    { "status", phaseName(status.phase) } });
            if (m_fence)
                ++m_fence->sequence;
            m_context.rollouts.onStatus(status);
        });
}

// The outcome of the failed call is unknown, so the next attempt starts with a new claim.
void RolloutStatusWriter::onCallFailed(const char* call, const std::string& reason)
{
    telemetry::logEvent(spdlog::level::warn, "rollout_status_refused", { { "call", call }, { "reason", reason } });
    m_callInFlight = false;
    m_retryAt = m_context.clock.now() + RETRY_DELAY;
    m_fence.reset();
}

}
