#include "fireflyhaven/fleet/noticeroutes.h"

#include <algorithm>

namespace fireflyhaven::fleet {

bool isInScope(NoticeSource source, NoticeScope scope)
{
    switch (scope) {
    case NoticeScope::Host:
        return source == NoticeSource::ThisHost;
    case NoticeScope::DataCentre:
        return source != NoticeSource::OtherDataCentre;
    case NoticeScope::Fleet:
        return true;
    }
    return false;
}

std::vector<NoticeTargets> NoticeRoutes::targets(TimePoint now) const
{
    const HostTable& hosts = m_exchange.hosts();
    if (!hosts.isLayered()) {
        NoticeTargets all { .scope = NoticeScope::Host };
        for (const KnownHost* it : hosts.live(now))
            all.addresses.push_back(it->peerAddress);
        return { all };
    }
    if (!m_exchange.isPrimaryAggregator())
        return { { .scope = NoticeScope::Host, .addresses = addressesOf(m_exchange.aggregators()) } };
    return { { .scope = NoticeScope::DataCentre, .addresses = aggregatorsOfOtherDataCentres(now) },
        { .scope = NoticeScope::Fleet, .addresses = hostsOfOwnDataCentre(now) } };
}

std::vector<http::Endpoint> NoticeRoutes::hostsOfOwnDataCentre(TimePoint now) const
{
    const HostTable& hosts = m_exchange.hosts();
    std::vector<http::Endpoint> addresses;
    for (const auto& [id, it] : hosts.hosts()) {
        if (it.report.dataCentre == hosts.ownDataCentre() && hosts.hasRecentReport(it, now))
            addresses.push_back(it.peerAddress);
    }
    return addresses;
}

std::vector<http::Endpoint> NoticeRoutes::aggregatorsOfOtherDataCentres(TimePoint now) const
{
    const HostTable& hosts = m_exchange.hosts();
    std::vector<http::Endpoint> addresses;
    for (const DataCentreId& dataCentre : hosts.dataCentres(now)) {
        if (dataCentre == hosts.ownDataCentre())
            continue;
        std::vector<HostId> ranked = hosts.ranked(dataCentre, now);
        ranked.resize(std::min(ranked.size(), m_exchange.aggregatorsPerDataCentre()));
        const std::vector<http::Endpoint> found = addressesOf(ranked);
        addresses.insert(addresses.end(), found.begin(), found.end());
    }
    return addresses;
}

std::vector<http::Endpoint> NoticeRoutes::addressesOf(const std::vector<HostId>& hosts) const
{
    const std::map<HostId, KnownHost>& known = m_exchange.hosts().hosts();
    std::vector<http::Endpoint> addresses;
    for (const HostId& id : hosts) {
        const auto it = known.find(id);
        if (it != known.end())
            addresses.push_back(it->second.peerAddress);
    }
    return addresses;
}

}
