#include "fireflyhaven/admission/sharedlimiter.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::admission {

namespace {

constexpr double DEMAND_WINDOW_SECONDS = 2;
// Demand, in requests a second, that an idle host is taken to have, so that it is not left without a share.
constexpr double IDLE_DEMAND = 0.1;
// Time after which every host's demand has been reported.
constexpr Duration REPORT_TIME { 2000 };

double seconds(Duration it) { return std::chrono::duration<double>(it).count(); }

}

double SharedLimiter::decayedDemand(const State& state, TimePoint now)
{
    return state.demand * std::exp(-seconds(now - state.demandAt) / DEMAND_WINDOW_SECONDS);
}

double SharedLimiter::shareOf(const State& state, const OthersDemand& others, int hosts, TimePoint now)
{
    if (now - state.activeSince < REPORT_TIME)
        return 1.0 / std::max(1, hosts);
    const double mine = state.demand + IDLE_DEMAND;
    return mine / (mine + others.requestsPerSecond + (hosts - 1) * IDLE_DEMAND);
}

LimitVerdict SharedLimiter::admit(
    const WorkspaceId& workspace, const WorkspaceLimits& limits, const OthersDemand& others, int hosts, TimePoint now)
{
    const bool known = m_states.count(workspace) > 0;
    State& state = m_states[workspace];
    if (!known || decayedDemand(state, now) < IDLE_DEMAND)
        state.activeSince = now;
    state.demand = decayedDemand(state, now) + 1 / DEMAND_WINDOW_SECONDS;
    state.demandAt = now;
    const double rate = limits.requestsPerSecond * shareOf(state, others, hosts, now);
    const double burst = std::max(1.0, rate);
    state.tokens = known ? std::min(burst, state.tokens + rate * seconds(now - state.refilledAt)) : burst;
    state.refilledAt = now;
    if (state.inFlight + others.inFlight >= limits.concurrency)
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

std::vector<WorkspaceId> SharedLimiter::active(TimePoint now) const
{
    constexpr double LEAST_DEMAND = 0.01;
    std::vector<WorkspaceId> workspaces;
    for (const auto& [workspace, state] : m_states) {
        if (state.inFlight > 0 || decayedDemand(state, now) > LEAST_DEMAND)
            workspaces.push_back(workspace);
    }
    return workspaces;
}

}
