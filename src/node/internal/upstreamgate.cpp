#include "upstreamgate.h"

namespace fireflyhaven::node {

namespace {
// How often a waiting request looks whether it was cancelled or is too late.
constexpr Duration POLL_INTERVAL { 50 };
}

UpstreamGate::UpstreamGate(dispatch::RampOptions options, const IClock& clock)
    : m_clock(clock)
    , m_ramp(options, clock.now())
{
}

GateVerdict UpstreamGate::enter(admission::QueuedRequest request, const std::function<bool()>& cancelled)
{
    absl::MutexLock lock(&m_mutex);
    request.id = admission::TicketId(++m_lastTicket);
    const admission::OfferResult offered = m_queue.offer(request);
    if (offered.shedTicket)
        m_shed.insert(*offered.shedTicket);
    if (!offered.admitted)
        return GateVerdict::QueueFull;
    const auto decided = [&]() ABSL_SHARED_LOCKS_REQUIRED(
                             m_mutex) { return m_granted.count(request.id) > 0 || m_shed.count(request.id) > 0; };
    while (true) {
        grantTurns();
        m_mutex.AwaitWithTimeout(absl::Condition(&decided), absl::Milliseconds(POLL_INTERVAL.count()));
        if (m_granted.erase(request.id) > 0)
            return GateVerdict::Entered;
        if (m_shed.erase(request.id) > 0)
            return GateVerdict::Shed;
        const bool late = m_clock.now() > request.startBy;
        if (!late && !cancelled())
            continue;
        m_queue.remove(request.id);
        return late ? GateVerdict::TooLate : GateVerdict::Cancelled;
    }
}

void UpstreamGate::grantTurns()
{
    const TimePoint now = m_clock.now();
    while (m_ramp.allowance(now) > 0) {
        const std::optional<admission::TicketId> id = m_queue.pop(now);
        if (!id)
            return;
        m_ramp.onSent();
        m_granted.insert(*id);
    }
}

void UpstreamGate::leaveAnswered(std::optional<Duration> firstToken)
{
    absl::MutexLock lock(&m_mutex);
    m_ramp.onAnswered(firstToken);
    grantTurns();
}

void UpstreamGate::leaveFailed()
{
    absl::MutexLock lock(&m_mutex);
    m_ramp.onFailed();
    grantTurns();
}

void UpstreamGate::leaveRefused()
{
    absl::MutexLock lock(&m_mutex);
    m_ramp.onRefused();
    grantTurns();
}

void UpstreamGate::onTakeover()
{
    absl::MutexLock lock(&m_mutex);
    m_ramp.onTakeover(m_clock.now());
}

void UpstreamGate::setLimits(int coldLimit, int limit)
{
    absl::MutexLock lock(&m_mutex);
    m_ramp.setLimits(coldLimit, limit);
}

void UpstreamGate::onLoadReport(const dispatch::LoadReport& report)
{
    absl::MutexLock lock(&m_mutex);
    m_ramp.onLoadReport(report, m_clock.now());
    grantTurns();
}

membership::UpstreamLoad UpstreamGate::load(const UpstreamId& upstream) const
{
    absl::MutexLock lock(&m_mutex);
    const bool takingOver = m_ramp.phase(m_clock.now()) == dispatch::ConcurrencyRamp::Phase::TakingOver;
    return { .upstream = membership::shortIdOf(upstream.value()),
        .inFlight = static_cast<std::uint16_t>(m_ramp.inFlight()),
        .limit = static_cast<std::uint16_t>(takingOver ? 0 : m_ramp.currentLimit()),
        .queued = static_cast<std::uint16_t>(m_queue.size()) };
}

dispatch::ConcurrencyRamp::Phase UpstreamGate::phase() const
{
    absl::MutexLock lock(&m_mutex);
    return m_ramp.phase(m_clock.now());
}

}
