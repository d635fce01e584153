#include "fireflyhaven/admission/sharedlimiter.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::admission {

namespace {

// Time constant of the exponential decay of demand.
constexpr double DEMAND_WINDOW_SECONDS = 2;
// Demand assumed for an idle host, in requests per second, so that its share of the limit is never zero.
constexpr double IDLE_DEMAND_PER_SECOND = 0.1;
// Time within which all hosts have reported their demand; until then each host takes an equal share.
constexpr Duration DEMAND_REPORT_DELAY { 2000 };

double seconds(Duration it) { return std::chrono::duration<double>(it).count(); }

}

double SharedLimiter::decayedDemand(const State& state, TimePoint now)
{
    return state.demand * std::exp(-seconds(now - state.demandUpdatedAt) / DEMAND_WINDOW_SECONDS);
}

double SharedLimiter::shareOf(const State& state, const RemoteDemand& remote, int hosts, TimePoint now)
{
    if (now - state.activeSince < DEMAND_REPORT_DELAY)
        return 1.0 / std::max(1, hosts);
    const double localDemand = state.demand + IDLE_DEMAND_PER_SECOND;
    return localDemand / (localDemand + remote.requestsPerSecond + (hosts - 1) * IDLE_DEMAND_PER_SECOND);
}

LimitVerdict SharedLimiter::admit(
    const WorkspaceId& workspace, const WorkspaceLimits& limits, const RemoteDemand& remote, int hosts, TimePoint now)
{
    const bool known = m_states.count(workspace) > 0;
    State& state = m_states[workspace];
    if (!known || decayedDemand(state, now) < IDLE_DEMAND_PER_SECOND)
        state.activeSince = now;
    state.demand = decayedDemand(state, now) + 1 / DEMAND_WINDOW_SECONDS;
    state.demandUpdatedAt = now;
    const double rate = limits.requestsPerSecond * shareOf(state, remote, hosts, now);
    const double burst = std::max(1.0, rate);
    state.tokens = known ? std::min(burst, state.tokens + rate * seconds(now - state.refilledAt)) : burst;
    state.refilledAt = now;
    if (state.inFlight + remote.inFlight >= limits.concurrency)
        return LimitVerdict::ConcurrencyExceeded;
    if (state.tokens < 1)
        return LimitVerdict::RateExceeded;
    state.tokens -= 1;
    ++state.inFlight;
    return LimitVerdict::Admitted;
}

void SharedLimiter::onFinished(const WorkspaceId& workspace)
{
    const auto it = m_states.find(workspace);
    if (it != m_states.end() && it->second.inFlight > 0)
        --it->second.inFlight;
}

double SharedLimiter::demand(const WorkspaceId& workspace, TimePoint now) const
{
    const auto it = m_states.find(workspace);
    return it == m_states.end() ? 0 : decayedDemand(it->second, now);
}

int SharedLimiter::inFlight(const WorkspaceId& workspace) const
{
    const auto it = m_states.find(workspace);
    return it == m_states.end() ? 0 : it->second.inFlight;
}

std::vector<WorkspaceId> SharedLimiter::activeWorkspaces(TimePoint now) const
{
    // Requests per second, below which the decayed demand counts as none.
    constexpr double MIN_ACTIVE_DEMAND = 0.01;
    std::vector<WorkspaceId> workspaces;
    for (const auto& [workspace, state] : m_states) {
        if (state.inFlight > 0 || decayedDemand(state, now) > MIN_ACTIVE_DEMAND)
            workspaces.push_back(workspace);
    }
    return workspaces;
}

}
