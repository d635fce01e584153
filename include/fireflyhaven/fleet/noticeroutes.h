#pragma once

#include "fireflyhaven/fleet/exchange.h"
#include "fireflyhaven/fleet/types/noticescope.h"

#include <optional>

namespace fireflyhaven::fleet {

// Hosts that get the notices of one scope.
struct NoticeTargets {
    NoticeScope scope = NoticeScope::Host;
    std::vector<http::Endpoint> addresses;
};

// The paths of notices to all hosts: from each host to all others in the flat topology, and over the aggregators in the
// layered one, as the reports of the exchange. Does no I/O.
class NoticeRoutes {
public:
    explicit NoticeRoutes(const Exchange& exchange)
        : m_exchange(exchange)
    {
    }

    std::vector<NoticeTargets> targets(TimePoint now) const;
    // Addresses of those of the hosts that are known and not this host.
    std::vector<http::Endpoint> addressesOf(const std::vector<HostId>& hosts) const;

private:
    std::vector<http::Endpoint> hostsOfOwnDataCentre(TimePoint now) const;
    std::vector<http::Endpoint> aggregatorsOfOtherDataCentres(TimePoint now) const;

    const Exchange& m_exchange;
};

// Encodes a message for each scope, and addresses it. `encode` returns no value where it has nothing to tell.
template <typename Encode>
std::vector<Datagram> addressNotices(const NoticeRoutes& routes, TimePoint now, Encode encode)
{
    std::vector<Datagram> out;
    for (const NoticeTargets& it : routes.targets(now)) {
        const std::optional<std::string> bytes = encode(it.scope);
        if (!bytes)
            continue;
        for (const http::Endpoint& address : it.addresses)
            out.push_back({ .to = address, .bytes = *bytes });
    }
    return out;
}

}
