#include "routingview.h"

namespace fireflyhaven::node {

std::shared_ptr<const RoutingView> RoutingView::build(std::shared_ptr<const config::Lists> lists)
{
    auto view = std::make_shared<RoutingView>();
    for (const auto& [id, item] : lists->workspaces)
        view->workspaceByKeyDigest[item.value.keyDigest] = id;
    for (const auto& [id, item] : lists->upstreams) {
        for (const ModelVersion& version : item.value.versions)
            view->upstreamsByVersion[version].push_back(id);
        if (item.value.kind == config::UpstreamKind::Service)
            view->upstreamsByService[item.value.service].push_back(id);
    }
    view->lists = std::move(lists);
    return view;
}

}
