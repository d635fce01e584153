#pragma once

#include "fireflyhaven/common/json.h"

#include <vector>

namespace fireflyhaven::billing {

// Token usage and cost of one attempt at a request.
struct AttemptCost {
    UpstreamId upstream;
    ModelVersion version;
    std::uint64_t inputTokens = 0;
    std::uint64_t outputTokens = 0;
    Cost cost;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(upstream, version, inputTokens, outputTokens, cost);
    }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AttemptCost, upstream, version, inputTokens, outputTokens, cost)

// Bill of a request, with all its attempts. If the log contains several bills of the same request, only the first one
// counts.
struct Bill {
    WorkspaceId workspace;
    RequestId request;
    std::vector<AttemptCost> attempts;

    Cost total() const
    {
        Cost sum;
        for (const AttemptCost& it : attempts)
            sum += it.cost;
        return sum;
    }
    // Unique key of the bill; request ids are unique only within a workspace.
    std::string key() const { return workspace.value() + "/" + request.value(); }
    template <typename Archive> void serialize(Archive& archive) { archive(workspace, request, attempts); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Bill, workspace, request, attempts)

}
