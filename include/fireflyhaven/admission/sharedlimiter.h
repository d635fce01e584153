#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"

#include <map>
#include <vector>

namespace fireflyhaven::admission {

// Sum of the demand that the other hosts report for a workspace.
struct RemoteDemand {
    double requestsPerSecond = 0;
    int inFlight = 0;
};

struct WorkspaceLimits {
    int requestsPerSecond = 1;
    int concurrency = 1;
};

enum class LimitVerdict { Admitted, RateExceeded, ConcurrencyExceeded };

// Enforces the limits of workspaces across all hosts without a request to any of them. Each host admits a share of the
// rate limit in proportion to its share of the demand that heartbeats report. The overshoot is bounded by the requests
// that arrive within one heartbeat interval.
class SharedLimiter {
public:
    LimitVerdict admit(const WorkspaceId& workspace, const WorkspaceLimits& limits, const RemoteDemand& remote,
        int hosts, TimePoint now);
    void onFinished(const WorkspaceId& workspace);

    // Recent rate of requests at this host, admitted or not, in requests per second.
    double demand(const WorkspaceId& workspace, TimePoint now) const;
    int inFlight(const WorkspaceId& workspace) const;
    // Workspaces with requests in flight or recent demand at this host.
    std::vector<WorkspaceId> activeWorkspaces(TimePoint now) const;

private:
    struct State {
        // Start of the current period of demand at this host.
        TimePoint activeSince {};
        // Fill level of the token bucket.
        double tokens = 0;
        TimePoint refilledAt {};
        // Requests per second, exponentially decayed, as of `demandUpdatedAt`.
        double demand = 0;
        TimePoint demandUpdatedAt {};
        int inFlight = 0;
    };

    static double shareOf(const State& state, const RemoteDemand& remote, int hosts, TimePoint now);
    static double decayedDemand(const State& state, TimePoint now);

    std::map<WorkspaceId, State> m_states;
};

}
