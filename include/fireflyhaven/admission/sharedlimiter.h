#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"

#include <map>
#include <vector>

namespace fireflyhaven::admission {

// What the other hosts report of a workspace, summed up.
struct OthersDemand {
    double requestsPerSecond = 0;
    int inFlight = 0;
};

struct WorkspaceLimits {
    int requestsPerSecond = 1;
    int concurrency = 1;
};

enum class LimitVerdict { Admitted, RateExceeded, ConcurrencyExceeded };

// Holds a workspace's limits across hosts without asking them: each host admits a share of the limit in proportion to
// its part of the demand that the heartbeats report. The error is bounded by what arrives in one heartbeat interval.
class SharedLimiter {
public:
    LimitVerdict admit(const WorkspaceId& workspace, const WorkspaceLimits& limits, const OthersDemand& others,
        int hosts, TimePoint now);
    void onFinished(const WorkspaceId& workspace);

    // Requests a second offered here lately, and those in flight.
    double demand(const WorkspaceId& workspace, TimePoint now) const;
    int inFlight(const WorkspaceId& workspace) const;
    std::vector<WorkspaceId> active(TimePoint now) const;

private:
    struct State {
        // Since when the workspace has been active here.
        TimePoint activeSince {};
        double tokens = 0;
        TimePoint refilledAt {};
        double demand = 0;
        TimePoint demandAt {};
        int inFlight = 0;
    };

    static double shareOf(const State& state, const OthersDemand& others, int hosts, TimePoint now);
    static double decayedDemand(const State& state, TimePoint now);

    std::map<WorkspaceId, State> m_states;
};

}
