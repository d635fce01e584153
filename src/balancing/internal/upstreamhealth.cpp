#include "fireflyhaven/balancing/upstreamhealth.h"

namespace fireflyhaven::balancing {

UpstreamHealth::UpstreamHealth(HealthOptions options)
    : m_options(options)
    , m_good(options.halfLife)
    , m_failed(options.halfLife)
    , m_pause(options.firstPause)
{
}

void UpstreamHealth::onAnswers(double good, double failed, const ServiceHealth& service, TimePoint now)
{
    m_good.add(good, now);
    m_failed.add(failed, now);
    if (isOnProbation(now)) {
        if (failed > 0)
            return leave(now);
        m_goodInProbation += static_cast<int>(good);
        if (m_goodInProbation < m_options.probationAnswers)
            return;
        m_leftUntil = {};
        m_pause = m_options.firstPause;
        m_failed.reset();
        return;
    }
    if (m_leftUntil != TimePoint {} || failed <= 0)
        return;
    const double failures = m_failed.at(now);
    const double share = failures / (failures + m_good.at(now));
    const double bound = std::max(m_options.failureShare, m_options.serviceFactor * service.failureShare(now));
    if (failures >= m_options.leastFailures && share >= bound)
        leave(now);
}

void UpstreamHealth::onUnreachable(TimePoint now)
{
    if (m_leftUntil == TimePoint {} || isOnProbation(now))
        leave(now);
}

void UpstreamHealth::leave(TimePoint now)
{
    m_leftUntil = now + m_pause;
    m_pause = std::min(m_pause * 2, m_options.longestPause);
    m_goodInProbation = 0;
}

bool UpstreamHealth::isUsable(TimePoint now) const
{
    if (m_leftUntil == TimePoint {})
        return true;
    return isOnProbation(now) && m_open == 0;
}

}
