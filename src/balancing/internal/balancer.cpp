#include "fireflyhaven/balancing/balancer.h"

#include <algorithm>

namespace fireflyhaven::balancing {

Balancer::Balancer(const catalog::Catalog& catalog)
    : m_catalog(catalog)
{
}

const catalog::UpstreamState* Balancer::pick(const Demand& demand, TimePoint now)
{
    const catalog::UpstreamState* best = nullptr;
    int least = 0;
    for (const auto& [id, it] : m_catalog.upstreams()) {
        const bool fits = it.upstream.service == demand.service && it.isReady(now)
            && !m_catalog.isEvacuated(it.upstream.dataCentre)
            && (!demand.version || it.upstream.version == *demand.version)
            && std::find(demand.excluded.begin(), demand.excluded.end(), id) == demand.excluded.end();
        if (!fits)
            continue;
        const auto load = m_inFlight.find(id);
        const int n = load == m_inFlight.end() ? 0 : load->second;
        if (!best || n < least) {
            best = &it;
            least = n;
        }
    }
    return best;
}

void Balancer::onSent(const UpstreamId& upstream) { ++m_inFlight[upstream]; }

void Balancer::onDone(const UpstreamId& upstream)
{
    const auto it = m_inFlight.find(upstream);
    if (it != m_inFlight.end() && --it->second <= 0)
        m_inFlight.erase(it);
}

}
