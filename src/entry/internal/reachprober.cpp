#include "reachprober.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>
#include <set>

namespace fireflyhaven::entry {

namespace {
constexpr Duration PROBE_TIMEOUT { 400 };
}

std::vector<catalog::Upstream> ReachProber::choose(std::size_t n, TimePoint now) const
{
    struct Candidate {
        std::uint64_t order = 0;
        const catalog::Upstream* upstream = nullptr;
    };
    std::vector<Candidate> ready;
    for (const auto& [id, it] : m_context.catalog.upstreams()) {
        if (it.isReady(now))
            ready.push_back({ .order = stableHash(id.value(), m_rounds), .upstream = &it.upstream });
    }
    std::sort(ready.begin(), ready.end(), [](const Candidate& a, const Candidate& b) { return a.order < b.order; });
    std::vector<catalog::Upstream> chosen;
    std::set<DataCentreId> dataCentres;
    for (const bool onlyNewDataCentres : { true, false }) {
        for (const Candidate& it : ready) {
            const bool isChosen = std::any_of(chosen.begin(), chosen.end(),
                [&](const catalog::Upstream& other) { return other.id == it.upstream->id; });
            if (chosen.size() < n && !isChosen
                && (!onlyNewDataCentres || dataCentres.insert(it.upstream->dataCentre).second))
                chosen.push_back(*it.upstream);
        }
    }
    return chosen;
}

void ReachProber::tick(TimePoint now)
{
    const std::size_t due = m_context.reach.probesDue(now);
    if (due == 0)
        return;
    ++m_rounds;
    const std::vector<catalog::Upstream> targets = choose(due, now);
    if (targets.empty())
        return;
    m_context.reach.onProbesStarted(targets.size(), now);
    for (const catalog::Upstream& it : targets)
        m_context.client.checkConnection(it.address, PROBE_TIMEOUT, [this](http::ConnectionResult result) {
            if (m_context.reach.onProbeEnded(result == http::ConnectionResult::Connected, m_context.clock.now()))
                m_context.onChanged(m_context.reach.isCutOff());
        });
}

}
