#include "fireflyhaven/balancing/upstreamreach.h"

#include <utility>

namespace fireflyhaven::balancing {

namespace {

constexpr std::size_t SUSPICIOUS_UPSTREAMS = 2;
constexpr Duration SUSPICION_WINDOW { 1000 };
constexpr std::size_t PROBES_IN_DOUBT = 4;
constexpr std::size_t PROBES_WHILE_CUT_OFF = 2;
// Shortest time between two rounds of probes.
constexpr Duration INTERVAL_IN_DOUBT { 500 };
constexpr Duration INTERVAL_WHILE_CUT_OFF { 250 };

}

void UpstreamReach::onUnanswered(const UpstreamId& upstream, TimePoint now) { m_unanswered[upstream] = now; }

void UpstreamReach::onOverdue(const UpstreamId& upstream, TimePoint sentAt, TimePoint now)
{
    // While others answer, the upstream is slow.
    if (m_answeredAt < sentAt)
        onUnanswered(upstream, now);
}

bool UpstreamReach::hasSuspicion(TimePoint now)
{
    std::erase_if(m_unanswered, [now](const auto& entry) { return now - entry.second >= SUSPICION_WINDOW; });
    return m_unanswered.size() >= SUSPICIOUS_UPSTREAMS;
}

std::size_t UpstreamReach::probesDue(TimePoint now)
{
    if (m_openProbes > 0 || (!m_cutOff && !hasSuspicion(now)))
        return 0;
    if (now - m_probesStartedAt < (m_cutOff ? INTERVAL_WHILE_CUT_OFF : INTERVAL_IN_DOUBT))
        return 0;
    return m_cutOff ? PROBES_WHILE_CUT_OFF : PROBES_IN_DOUBT;
}

void UpstreamReach::onProbesStarted(std::size_t n, TimePoint now)
{
    m_openProbes = n;
    m_startedProbes = n;
    m_connectedProbes = 0;
    m_probesStartedAt = now;
}

bool UpstreamReach::onProbeEnded(bool connected, TimePoint)
{
    if (m_openProbes == 0)
        return false;
    --m_openProbes;
    m_connectedProbes += connected ? 1 : 0;
    if (m_openProbes > 0)
        return false;
    // Upstreams may be down too: one that can be reached shows that the host is not cut off, and a host that was cut
    // off waits until all of its few probes succeed.
    const bool cutOff = m_cutOff ? m_connectedProbes < m_startedProbes : m_connectedProbes == 0;
    m_unanswered.clear();
    return std::exchange(m_cutOff, cutOff) != cutOff;
}

}
