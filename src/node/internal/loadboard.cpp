#include "loadboard.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>

namespace fireflyhaven::node {

namespace {
constexpr Duration REFRESH_INTERVAL { 100 };
// Time after which what a host told no longer counts; a few turns of the parts of a report.
constexpr Duration REPORT_LIFETIME { 8000 };
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
    const auto reports = m_replica.read([&](const ReplicaState& state) {
        std::map<HostId, membership::HostReport> heard;
        for (const HostId& id : state.tracker.reachableHosts(now))
            heard[id] = *state.tracker.reportOf(id, now);
        return heard;
    });
    m_hosts = 1 + static_cast<int>(reports.size());
    for (const auto& [id, report] : reports) {
        for (const membership::UpstreamLoad& it : report.loads)
            m_loads[it.upstream] = { .load = it, .heardAt = now };
        for (const membership::WorkspaceDemand& it : report.demands)
            m_demands[{ it.workspace, id }] = { .demand = it, .heardAt = now };
    }
    for (const membership::UpstreamLoad& it : m_executor.loads())
        m_loads[it.upstream] = { .load = it, .heardAt = now };
    std::erase_if(m_loads, [&](const auto& it) { return now - it.second.heardAt > REPORT_LIFETIME; });
    std::erase_if(m_demands, [&](const auto& it) { return now - it.second.heardAt > REPORT_LIFETIME; });
}

routing::UpstreamOption LoadBoard::optionFor(const UpstreamId& upstream, const DataCentreId& dataCentre)
{
    absl::MutexLock lock(&m_mutex);
    refresh();
    routing::UpstreamOption option { .upstream = upstream,
        .hash = stableHash(upstream.value()),
        .sameDataCentre = dataCentre == m_settings.dataCentre };
    const auto load = m_loads.find(membership::shortIdOf(upstream.value()));
    if (load != m_loads.end()) {
        option.inFlight = load->second.load.inFlight;
        option.limit = load->second.load.limit;
        option.queued = load->second.load.queued;
    }
    const Health& health = m_health[upstream];
    option.firstToken = health.firstToken;
    // An upstream whose owner is unknown or still taking over can't be sent to yet.
    option.avoided = health.avoidedUntil > m_clock.now() || load == m_loads.end() || load->second.load.limit == 0;
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
    const membership::ShortId id = membership::shortIdOf(workspace.value());
    absl::MutexLock lock(&m_mutex);
    refresh();
    admission::OthersDemand others;
    for (auto it = m_demands.lower_bound({ id, HostId() }); it != m_demands.end() && it->first.first == id; ++it) {
        others.requestsPerSecond += it->second.demand.requestsPerSecond;
        others.inFlight += it->second.demand.inFlight;
    }
    return others;
}

int LoadBoard::hosts()
{
    absl::MutexLock lock(&m_mutex);
    refresh();
    return m_hosts;
}

}
