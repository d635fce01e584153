#include "fireflyhaven/balancing/upstreamhealth.h"

namespace fireflyhaven::balancing {

UpstreamHealth::UpstreamHealth(HealthOptions options)
    : m_options(options)
    , m_successes(options.halfLife)
    , m_failures(options.halfLife)
    , m_nextEjection(options.initialEjection)
{
}

void UpstreamHealth::onAnswers(double successes, double failures, const ServiceHealth& service, TimePoint now)
{
    m_successes.add(successes, now);
    m_failures.add(failures, now);
    if (isProbing(now)) {
        if (failures > 0)
            return eject(now);
        m_probeSuccesses += static_cast<int>(successes);
        if (m_probeSuccesses < m_options.requiredProbeSuccesses)
            return;
        m_ejectedUntil = {};
        m_nextEjection = m_options.initialEjection;
        m_failures.reset();
        return;
    }
    if (m_ejectedUntil != TimePoint {} || failures <= 0)
        return;
    const double recentFailures = m_failures.at(now);
    const double ratio = recentFailures / (recentFailures + m_successes.at(now));
    const double threshold
        = std::max(m_options.maxFailureRatio, m_options.serviceRatioFactor * service.failureRatio(now));
    if (recentFailures >= m_options.minFailures && ratio >= threshold)
        eject(now);
}

void UpstreamHealth::onUnreachable(TimePoint now)
{
    if (m_ejectedUntil == TimePoint {} || isProbing(now))
        eject(now);
}

void UpstreamHealth::eject(TimePoint now)
{
    m_ejectedUntil = now + m_nextEjection;
    m_nextEjection = std::min(m_nextEjection * 2, m_options.maxEjection);
    m_probeSuccesses = 0;
}

void UpstreamHealth::forgetFailures()
{
    m_failures.reset();
    m_ejectedUntil = {};
    m_nextEjection = m_options.initialEjection;
    m_probeSuccesses = 0;
}

bool UpstreamHealth::isUsable(TimePoint now) const
{
    if (m_ejectedUntil == TimePoint {})
        return true;
    return isProbing(now) && m_inFlight == 0;
}

}
