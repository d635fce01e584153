#include "callerdirectory.h"

#include <algorithm>

namespace fireflyhaven::entry {

namespace {

constexpr std::size_t MAX_ADDRESSES = 64;

}

std::vector<http::Endpoint> CallerDirectory::addressesFor(
    const AddressQuery& query, const OwnState& own, TimePoint now) const
{
    if (m_hosts.isLayered()) {
        auto selected = m_selector.choose(m_hosts, query.dataCentre, now);
        if (!selected.empty())
            return selected;
    }
    std::vector<http::Endpoint> local;
    std::vector<http::Endpoint> remote;
    const auto add = [&](const DataCentreId& dataCentre, const http::Endpoint& address) {
        (dataCentre == query.dataCentre ? local : remote).push_back(address);
    };
    if (own.takesCallers)
        add(m_settings.dataCentre, m_settings.frontend);
    for (const fleet::KnownHost* it : m_hosts.live(now)) {
        if (it->report.acceptsRequests)
            add(it->report.dataCentre, it->report.frontend);
    }
    local.insert(local.end(), remote.begin(), remote.end());
    if (local.empty() && !own.isDraining)
        local.push_back(m_settings.frontend);
    local.resize(std::min(local.size(), MAX_ADDRESSES));
    return local;
}

}
