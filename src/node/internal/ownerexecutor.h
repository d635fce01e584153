#pragma once

#include "clusterreplica.h"
#include "fireflyhaven/common/workerpool.h"
#include "fireflyhaven/dispatch/types/run.h"
#include "fireflyhaven/adapters/upstreamclient.h"
#include "upstreamlimiter.h"

namespace fireflyhaven::node {

// Runs attempts at the upstreams that this host owns: checks the lease and the configuration, queues the attempts up to
// the upstream's concurrency limit, and sends them.
class OwnerExecutor {
public:
    // Returns whether a version is suspended at a revision of its list item, from any source known to this host.
    using IsSuspended = std::function<bool(const ModelVersion&, Offset)>;

    OwnerExecutor(const NodeSettings& settings, const IClock& clock, telemetry::Metrics& metrics,
        ClusterReplica& replica, IsSuspended isSuspended);
    ~OwnerExecutor();
    OwnerExecutor(const OwnerExecutor&) = delete;
    OwnerExecutor& operator=(const OwnerExecutor&) = delete;

    void start();
    // Runs the attempt on the calling thread. The last event is Done, Refused or Failed.
    void run(const dispatch::RunRequest& request, const adapters::RunEventReceiver& receiver,
        const http::CancellationCheck& cancelled);
    // Updates the owned upstreams after lists or members have changed. Called with the replica's lock held.
    void onGoverningChange(const ReplicaState& state);
    std::vector<membership::UpstreamLoad> loads() const;
    nlohmann::json dump() const;

private:
    struct OwnedUpstream {
        // Offset of the log record that made this host the owner.
        Offset since;
        config::Upstream upstream;
        std::shared_ptr<UpstreamLimiter> limiter;
        // This host has gained the right to send since the upstream was assigned to it, and the limiter has started its
        // takeover.
        bool takeoverStarted = false;
    };

    // Returns the code for why the attempt may not be sent now, or an empty text if it may.
    std::string refusalCode(const dispatch::RunRequest& request) const;
    std::optional<OwnedUpstream> findOwned(const UpstreamId& upstream) const;
    // Upstreams that this host has the right to send to now, with the offsets since which it owns them. The host must
    // hold its lease, and every earlier owner must have lost its own.
    std::map<UpstreamId, Offset> sendableUpstreams() const;
    // Starts the takeover of upstreams that this host has gained the right to send to. Returns the upstreams to poll.
    std::vector<OwnedUpstream> startTakeovers();
    void send(const config::Upstream& upstream, UpstreamLimiter& limiter, const dispatch::RunRequest& request,
        const adapters::RunEventReceiver& receiver, const http::CancellationCheck& cancelled);
    void pollLoop();

    const NodeSettings& m_settings;
    const IClock& m_clock;
    telemetry::Metrics& m_metrics;
    ClusterReplica& m_replica;
    const IsSuspended m_isSuspended;
    mutable absl::Mutex m_mutex;
    std::map<UpstreamId, OwnedUpstream> m_ownedUpstreams ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    WorkerPool m_pollWorkers { 32 };
    std::thread m_pollThread;
};

}
