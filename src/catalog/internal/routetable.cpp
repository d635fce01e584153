#include "fireflyhaven/catalog/routetable.h"

#include "fireflyhaven/common/text.h"

#include <absl/strings/ascii.h>

namespace fireflyhaven::catalog {

namespace {

std::string canonicalHost(std::string_view host)
{
    return absl::AsciiStrToLower(abslView(host.substr(0, host.find(':'))));
}

}

RouteTable::RouteTable(const std::vector<Route>& routes)
    : m_size(routes.size())
{
    for (const Route& it : routes)
        m_routesByHost[canonicalHost(it.host)][it.pathPrefix] = std::make_shared<const Route>(it);
}

std::shared_ptr<const Route> RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto it = m_routesByHost.find(canonicalHost(host));
    if (it == m_routesByHost.end())
        return nullptr;
    // Every prefix ends with a slash, so that only the parts of the path up to one of its slashes have to be looked up.
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        const auto route = it->second.find(abslView(path.substr(0, end + 1)));
        if (route != it->second.end())
            return route->second;
        if (end == 0)
            break;
    }
    return nullptr;
}

}
