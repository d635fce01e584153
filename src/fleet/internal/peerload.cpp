#include "fireflyhaven/fleet/peerload.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>

namespace fireflyhaven::fleet {

namespace {

// Answers since the earlier count, at least 0: a host's counts of an upstream restart at 0 when the upstream is removed
// or restarts, and the sums of an aggregator decrease with them.
std::uint32_t increase(std::uint32_t before, std::uint32_t after) { return after - std::min(before, after); }

}

std::vector<AnswerCounts> PeerLoad::onReport(const HostReport& report, bool newIncarnation)
{
    if (newIncarnation)
        onSilent(report.host);
    std::vector<AnswerCounts> answers;
    Counters& known = m_hosts[report.host];
    for (const UpstreamCounters& it : report.upstreams.items) {
        const auto [entry, added] = known.try_emplace(it.upstream);
        UpstreamCounters& before = entry->second;
        subtract(before);
        // The first report is the baseline: its answers were counted before and are not new.
        if (!added) {
            answers.push_back({ .upstream = it.upstream,
                .good = increase(before.good, it.good),
                .failed = increase(before.failed, it.failed) });
        }
        before = it;
        PeerLoadSum& sum = m_sums[it.upstream];
        sum.inFlight += it.inFlight;
        sum.pendingPrefillMs += it.pendingPrefillMs;
    }
    return answers;
}

void PeerLoad::onSilent(const HostId& host)
{
    const auto it = m_hosts.find(host);
    if (it == m_hosts.end())
        return;
    for (const auto& [upstream, counters] : it->second)
        subtract(counters);
    m_hosts.erase(it);
}

void PeerLoad::subtract(const UpstreamCounters& counters)
{
    const auto it = m_sums.find(counters.upstream);
    if (it == m_sums.end())
        return;
    it->second.inFlight -= counters.inFlight;
    it->second.pendingPrefillMs -= counters.pendingPrefillMs;
    if (it->second.inFlight == 0 && it->second.pendingPrefillMs == 0)
        m_sums.erase(it);
}

PeerLoadSum PeerLoad::at(ShortHash upstream) const
{
    const auto it = m_sums.find(upstream);
    return it == m_sums.end() ? PeerLoadSum {} : it->second;
}

ShortHash shortHashOf(const UpstreamId& upstream) { return static_cast<ShortHash>(stableHash(upstream.value())); }

}
