#pragma once

#include "fireflyhaven/fleet/hosttable.h"

namespace fireflyhaven::entry {

struct DirectoryHostSelectorOptions {
    // Share of a data centre's hosts that the directory lists, and the minimum number of them. Fewer hosts send more
    // requests each, which increases reuse of connections and cached prompt parts. The other hosts replace failed ones.
    double share = 0.25;
    std::size_t minHosts = 6;
    // Hosts of other data centres are listed too if fewer than this are selected in the caller's data centre.
    std::size_t minLocalHosts = 4;
};

// Selects the hosts that directory answers list for callers of a data centre, if there are many hosts. The
// highest-ranked hosts aggregate reports and read the store for the other hosts, so they are listed only if too few
// hosts are left without them. Does no I/O.
class DirectoryHostSelector {
public:
    // `ownFrontend` is where callers reach this host.
    explicit DirectoryHostSelector(http::Endpoint ownFrontend, DirectoryHostSelectorOptions options = {});

    // Returns addresses of hosts that accept callers; empty if there are none.
    std::vector<http::Endpoint> choose(
        const fleet::HostTable& hosts, const DataCentreId& dataCentre, TimePoint now) const;

private:
    std::vector<HostId> chooseIn(const fleet::HostTable& hosts, const DataCentreId& dataCentre, TimePoint now) const;
    http::Endpoint frontendOf(const fleet::HostTable& hosts, const HostId& host) const;

    const http::Endpoint m_ownFrontend;
    const DirectoryHostSelectorOptions m_options;
};

}
