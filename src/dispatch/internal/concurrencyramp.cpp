#include "fireflyhaven/dispatch/concurrencyramp.h"

#include <algorithm>

namespace fireflyhaven::dispatch {

namespace {
constexpr double HISTORY_WEIGHT = 0.05;
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
    m_inherited.reset();
    becomeCold();
}

void ConcurrencyRamp::onSent() { ++m_inFlight; }

void ConcurrencyRamp::onAnswered(std::optional<Duration> firstToken)
{
    --m_inFlight;
    if (firstToken) {
        const auto ms = static_cast<double>(firstToken->count());
        const bool slow = m_history >= m_options.historyNeeded && ms > m_usualFirstTokenMs * m_options.coldSlowdown;
        if (slow) {
            becomeCold();
            return;
        }
        m_usualFirstTokenMs = m_history == 0 ? ms : m_usualFirstTokenMs * (1 - HISTORY_WEIGHT) + ms * HISTORY_WEIGHT;
        ++m_history;
    }
    if (++m_answeredSinceCold < m_options.warmAnswers || ++m_answeredInRound < m_currentLimit)
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
    becomeCold();
}

void ConcurrencyRamp::onLoadReport(const LoadReport& report, TimePoint now)
{
    if (m_restarts && report.restarts != *m_restarts)
        becomeCold();
    m_restarts = report.restarts;
    // Only a report that can't predate the takeover shows all that the earlier owner left.
    if (now - m_takenOverAt < m_options.reportLag)
        return;
    m_inherited = m_inherited ? std::min(*m_inherited, report.running) : report.running;
}

void ConcurrencyRamp::becomeCold()
{
    m_currentLimit = m_options.coldLimit;
    m_answeredInRound = 0;
    m_answeredSinceCold = 0;
}

int ConcurrencyRamp::inherited(TimePoint now) const
{
    if (now - m_takenOverAt >= m_options.longestRequest)
        return 0;
    return m_inherited.value_or(m_options.limit);
}

int ConcurrencyRamp::allowance(TimePoint now) const
{
    if (phase(now) == Phase::TakingOver)
        return 0;
    return std::max(0, m_currentLimit - m_inFlight - inherited(now));
}

ConcurrencyRamp::Phase ConcurrencyRamp::phase(TimePoint now) const
{
    if (!m_inherited && now - m_takenOverAt < m_options.longestRequest)
        return Phase::TakingOver;
    return m_currentLimit < m_options.limit ? Phase::Cold : Phase::Warm;
}

}
