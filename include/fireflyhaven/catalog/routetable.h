#pragma once

#include "fireflyhaven/catalog/types/configuration.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string_view>

namespace fireflyhaven::catalog {

// Finds the route of a request: the one with the longest matching path prefix among the routes of the request's host.
class RouteTable {
public:
    RouteTable() = default;
    explicit RouteTable(const std::vector<Route>& routes);

    // Null where no route matches. A port in the host is ignored, and so is the case of its letters.
    std::shared_ptr<const Route> find(std::string_view host, std::string_view path) const;
    std::size_t size() const { return m_size; }

private:
    using RoutesByPrefix = absl::flat_hash_map<std::string, std::shared_ptr<const Route>>;

    absl::flat_hash_map<std::string, RoutesByPrefix> m_routesByHost;
    std::size_t m_size = 0;
};

}
