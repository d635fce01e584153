#pragma once

#include "clusterreplica.h"
#include "fireflyhaven/admission/sharedlimiter.h"
#include "fireflyhaven/dispatch/retrybudget.h"
#include "fireflyhaven/routing/upstreampicker.h"
#include "ownerexecutor.h"

#include <random>

namespace fireflyhaven::node {

// Tracks upstreams as seen by this entry host: their load as reported by their owners, their average time to the first
// token, and recent failures. Also tracks the demand of workspaces on the other hosts.
class LoadTracker {
public:
    LoadTracker(const NodeSettings& settings, const IClock& clock, ClusterReplica& replica, OwnerExecutor& executor);

    routing::UpstreamOption optionFor(const UpstreamId& upstream, const DataCentreId& dataCentre);
    void onFirstToken(const UpstreamId& upstream, Duration time);
    void onSuccess(const UpstreamId& upstream);
    // Marks the upstream as avoided, with a backoff that grows with each consecutive failure.
    void onFailure(const UpstreamId& upstream);
    // Sum of the demand that the other hosts report for the workspace.
    admission::RemoteDemand peerDemand(const WorkspaceId& workspace);
    // Number of hosts with recent heartbeats, this host included.
    int liveHostCount();

private:
    struct Health {
        int consecutiveFailures = 0;
        TimePoint avoidedUntil {};
        Duration firstToken { 100 };
    };

    // A heartbeat carries only part of a host's report, so each item is timed out separately.
    struct ReportedLoad {
        membership::UpstreamLoad load;
        TimePoint receivedAt {};
    };
    struct ReportedDemand {
        membership::WorkspaceDemand demand;
        TimePoint receivedAt {};
    };

    void refresh() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const NodeSettings& m_settings;
    const IClock& m_clock;
    ClusterReplica& m_replica;
    OwnerExecutor& m_executor;
    absl::Mutex m_mutex;
    std::map<membership::ShortId, ReportedLoad> m_loads ABSL_GUARDED_BY(m_mutex);
    std::map<std::pair<membership::ShortId, HostId>, ReportedDemand> m_demands ABSL_GUARDED_BY(m_mutex);
    std::map<UpstreamId, Health> m_health ABSL_GUARDED_BY(m_mutex);
    int m_liveHostCount ABSL_GUARDED_BY(m_mutex) = 1;
    TimePoint m_refreshedAt ABSL_GUARDED_BY(m_mutex) {};
    std::mt19937_64 m_random ABSL_GUARDED_BY(m_mutex);
};

}
