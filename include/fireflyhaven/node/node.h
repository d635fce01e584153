#pragma once

#include "fireflyhaven/common/result.h"
#include "fireflyhaven/node/settings.h"

#include <memory>

namespace fireflyhaven::node {

// One entry host: wires the parts, serves callers, operators and peers.
class Node {
public:
    static Result<std::unique_ptr<Node>> start(NodeSettings settings, const IClock& clock);
    virtual ~Node() = default;

    // Shuts down gracefully: takes no new work, lets running requests finish, brings bills and results into the log and
    // leaves the members.
    virtual void shutDown() = 0;
};

}
