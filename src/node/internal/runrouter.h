#pragma once

#include "clusterreplica.h"
#include "fireflyhaven/peer/peerclient.h"
#include "ownerexecutor.h"

namespace fireflyhaven::node {

// Events of one attempt, wherever its owner is.
class IRunStream {
public:
    virtual ~IRunStream() = default;
    // Waits for the next event; after `wait` without one, Failed.
    virtual dispatch::RunEvent next(Duration wait) = 0;
    virtual void cancel() = 0;
};

// Brings attempts to the owners of their upstreams: runs them here, or forwards them over TCP.
class RunRouter {
public:
    RunRouter(const NodeSettings& settings, ClusterReplica& replica, OwnerExecutor& executor, peer::PeerClient& peers);

    // Never null; where the owner can't be reached the first event is Refused.
    std::unique_ptr<IRunStream> open(const dispatch::RunRequest& request);

private:
    const NodeSettings& m_settings;
    ClusterReplica& m_replica;
    OwnerExecutor& m_executor;
    peer::PeerClient& m_peers;
    WorkerPool m_workers { 2048 };
};

}
