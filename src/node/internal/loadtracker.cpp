#include "loadtracker.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>

namespace fireflyhaven::node {

namespace {
constexpr Duration REFRESH_INTERVAL { 100 };
// Age at which a reported load or demand is discarded. Heartbeats carry a host's report in turns of a few items each,
// so this spans several turns.
constexpr Duration REPORT_TIMEOUT { 8000 };
// Each new measurement enters the moving average with a weight of 1 / FIRST_TOKEN_AVERAGE_SAMPLES.
constexpr int FIRST_TOKEN_AVERAGE_SAMPLES = 8;
constexpr dispatch::RetryOptions AVOIDANCE_BACKOFF { .baseBackoff = Duration(500), .maxBackoff = Duration(10'000) };
}

LoadTracker::LoadTracker(
    const NodeSettings& settings, const IClock& clock, ClusterReplica& replica, OwnerExecutor& executor)
    : m_settings(settings)
    , m_clock(clock)
    , m_replica(replica)
    , m_executor(executor)
    , m_random(stableHash(settings.host.value()))
{
}

void LoadTracker::refresh()
{
    const TimePoint now = m_clock.now();
    if (now - m_refreshedAt < REFRESH_INTERVAL)
        return;
    m_refreshedAt = now;
    const auto reports = m_replica.read([&](const ReplicaState& state) {
        std::map<HostId, membership::HostReport> reportsByHost;
        for (const HostId& id : state.tracker.reachableHosts(now))
            reportsByHost[id] = *state.tracker.reportOf(id, now);
        return reportsByHost;
    });
    m_liveHostCount = 1 + static_cast<int>(reports.size());
    for (const auto& [id, report] : reports) {
        for (const membership::UpstreamLoad& it : report.loads)
            m_loads[it.upstream] = { .load = it, .receivedAt = now };
        for (const membership::WorkspaceDemand& it : report.demands)
            m_demands[{ it.workspace, id }] = { .demand = it, .receivedAt = now };
    }
    for (const membership::UpstreamLoad& it : m_executor.loads())
        m_loads[it.upstream] = { .load = it, .receivedAt = now };
    std::erase_if(m_loads, [&](const auto& it) { return now - it.second.receivedAt > REPORT_TIMEOUT; });
    std::erase_if(m_demands, [&](const auto& it) { return now - it.second.receivedAt > REPORT_TIMEOUT; });
}

routing::UpstreamOption LoadTracker::optionFor(const UpstreamId& upstream, const DataCentreId& dataCentre)
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
    // An upstream without a load report has no known owner, and a limit of 0 means that the owner is still taking over.
    // Neither can be sent to yet.
    option.avoided = health.avoidedUntil > m_clock.now() || load == m_loads.end() || load->second.load.limit == 0;
    return option;
}

void LoadTracker::onFirstToken(const UpstreamId& upstream, Duration time)
{
    absl::MutexLock lock(&m_mutex);
    Health& health = m_health[upstream];
    health.firstToken = (health.firstToken * (FIRST_TOKEN_AVERAGE_SAMPLES - 1) + time) / FIRST_TOKEN_AVERAGE_SAMPLES;
}

void LoadTracker::onSuccess(const UpstreamId& upstream)
{
    absl::MutexLock lock(&m_mutex);
    m_health[upstream].consecutiveFailures = 0;
}

void LoadTracker::onFailure(const UpstreamId& upstream)
{
    absl::MutexLock lock(&m_mutex);
    Health& health = m_health[upstream];
    const Duration delay = AVOIDANCE_BACKOFF.baseBackoff
        + dispatch::backoffDelay(AVOIDANCE_BACKOFF, health.consecutiveFailures, m_random);
    ++health.consecutiveFailures;
    health.avoidedUntil = m_clock.now() + delay;
}

admission::RemoteDemand LoadTracker::peerDemand(const WorkspaceId& workspace)
{
    const membership::ShortId id = membership::shortIdOf(workspace.value());
    absl::MutexLock lock(&m_mutex);
    refresh();
    admission::RemoteDemand total;
    for (auto it = m_demands.lower_bound({ id, HostId() }); it != m_demands.end() && it->first.first == id; ++it) {
        total.requestsPerSecond += it->second.demand.requestsPerSecond;
        total.inFlight += it->second.demand.inFlight;
    }
    return total;
}

int LoadTracker::liveHostCount()
{
    absl::MutexLock lock(&m_mutex);
    refresh();
    return m_liveHostCount;
}

}
