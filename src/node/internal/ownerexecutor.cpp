#include "ownerexecutor.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fireflyhaven::node {

namespace {

constexpr Duration LOAD_POLL_INTERVAL { 500 };

dispatch::RunEvent refusedEvent(const std::string& code, const std::string& message)
{
    return { .kind = dispatch::RunEventKind::Refused, .code = code, .message = message };
}

const char* phaseName(dispatch::ConcurrencyRamp::Phase phase)
{
    switch (phase) {
    case dispatch::ConcurrencyRamp::Phase::TakingOver:
        return "taking_over";
    case dispatch::ConcurrencyRamp::Phase::Cold:
        return "cold";
    case dispatch::ConcurrencyRamp::Phase::Warm:
        return "warm";
    }
    return "";
}

// Whether the workspace's plan allows the version for the task, or the service.
bool isAllowed(const config::Lists& lists, const dispatch::RunRequest& request, const config::Upstream& upstream)
{
    const auto* workspace = config::findItem(lists.workspaces, request.workspace);
    if (!workspace)
        return false;
    const PlanName& plan = workspace->value.plan;
    if (upstream.kind == config::UpstreamKind::Service) {
        const auto& services = lists.plans.at(plan).value.services;
        return std::find(services.begin(), services.end(), upstream.service) != services.end();
    }
    const auto* allowance
        = config::findItem(lists.allowances, config::AllowanceKey { .plan = plan, .task = request.task });
    if (!allowance)
        return false;
    const auto& shares = allowance->value.versionShares;
    return std::any_of(shares.begin(), shares.end(), [&](const auto& it) { return it.version == request.version; });
}

}

OwnerExecutor::OwnerExecutor(const NodeSettings& settings, const IClock& clock, telemetry::Metrics& metrics,
    ClusterReplica& replica, IsSuspended isSuspended)
    : m_settings(settings)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_replica(replica)
    , m_isSuspended(std::move(isSuspended))
{
}

OwnerExecutor::~OwnerExecutor()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    if (m_pollThread.joinable())
        m_pollThread.join();
}

void OwnerExecutor::start()
{
    m_pollThread = std::thread([this] { pollLoop(); });
}

void OwnerExecutor::onGoverningChange(const ReplicaState& state)
{
    absl::MutexLock lock(&m_mutex);
    const config::Lists& lists = state.fold.config().lists();
    std::map<UpstreamId, OwnedUpstream> updated;
    for (const UpstreamId& id : state.owners.ownedBy(m_settings.host)) {
        const auto* item = config::findItem(lists.upstreams, id);
        if (!item)
            continue;
        const Offset since = state.owners.ownerSince(id);
        const auto previous = m_ownedUpstreams.find(id);
        OwnedUpstream owned { .since = since, .upstream = item->value, .limiter = nullptr };
        if (previous != m_ownedUpstreams.end()) {
            owned.limiter = previous->second.limiter;
            owned.limiter->setLimits(item->value.coldLimit, item->value.limit);
            owned.takeoverStarted = previous->second.takeoverStarted && previous->second.since == since;
        } else {
            const dispatch::RampOptions options { .coldLimit = item->value.coldLimit, .limit = item->value.limit };
            owned.limiter = std::make_shared<UpstreamLimiter>(options, m_clock);
            spdlog::info("became owner of upstream {} at offset {}", id.value(), since.value());
        }
        updated[id] = std::move(owned);
    }
    for (const auto& [id, owned] : m_ownedUpstreams) {
        if (!updated.count(id))
            spdlog::info("no longer owner of upstream {}", id.value());
    }
    m_ownedUpstreams = std::move(updated);
}

std::optional<OwnerExecutor::OwnedUpstream> OwnerExecutor::findOwned(const UpstreamId& upstream) const
{
    absl::MutexLock lock(&m_mutex);
    const auto it = m_ownedUpstreams.find(upstream);
    return it == m_ownedUpstreams.end() ? std::nullopt : std::optional(it->second);
}

