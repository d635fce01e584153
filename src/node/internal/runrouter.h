#pragma once

#include "clusterreplica.h"
#include "fireflyhaven/peer/peerclient.h"
#include "ownerexecutor.h"

namespace fireflyhaven::node {

// Events of one attempt, whether the upstream's owner is this host or a peer.
class IRunStream {
public:
    virtual ~IRunStream() = default;
    // Waits for the next event. Returns Failed if there is none within `wait`.
    virtual dispatch::RunEvent next(Duration wait) = 0;
    virtual void cancel() = 0;
};

// Routes attempts to the owners of their upstreams: runs them on this host, or forwards them to a peer over TCP.
class RunRouter {
public:
    RunRouter(const NodeSettings& settings, ClusterReplica& replica, OwnerExecutor& executor, peer::PeerClient& peers);

    // Never returns null. If the owner is unknown, unreachable or busy, the first event is Refused.
    std::unique_ptr<IRunStream> open(const dispatch::RunRequest& request);

private:
    const NodeSettings& m_settings;
    ClusterReplica& m_replica;
    OwnerExecutor& m_executor;
    peer::PeerClient& m_peers;
    WorkerPool m_workers { 2048 };
};

}
