#include "fireflyhaven/dispatch/concurrencyramp.h"

#include <algorithm>

namespace fireflyhaven::dispatch {

namespace {
// Weight of a new sample in the moving average of the time to first token.
constexpr double LATENCY_EWMA_WEIGHT = 0.05;
}

ConcurrencyRamp::ConcurrencyRamp(RampOptions options, TimePoint takenOverAt)
    : m_options(options)
    , m_takenOverAt(takenOverAt)
    , m_currentLimit(options.coldLimit)
{
}

void ConcurrencyRamp::setLimits(int coldLimit, int limit)
{
    m_options.coldLimit = coldLimit;
    m_options.limit = limit;
    m_currentLimit = std::clamp(m_currentLimit, coldLimit, limit);
}

void ConcurrencyRamp::onTakeover(TimePoint now)
{
    m_takenOverAt = now;
    m_inheritedInFlight.reset();
    resetToColdLimit();
}

void ConcurrencyRamp::onSent() { ++m_inFlight; }

void ConcurrencyRamp::onAnswered(std::optional<Duration> firstToken)
{
    --m_inFlight;
    if (firstToken) {
        const auto ms = static_cast<double>(firstToken->count());
        const bool slow
            = m_latencySamples >= m_options.minLatencySamples && ms > m_meanFirstTokenMs * m_options.coldLatencyFactor;
        if (slow) {
            resetToColdLimit();
            return;
        }
        m_meanFirstTokenMs
            = m_latencySamples == 0 ? ms : m_meanFirstTokenMs * (1 - LATENCY_EWMA_WEIGHT) + ms * LATENCY_EWMA_WEIGHT;
        ++m_latencySamples;
    }
    if (++m_answeredSinceCold < m_options.answersUntilWarm || ++m_answeredInRound < m_currentLimit)
        return;
    m_answeredInRound = 0;
    m_currentLimit = std::min(m_options.limit, m_currentLimit * 2);
}

void ConcurrencyRamp::onFailed()
{
    --m_inFlight;
    m_answeredInRound = 0;
}

void ConcurrencyRamp::onRefused()
{
    --m_inFlight;
    resetToColdLimit();
}

void ConcurrencyRamp::onLoadReport(const LoadReport& report, TimePoint now)
{
    if (m_reportedRestarts && report.restarts != *m_reportedRestarts)
        resetToColdLimit();
    m_reportedRestarts = report.restarts;
    // A report that arrives within the maximum lag after the takeover may describe the state before it and miss
    // requests of the earlier owner.
    if (now - m_takenOverAt < m_options.maxReportLag)
        return;
    m_inheritedInFlight = m_inheritedInFlight ? std::min(*m_inheritedInFlight, report.running) : report.running;
}

void ConcurrencyRamp::resetToColdLimit()
{
    m_currentLimit = m_options.coldLimit;
    m_answeredInRound = 0;
    m_answeredSinceCold = 0;
}

int ConcurrencyRamp::inheritedInFlight(TimePoint now) const
{
    if (now - m_takenOverAt >= m_options.maxRequestDuration)
        return 0;
    return m_inheritedInFlight.value_or(m_options.limit);
}

int ConcurrencyRamp::allowance(TimePoint now) const
{
    if (phase(now) == Phase::TakingOver)
        return 0;
    return std::max(0, m_currentLimit - m_inFlight - inheritedInFlight(now));
}

ConcurrencyRamp::Phase ConcurrencyRamp::phase(TimePoint now) const
{
    if (!m_inheritedInFlight && now - m_takenOverAt < m_options.maxRequestDuration)
        return Phase::TakingOver;
    return m_currentLimit < m_options.limit ? Phase::Cold : Phase::Warm;
}

}
