#pragma once

#include "clusterreplica.h"
#include "fireflyhaven/common/workerpool.h"
#include "fireflyhaven/dispatch/types/run.h"
#include "fireflyhaven/adapters/upstreamclient.h"
#include "upstreamgate.h"

namespace fireflyhaven::node {

// Runs attempts at the upstreams that this host owns: admits, queues, checks the right to send, sends and counts.
class OwnerExecutor {
public:
    // Tells whether a version is suspended at a revision of its list item, by whatever way this host knows.
    using IsSuspended = std::function<bool(const ModelVersion&, Offset)>;

    OwnerExecutor(const NodeSettings& settings, const IClock& clock, telemetry::Metrics& metrics,
        ClusterReplica& replica, IsSuspended isSuspended);
    ~OwnerExecutor();
    OwnerExecutor(const OwnerExecutor&) = delete;
    OwnerExecutor& operator=(const OwnerExecutor&) = delete;

    void start();
    // Runs the attempt on this thread; the last event is Done, Refused or Failed.
    void run(const dispatch::RunRequest& request, const adapters::RunEventReceiver& receiver,
        const http::CancellationCheck& cancelled);
    // Owners have changed; called with the replica's lock held.
    void onGoverning(const ReplicaState& state);
    std::vector<membership::UpstreamLoad> loads() const;
    nlohmann::json dump() const;

private:
    struct Owned {
        Offset since;
        config::Upstream upstream;
        std::shared_ptr<UpstreamGate> gate;
        // The right to send has been held since the upstream was assigned, and the gate has taken over from then on.
        bool begun = false;
    };

    // Why the attempt may not be sent now; empty where it may.
    std::string refusalOf(const dispatch::RunRequest& request) const;
    std::optional<Owned> ownedOf(const UpstreamId& upstream) const;
    // Upstreams that this host has the right to send to now, and since when it owns them.
    std::map<UpstreamId, Offset> sendable() const;
    // Starts the takeover of upstreams whose right has come; returns those to poll.
    std::vector<Owned> beginTakeovers();
    void send(const config::Upstream& upstream, UpstreamGate& gate, const dispatch::RunRequest& request,
        const adapters::RunEventReceiver& receiver, const http::CancellationCheck& cancelled);
    void pollLoop();

    const NodeSettings& m_settings;
    const IClock& m_clock;
    telemetry::Metrics& m_metrics;
    ClusterReplica& m_replica;
    const IsSuspended m_isSuspended;
    mutable absl::Mutex m_mutex;
    std::map<UpstreamId, Owned> m_owned ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    WorkerPool m_pollers { 32 };
    std::thread m_thread;
};

}