std::string OwnerExecutor::refusalCode(const dispatch::RunRequest& request) const
{
    Offset versionRevision;
    const std::string refusal = m_replica.read([&](const ReplicaState& state) -> std::string {
        const TimePoint now = m_clock.now();
        const config::Lists& lists = state.fold.config().lists();
        const HostId* owner = state.owners.ownerOf(request.upstream);
        if (!owner || *owner != m_settings.host)
            return "not_owner";
        if (!state.tracker.mayActAsOwner(now)
            || state.tracker.settledOffset(now) < state.owners.ownerSince(request.upstream))
            return "no_right_to_send";
        const config::Upstream& upstream = lists.upstreams.at(request.upstream).value;
        const auto* dataCentre = config::findItem(lists.dataCentres, upstream.dataCentre);
        if (!upstream.inService || !dataCentre || !dataCentre->value.inService)
            return "upstream_out_of_service";
        if (!isAllowed(lists, request, upstream))
            return "not_allowed";
        if (upstream.kind == config::UpstreamKind::Service)
            return {};
        const auto& servedVersions = upstream.versions;
        if (std::find(servedVersions.begin(), servedVersions.end(), request.version) == servedVersions.end())
            return "version_not_served";
        const auto* version = config::findItem(lists.versions, request.version);
        if (!version || version->value.state == config::VersionState::Withdrawn)
            return "version_withdrawn";
        versionRevision = version->revision;
        return {};
    });
    const bool engineCall = refusal.empty() && !request.version.empty();
    return engineCall && m_isSuspended(request.version, versionRevision) ? "version_suspended" : refusal;
}

void OwnerExecutor::run(const dispatch::RunRequest& request, const adapters::RunEventReceiver& receiver,
    const http::CancellationCheck& cancelled)
{
    const std::string refusal = refusalCode(request);
    const std::optional<OwnedUpstream> owned = findOwned(request.upstream);
    if (!refusal.empty() || !owned || !owned->takeoverStarted) {
        const std::string code = refusal.empty() ? "taking_over" : refusal;
        m_metrics.count("owner_refused_" + code);
        receiver(refusedEvent(code, "the owner may not send the request"));
        return;
    }
    const TimePoint startBy = m_clock.now() + Duration(request.startWithinMs);
    const TimePoint answerBy = m_clock.now() + Duration(request.answerWithinMs);
    const admission::QueuedRequest queuedRequest { .id = {},
        .workspace = request.workspace,
        .priority = request.priority,
        .weight = request.weight,
        .startBy = startBy };
    const AcquireResult acquireResult = owned->limiter->acquire(queuedRequest, cancelled);
    if (acquireResult != AcquireResult::Acquired) {
        m_metrics.count(acquireResult == AcquireResult::TimedOut ? "owner_queue_timeouts" : "owner_queue_refusals");
        receiver(refusedEvent("overloaded", "the upstream has no room in time"));
        return;
    }
    // The right to send and the lists may have changed while the attempt was queued, so they are checked again
    // immediately before sending.
    const std::string refusalAtSend = refusalCode(request);
    if (!refusalAtSend.empty() || m_clock.now() >= answerBy) {
        owned->limiter->releaseFailed();
        m_metrics.count("owner_refused_at_send");
        receiver(
            refusedEvent(refusalAtSend.empty() ? "deadline" : refusalAtSend, "the request may not be sent any more"));
        return;
    }
    dispatch::RunRequest requestToSend = request;
    requestToSend.answerWithinMs = (answerBy - m_clock.now()).count();
    send(owned->upstream, *owned->limiter, requestToSend, receiver, cancelled);
}

void OwnerExecutor::send(const config::Upstream& upstream, UpstreamLimiter& limiter,
    const dispatch::RunRequest& request, const adapters::RunEventReceiver& receiver,
    const http::CancellationCheck& cancelled)
{
    m_metrics.count("attempts_sent");
    receiver({ .kind = dispatch::RunEventKind::Started });
    const bool engine = upstream.kind == config::UpstreamKind::Engine;
    adapters::AttemptOutcome outcome = engine ? adapters::runOnEngine(upstream, request, m_clock, receiver, cancelled)
                                              : adapters::runOnService(upstream, request, cancelled);
    const bool mayStillRun = outcome.finalEvent.kind == dispatch::RunEventKind::Failed;
    if (engine && mayStillRun && adapters::cancelOnEngine(upstream, request))
        m_metrics.count("attempts_cancelled");
    // A stream that the upstream cut indicates that it crashed, so the limiter treats the upstream as cold.
    if (outcome.refusedForCapacity || (outcome.finalEvent.code == "upstream_cut" && !outcome.stopped))
        limiter.releaseRefused();
    else if (outcome.finalEvent.kind == dispatch::RunEventKind::Done)
        limiter.releaseAnswered(outcome.firstToken);
    else
        limiter.releaseFailed();
    if (outcome.firstToken)
        m_metrics.observe("upstream_first_token", *outcome.firstToken);
    if (outcome.finalEvent.kind != dispatch::RunEventKind::Done)
        m_metrics.count("attempts_" + outcome.finalEvent.code);
    receiver(std::move(outcome.finalEvent));
}

