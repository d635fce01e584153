#include "fireflyhaven/balancing/coldpacer.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>

namespace fireflyhaven::balancing {

namespace {
constexpr double MILLISECONDS_PER_SECOND = 1000;
}

ColdPacer::ColdPacer(std::uint64_t seed, ColdPacerOptions options)
    : m_options(options)
    , m_random(seed)
{
}

double ColdPacer::random()
{
    m_random = combineHashes(m_random, 1);
    return unitInterval(m_random);
}

Duration ColdPacer::interval(double perSecond, int hosts) const
{
    const double rate = perSecond * m_options.usedShare / std::max(1, hosts);
    return Duration(static_cast<Duration::rep>(MILLISECONDS_PER_SECOND / rate));
}

bool ColdPacer::maySend(double perSecond, int hosts, TimePoint now)
{
    if (perSecond <= 0)
        return true;
    const auto whole = static_cast<double>(interval(perSecond, hosts).count());
    // Hosts that see the upstream at the same moment must not all send at once.
    if (m_nextAt == TimePoint {})
        m_nextAt = now + Duration(static_cast<Duration::rep>(whole * random()));
    return now >= m_nextAt;
}

void ColdPacer::onSent(double perSecond, int hosts, TimePoint now)
{
    if (perSecond <= 0)
        return;
    const auto whole = static_cast<double>(interval(perSecond, hosts).count());
    m_nextAt = now + Duration(static_cast<Duration::rep>(whole * (0.5 + random())));
}

}
