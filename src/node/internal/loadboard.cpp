#include "loadboard.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>

namespace fireflyhaven::node {

namespace {
constexpr Duration REFRESH_INTERVAL { 100 };
constexpr int FIRST_TOKEN_HISTORY = 8;
constexpr dispatch::RetryOptions AVOIDANCE { .firstBackoff = Duration(500), .longestBackoff = Duration(10'000) };
}

LoadBoard::LoadBoard(
    const NodeSettings& settings, const IClock& clock, ClusterReplica& replica, OwnerExecutor& executor)
    : m_settings(settings)
    , m_clock(clock)
    , m_replica(replica)
    , m_executor(executor)
    , m_random(stableHash(settings.host.value()))
{
}

void LoadBoard::refresh()
{
    const TimePoint now = m_clock.now();
    if (now - m_refreshedAt < REFRESH_INTERVAL)
        return;
    m_refreshedAt = now;
    m_loads.clear();
    m_demands.clear();
    for (const membership::UpstreamLoad& it : m_executor.loads())
        m_loads[it.upstream] = it;
    m_hosts = 1;
    m_replica.read([&](const ReplicaState& state) {
        for (const HostId& id : state.tracker.heardHosts(now)) {
            const membership::HostReport* report = state.tracker.reportOf(id, now);
            ++m_hosts;
            for (const membership::UpstreamLoad& it : report->loads)
                m_loads.emplace(it.upstream, it);
            for (const membership::WorkspaceDemand& it : report->demands) {
                m_demands[it.workspace].requestsPerSecond += it.requestsPerSecond;
                m_demands[it.workspace].inFlight += static_cast<int>(it.inFlight);
            }
        }
    });
}

routing::UpstreamOption LoadBoard::optionFor(const UpstreamId& upstream, const DataCentreId& dataCentre)
{
    absl::MutexLock lock(&m_mutex);
    refresh();
    routing::UpstreamOption option { .upstream = upstream, .sameDataCentre = dataCentre == m_settings.dataCentre };
    const auto load = m_loads.find(upstream);
    if (load != m_loads.end()) {
        option.inFlight = load->second.inFlight;
        option.limit = load->second.limit;
        option.queued = load->second.queued;
    }
    const Health& health = m_health[upstream];
    option.firstToken = health.firstToken;
    // An upstream whose owner is unknown or still taking over can't be sent to yet.
    option.avoided = health.avoidedUntil > m_clock.now() || load == m_loads.end() || load->second.limit == 0;
    return option;
}

void LoadBoard::onFirstToken(const UpstreamId& upstream, Duration time)
{
    absl::MutexLock lock(&m_mutex);
    Health& health = m_health[upstream];
    health.firstToken = (health.firstToken * (FIRST_TOKEN_HISTORY - 1) + time) / FIRST_TOKEN_HISTORY;
}

void LoadBoard::onSuccess(const UpstreamId& upstream)
{
    absl::MutexLock lock(&m_mutex);
    m_health[upstream].failuresInRow = 0;
}

void LoadBoard::onFailure(const UpstreamId& upstream)
{
    absl::MutexLock lock(&m_mutex);
    Health& health = m_health[upstream];
    const Duration delay = AVOIDANCE.firstBackoff + dispatch::backoffDelay(AVOIDANCE, health.failuresInRow, m_random);
    ++health.failuresInRow;
    health.avoidedUntil = m_clock.now() + delay;
}

admission::OthersDemand LoadBoard::othersDemand(const WorkspaceId& workspace)
{
    absl::MutexLock lock(&m_mutex);
    refresh();
    const auto it = m_demands.find(workspace);
    return it == m_demands.end() ? admission::OthersDemand {} : it->second;
}

int LoadBoard::hosts()
{
    absl::MutexLock lock(&m_mutex);
    refresh();
    return m_hosts;
}

}
