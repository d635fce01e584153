#pragma once

#include "fireflyhaven/fleet/hosttable.h"

namespace fireflyhaven::entry {

struct NamedHostsOptions {
    // Part of a data centre's hosts that callers are sent to, and the least number. Fewer hosts send more requests
    // each, so that connections and cached prompt parts are used again; the others step in where these fail.
    double share = 0.25;
    std::size_t least = 6;
    // Hosts of other data centres that are named where a data centre has fewer than this.
    std::size_t enough = 4;
};

// Chooses the hosts that callers of a data centre are sent to, where there are many. The first ones by rank aggregate
// reports and read the store for the others: they take callers only where no others are left. Does no I/O.
class NamedHosts {
public:
    // `ownFrontend` is where callers reach this host.
    explicit NamedHosts(http::Endpoint ownFrontend, NamedHostsOptions options = {});

    // Hosts that take callers; empty where none does.
    std::vector<http::Endpoint> choose(
        const fleet::HostTable& hosts, const DataCentreId& dataCentre, TimePoint now) const;

private:
    std::vector<HostId> takersIn(const fleet::HostTable& hosts, const DataCentreId& dataCentre, TimePoint now) const;
    http::Endpoint frontendOf(const fleet::HostTable& hosts, const HostId& host) const;

    const http::Endpoint m_ownFrontend;
    const NamedHostsOptions m_options;
};

}
