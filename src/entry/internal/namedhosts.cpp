#include "namedhosts.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::entry {

namespace {
// The first ones by rank have the work of aggregators.
constexpr std::size_t AGGREGATORS = 2;
}

NamedHosts::NamedHosts(http::Endpoint ownFrontend, NamedHostsOptions options)
    : m_ownFrontend(std::move(ownFrontend))
    , m_options(options)
{
}

std::vector<HostId> NamedHosts::takersIn(
    const fleet::HostTable& hosts, const DataCentreId& dataCentre, TimePoint now) const
{
    std::vector<HostId> all = hosts.ranked(dataCentre, now);
    std::erase_if(all, [&](const HostId& it) { return !hosts.acceptsRequests(it); });
    const auto share = static_cast<std::size_t>(std::ceil(m_options.share * static_cast<double>(all.size())));
    const std::size_t wanted = std::max(m_options.least, share);
    if (all.size() >= wanted + AGGREGATORS)
        all.erase(all.begin(), all.begin() + AGGREGATORS);
    all.resize(std::min(all.size(), wanted));
    return all;
}

std::vector<http::Endpoint> NamedHosts::choose(
    const fleet::HostTable& hosts, const DataCentreId& dataCentre, TimePoint now) const
{
    std::vector<HostId> chosen = takersIn(hosts, dataCentre, now);
    if (chosen.size() < m_options.enough) {
        for (const DataCentreId& it : hosts.dataCentres(now)) {
            const std::vector<HostId> others = it == dataCentre ? std::vector<HostId> {} : takersIn(hosts, it, now);
            chosen.insert(chosen.end(), others.begin(), others.end());
        }
    }
    std::vector<http::Endpoint> addresses;
    addresses.reserve(chosen.size());
    for (const HostId& it : chosen)
        addresses.push_back(frontendOf(hosts, it));
    return addresses;
}

http::Endpoint NamedHosts::frontendOf(const fleet::HostTable& hosts, const HostId& host) const
{
    return host == hosts.self() ? m_ownFrontend : hosts.hosts().at(host).report.frontend;
}

}
