#include "fireflyhaven/balancing/coldpacer.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>

namespace fireflyhaven::balancing {

namespace {
constexpr double MILLISECONDS_PER_SECOND = 1000;
}

ColdPacer::ColdPacer(std::uint64_t seed, ColdPacerOptions options)
    : m_options(options)
    , m_randomState(seed)
{
}

double ColdPacer::nextRandom()
{
    m_randomState = combineHashes(m_randomState, 1);
    return unitInterval(m_randomState);
}

Duration ColdPacer::interval(double ratePerSecond, int hostCount) const
{
    const double hostRate = ratePerSecond * m_options.targetUtilisation / std::max(1, hostCount);
    return Duration(static_cast<Duration::rep>(MILLISECONDS_PER_SECOND / hostRate));
}

bool ColdPacer::maySend(double ratePerSecond, int hostCount, TimePoint now)
{
    if (ratePerSecond <= 0)
        return true;
    const auto intervalMs = static_cast<double>(interval(ratePerSecond, hostCount).count());
    // A random phase, so that hosts that discover the upstream at the same moment do not all send at once.
    if (m_nextSendAt == TimePoint {})
        m_nextSendAt = now + Duration(static_cast<Duration::rep>(intervalMs * nextRandom()));
    return now >= m_nextSendAt;
}

void ColdPacer::onSent(double ratePerSecond, int hostCount, TimePoint now)
{
    if (ratePerSecond <= 0)
        return;
    const auto intervalMs = static_cast<double>(interval(ratePerSecond, hostCount).count());
    m_nextSendAt = now + Duration(static_cast<Duration::rep>(intervalMs * (0.5 + nextRandom())));
}

}
