#pragma once

#include "fireflyhaven/catalog/types/configuration.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string_view>

namespace fireflyhaven::catalog {

// Finds the route of a request: among the routes of its host, the one with the longest prefix of its path.
class RouteTable {
public:
    RouteTable() = default;
    explicit RouteTable(const std::vector<Route>& routes);

    // Null where no route matches. A port in the host is ignored.
    std::shared_ptr<const Route> find(std::string_view host, std::string_view path) const;
    std::size_t size() const { return m_size; }

private:
    using Prefixes = absl::flat_hash_map<std::string, std::shared_ptr<const Route>>;

    absl::flat_hash_map<std::string, Prefixes> m_hosts;
    std::size_t m_size = 0;
};

}
