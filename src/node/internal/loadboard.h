#pragma once

#include "clusterreplica.h"
#include "fireflyhaven/admission/sharedlimiter.h"
#include "fireflyhaven/dispatch/retrybudget.h"
#include "fireflyhaven/routing/upstreampicker.h"
#include "ownerexecutor.h"

#include <random>

namespace fireflyhaven::node {

// What this entry host knows of upstreams: their load as their owners report it, their usual first-token time, and
// which of them failed lately.
class LoadBoard {
public:
    LoadBoard(const NodeSettings& settings, const IClock& clock, ClusterReplica& replica, OwnerExecutor& executor);

    routing::UpstreamOption optionFor(const UpstreamId& upstream, const DataCentreId& dataCentre);
    void onFirstToken(const UpstreamId& upstream, Duration time);
    void onSuccess(const UpstreamId& upstream);
    // Avoids the upstream for a while, longer with each failure in a row.
    void onFailure(const UpstreamId& upstream);
    // Demand that the other hosts report for the workspace, and the number of hosts heard, this one included.
    admission::RemoteDemand othersDemand(const WorkspaceId& workspace);
    int hosts();

private:
    struct Health {
        int failuresInRow = 0;
        TimePoint avoidedUntil {};
        Duration firstToken { 100 };
    };

    // Reports come in parts, so each keeps the time at which it came.
    struct KnownLoad {
        membership::UpstreamLoad load;
        TimePoint heardAt {};
    };
    struct KnownDemand {
        membership::WorkspaceDemand demand;
        TimePoint heardAt {};
    };

    void refresh() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const NodeSettings& m_settings;
    const IClock& m_clock;
    ClusterReplica& m_replica;
    OwnerExecutor& m_executor;
    absl::Mutex m_mutex;
    std::map<membership::ShortId, KnownLoad> m_loads ABSL_GUARDED_BY(m_mutex);
    std::map<std::pair<membership::ShortId, HostId>, KnownDemand> m_demands ABSL_GUARDED_BY(m_mutex);
    std::map<UpstreamId, Health> m_health ABSL_GUARDED_BY(m_mutex);
    int m_hosts ABSL_GUARDED_BY(m_mutex) = 1;
    TimePoint m_refreshedAt ABSL_GUARDED_BY(m_mutex) {};
    std::mt19937_64 m_random ABSL_GUARDED_BY(m_mutex);
};

}
