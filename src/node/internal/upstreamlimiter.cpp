#include "upstreamlimiter.h"

namespace fireflyhaven::node {

namespace {
// How often a waiting request checks whether it was cancelled or its start deadline has passed.
constexpr Duration POLL_INTERVAL { 50 };
}

UpstreamLimiter::UpstreamLimiter(dispatch::RampOptions options, const IClock& clock)
    : m_clock(clock)
    , m_ramp(options, clock.now())
{
}

AcquireResult UpstreamLimiter::acquire(admission::QueuedRequest request, const std::function<bool()>& cancelled)
{
    absl::MutexLock lock(&m_mutex);
    request.id = admission::TicketId(++m_lastTicket);
    const admission::OfferResult offered = m_queue.offer(request);
    if (offered.shedTicket)
        m_shed.insert(*offered.shedTicket);
    if (!offered.admitted)
        return AcquireResult::QueueFull;
    const auto decided = [&]() ABSL_SHARED_LOCKS_REQUIRED(
                             m_mutex) { return m_granted.count(request.id) > 0 || m_shed.count(request.id) > 0; };
    while (true) {
        grantSlots();
        m_mutex.AwaitWithTimeout(absl::Condition(&decided), absl::Milliseconds(POLL_INTERVAL.count()));
        if (m_granted.erase(request.id) > 0)
            return AcquireResult::Acquired;
        if (m_shed.erase(request.id) > 0)
            return AcquireResult::Shed;
        const bool timedOut = m_clock.now() > request.startBy;
        if (!timedOut && !cancelled())
            continue;
        m_queue.remove(request.id);
        return timedOut ? AcquireResult::TimedOut : AcquireResult::Cancelled;
    }
}

void UpstreamLimiter::grantSlots()
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

void UpstreamLimiter::releaseAnswered(std::optional<Duration> firstToken)
{
    absl::MutexLock lock(&m_mutex);
    m_ramp.onAnswered(firstToken);
    grantSlots();
}

void UpstreamLimiter::releaseFailed()
{
    absl::MutexLock lock(&m_mutex);
    m_ramp.onFailed();
    grantSlots();
}

void UpstreamLimiter::releaseRefused()
{
    absl::MutexLock lock(&m_mutex);
    m_ramp.onRefused();
    grantSlots();
}

void UpstreamLimiter::onTakeover()
{
    absl::MutexLock lock(&m_mutex);
    m_ramp.onTakeover(m_clock.now());
}

void UpstreamLimiter::setLimits(int coldLimit, int limit)
{
    absl::MutexLock lock(&m_mutex);
    m_ramp.setLimits(coldLimit, limit);
}

void UpstreamLimiter::onLoadReport(const dispatch::LoadReport& report)
{
    absl::MutexLock lock(&m_mutex);
    m_ramp.onLoadReport(report, m_clock.now());
    grantSlots();
}

membership::UpstreamLoad UpstreamLimiter::load(const UpstreamId& upstream) const
{
    absl::MutexLock lock(&m_mutex);
    const bool takingOver = m_ramp.phase(m_clock.now()) == dispatch::ConcurrencyRamp::Phase::TakingOver;
    return { .upstream = membership::shortIdOf(upstream.value()),
        .inFlight = static_cast<std::uint16_t>(m_ramp.inFlight()),
        .limit = static_cast<std::uint16_t>(takingOver ? 0 : m_ramp.currentLimit()),
        .queued = static_cast<std::uint16_t>(m_queue.size()) };
}

dispatch::ConcurrencyRamp::Phase UpstreamLimiter::phase() const
{
    absl::MutexLock lock(&m_mutex);
    return m_ramp.phase(m_clock.now());
}

}
