#pragma once

#include "fireflyhaven/common/result.h"
#include "fireflyhaven/node/settings.h"

#include <memory>

namespace fireflyhaven::node {

// One entry host: creates the services and the servers for callers, operators and peers.
class Node {
public:
    static Result<std::unique_ptr<Node>> start(NodeSettings settings, const IClock& clock);
    virtual ~Node() = default;

    // Shuts down gracefully: refuses new requests, waits up to the shutdown limit for running requests to finish and
    // for bills and results to be written to the log, then leaves the membership.
    virtual void shutDown() = 0;
};

}
