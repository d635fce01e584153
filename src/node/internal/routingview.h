#pragma once

#include "fireflyhaven/config/types/lists.h"

#include <map>
#include <memory>

namespace fireflyhaven::node {

// The configuration lists with the indexes needed to route requests. Built once for each revision of the lists.
struct RoutingView {
    std::shared_ptr<const config::Lists> lists;
    std::map<std::string, WorkspaceId> workspaceByKeyDigest;
    std::map<ModelVersion, std::vector<UpstreamId>> upstreamsByVersion;
    std::map<ServiceName, std::vector<UpstreamId>> upstreamsByService;

    static std::shared_ptr<const RoutingView> build(std::shared_ptr<const config::Lists> lists);
};

}