std::map<UpstreamId, Offset> OwnerExecutor::sendableUpstreams() const
{
    return m_replica.read([&](const ReplicaState& state) {
        std::map<UpstreamId, Offset> upstreams;
        const TimePoint now = m_clock.now();
        if (!state.tracker.mayActAsOwner(now))
            return upstreams;
        const Offset settled = state.tracker.settledOffset(now);
        for (const UpstreamId& id : state.owners.ownedBy(m_settings.host)) {
            if (settled >= state.owners.ownerSince(id))
                upstreams[id] = state.owners.ownerSince(id);
        }
        return upstreams;
    });
}

// A takeover starts, and load reports are used, only once no earlier owner can send any more: an earlier load report
// could miss the last requests of that owner.
std::vector<OwnerExecutor::OwnedUpstream> OwnerExecutor::startTakeovers()
{
    const std::map<UpstreamId, Offset> upstreams = sendableUpstreams();
    absl::MutexLock lock(&m_mutex);
    std::vector<OwnedUpstream> ready;
    for (auto& [id, owned] : m_ownedUpstreams) {
        const auto sendRight = upstreams.find(id);
        if (sendRight == upstreams.end() || sendRight->second != owned.since)
            continue;
        if (!std::exchange(owned.takeoverStarted, true))
            owned.limiter->onTakeover();
        ready.push_back(owned);
    }
    return ready;
}

void OwnerExecutor::pollLoop()
{
    while (true) {
        {
            absl::MutexLock lock(&m_mutex);
            m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping), absl::Milliseconds(LOAD_POLL_INTERVAL.count()));
            if (m_stopping)
                return;
        }
        const std::vector<OwnedUpstream> owned = startTakeovers();
        for (const OwnedUpstream& it : owned) {
            m_pollWorkers.run([it, &metrics = m_metrics] {
                const auto report = handleFailure(
                    [&]() -> Result<std::optional<dispatch::LoadReport>> {
                        BOOST_LEAF_AUTO(load, adapters::readLoadReport(it.upstream));
                        return std::optional(load);
                    },
                    [](const Failure&) { return std::optional<dispatch::LoadReport>(); });
                if (report)
                    it.limiter->onLoadReport(*report);
                else
                    metrics.count("load_report_failures");
            });
        }
    }
}

std::vector<membership::UpstreamLoad> OwnerExecutor::loads() const
{
    const std::map<UpstreamId, Offset> upstreams = sendableUpstreams();
    absl::MutexLock lock(&m_mutex);
    std::vector<membership::UpstreamLoad> loads;
    for (const auto& [id, owned] : m_ownedUpstreams) {
        loads.push_back(owned.limiter->load(id));
        if (!owned.takeoverStarted || !upstreams.count(id))
            loads.back().limit = 0;
    }
    return loads;
}

nlohmann::json OwnerExecutor::dump() const
{
    absl::MutexLock lock(&m_mutex);
    nlohmann::json upstreams = nlohmann::json::object();
    for (const auto& [id, owned] : m_ownedUpstreams) {
        const membership::UpstreamLoad load = owned.limiter->load(id);
        const char* phase = owned.takeoverStarted ? phaseName(owned.limiter->phase()) : "waiting_for_right";
        upstreams[id.value()] = { { "in_flight", load.inFlight }, { "limit", load.limit }, { "queued", load.queued },
            { "phase", phase } };
    }
    return upstreams;
}

}
