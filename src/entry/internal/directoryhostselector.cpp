#include "directoryhostselector.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::entry {

namespace {
// The highest-ranked hosts of a data centre act as aggregators.
constexpr std::size_t AGGREGATOR_COUNT = 2;
}

DirectoryHostSelector::DirectoryHostSelector(http::Endpoint ownFrontend, DirectoryHostSelectorOptions options)
    : m_ownFrontend(std::move(ownFrontend))
    , m_options(options)
{
}

std::vector<HostId> DirectoryHostSelector::chooseIn(
    const fleet::HostTable& hosts, const DataCentreId& dataCentre, TimePoint now) const
{
    std::vector<HostId> all = hosts.ranked(dataCentre, now);
    std::erase_if(all, [&](const HostId& it) { return !hosts.acceptsRequests(it); });
    const auto shareCount = static_cast<std::size_t>(std::ceil(m_options.share * static_cast<double>(all.size())));
    const std::size_t targetCount = std::max(m_options.minHosts, shareCount);
    if (all.size() >= targetCount + AGGREGATOR_COUNT)
        all.erase(all.begin(), all.begin() + AGGREGATOR_COUNT);
    all.resize(std::min(all.size(), targetCount));
    return all;
}

std::vector<http::Endpoint> DirectoryHostSelector::choose(
    const fleet::HostTable& hosts, const DataCentreId& dataCentre, TimePoint now) const
{
    std::vector<HostId> chosen = chooseIn(hosts, dataCentre, now);
    if (chosen.size() < m_options.minLocalHosts) {
        for (const DataCentreId& it : hosts.dataCentres(now)) {
            const std::vector<HostId> remote = it == dataCentre ? std::vector<HostId> {} : chooseIn(hosts, it, now);
            chosen.insert(chosen.end(), remote.begin(), remote.end());
        }
    }
    std::vector<http::Endpoint> addresses;
    addresses.reserve(chosen.size());
    for (const HostId& it : chosen)
        addresses.push_back(frontendOf(hosts, it));
    return addresses;
}

http::Endpoint DirectoryHostSelector::frontendOf(const fleet::HostTable& hosts, const HostId& host) const
{
    return host == hosts.self() ? m_ownFrontend : hosts.hosts().at(host).report.frontend;
}

}
