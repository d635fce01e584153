#include "ownerexecutor.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fireflyhaven::node {

namespace {

constexpr Duration LOAD_POLL_INTERVAL { 500 };

dispatch::RunEvent refused(const std::string& code, const std::string& message)
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

// Whether the lists let the workspace's plan use the version for the task, or the service.
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
    const auto& uses = allowance->value.uses;
    return std::any_of(uses.begin(), uses.end(), [&](const auto& it) { return it.version == request.version; });
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
    if (m_thread.joinable())
        m_thread.join();
}

void OwnerExecutor::start()
{
    m_thread = std::thread([this] { pollLoop(); });
}

void OwnerExecutor::onGoverning(const ReplicaState& state)
{
    absl::MutexLock lock(&m_mutex);
    const config::Lists& lists = state.fold.config().lists();
    std::map<UpstreamId, Owned> next;
    for (const UpstreamId& id : state.owners.ownedBy(m_settings.host)) {
        const auto* item = config::findItem(lists.upstreams, id);
        if (!item)
            continue;
        const Offset since = state.owners.ownerSince(id);
        const auto earlier = m_owned.find(id);
        Owned owned { .since = since, .upstream = item->value, .gate = nullptr };
        if (earlier != m_owned.end()) {
            owned.gate = earlier->second.gate;
            owned.gate->setLimits(item->value.coldLimit, item->value.limit);
            owned.begun = earlier->second.begun && earlier->second.since == since;
        } else {
            const dispatch::RampOptions options { .coldLimit = item->value.coldLimit, .limit = item->value.limit };
            owned.gate = std::make_shared<UpstreamGate>(options, m_clock);
            spdlog::info("owner of {} since {}", id.value(), since.value());
        }
        next[id] = std::move(owned);
    }
    for (const auto& [id, owned] : m_owned) {
        if (!next.count(id))
            spdlog::info("no longer owner of {}", id.value());
    }
    m_owned = std::move(next);
}

std::optional<OwnerExecutor::Owned> OwnerExecutor::ownedOf(const UpstreamId& upstream) const
{
    absl::MutexLock lock(&m_mutex);
    const auto it = m_owned.find(upstream);
    return it == m_owned.end() ? std::nullopt : std::optional(it->second);
}

std::string OwnerExecutor::refusalOf(const dispatch::RunRequest& request) const
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
        const auto& served = upstream.versions;
        if (std::find(served.begin(), served.end(), request.version) == served.end())
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

void OwnerExecutor::run(
    const dispatch::RunRequest& request, const adapters::RunEventReceiver& receiver, const http::Cancelled& cancelled)
{
    const std::string refusal = refusalOf(request);
    const std::optional<Owned> owned = ownedOf(request.upstream);
    if (!refusal.empty() || !owned || !owned->begun) {
        const std::string code = refusal.empty() ? "taking_over" : refusal;
        m_metrics.count("owner_refused_" + code);
        receiver(refused(code, "the owner may not send the request"));
        return;
    }
    const TimePoint startBy = m_clock.now() + Duration(request.startWithinMs);
    const TimePoint answerBy = m_clock.now() + Duration(request.answerWithinMs);
    const admission::Waiting waiting { .id = {},
        .workspace = request.workspace,
        .priority = request.priority,
        .weight = request.weight,
        .startBy = startBy };
    const GateVerdict verdict = owned->gate->enter(waiting, cancelled);
    if (verdict != GateVerdict::Entered) {
        m_metrics.count(verdict == GateVerdict::TooLate ? "owner_queue_timeouts" : "owner_queue_refusals");
        receiver(refused("overloaded", "the upstream has no room in time"));
        return;
    }
    // The right to send and the lists are looked at once more, at the moment of sending.
    const std::string lateRefusal = refusalOf(request);
    if (!lateRefusal.empty() || m_clock.now() >= answerBy) {
        owned->gate->leaveFailed();
        m_metrics.count("owner_refused_at_send");
        receiver(refused(lateRefusal.empty() ? "deadline" : lateRefusal, "the request may not be sent any more"));
        return;
    }
    dispatch::RunRequest sent = request;
    sent.answerWithinMs = (answerBy - m_clock.now()).count();
    send(owned->upstream, *owned->gate, sent, receiver, cancelled);
}

void OwnerExecutor::send(const config::Upstream& upstream, UpstreamGate& gate, const dispatch::RunRequest& request,
    const adapters::RunEventReceiver& receiver, const http::Cancelled& cancelled)
{
    m_metrics.count("attempts_sent");
    receiver({ .kind = dispatch::RunEventKind::Started });
    const bool engine = upstream.kind == config::UpstreamKind::Engine;
    adapters::AttemptOutcome outcome = engine ? adapters::runOnEngine(upstream, request, m_clock, receiver, cancelled)
                                              : adapters::runOnService(upstream, request, cancelled);
    const bool mayRunOn = outcome.last.kind == dispatch::RunEventKind::Failed;
    if (engine && mayRunOn && adapters::cancelOnEngine(upstream, request))
        m_metrics.count("attempts_cancelled");
    // A stream that the upstream cut is a sign that it fell over.
    if (outcome.coldRefusal || (outcome.last.code == "upstream_cut" && !outcome.stopped))
        gate.leaveRefused();
    else if (outcome.last.kind == dispatch::RunEventKind::Done)
        gate.leaveAnswered(outcome.firstToken);
    else
        gate.leaveFailed();
    if (outcome.firstToken)
        m_metrics.observe("upstream_first_token", *outcome.firstToken);
    if (outcome.last.kind != dispatch::RunEventKind::Done)
        m_metrics.count("attempts_" + outcome.last.code);
    receiver(std::move(outcome.last));
}

std::map<UpstreamId, Offset> OwnerExecutor::sendable() const
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

// Load reports count only from when no earlier owner can send any more: older ones could miss its last requests.
std::vector<OwnerExecutor::Owned> OwnerExecutor::beginTakeovers()
{
    const std::map<UpstreamId, Offset> upstreams = sendable();
    absl::MutexLock lock(&m_mutex);
    std::vector<Owned> ready;
    for (auto& [id, owned] : m_owned) {
        const auto right = upstreams.find(id);
        if (right == upstreams.end() || right->second != owned.since)
            continue;
        if (!std::exchange(owned.begun, true))
            owned.gate->onTakeover();
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
        const std::vector<Owned> owned = beginTakeovers();
        for (const Owned& it : owned) {
            m_pollers.run([it, &metrics = m_metrics] {
                const auto report = handleFailure(
                    [&]() -> Result<std::optional<dispatch::LoadReport>> {
                        BOOST_LEAF_AUTO(load, adapters::readLoad(it.upstream));
                        return std::optional(load);
                    },
                    [](const Failure&) { return std::optional<dispatch::LoadReport>(); });
                if (report)
                    it.gate->onLoadReport(*report);
                else
                    metrics.count("load_report_failures");
            });
        }
    }
}

std::vector<membership::UpstreamLoad> OwnerExecutor::loads() const
{
    const std::map<UpstreamId, Offset> upstreams = sendable();
    absl::MutexLock lock(&m_mutex);
    std::vector<membership::UpstreamLoad> loads;
    for (const auto& [id, owned] : m_owned) {
        loads.push_back(owned.gate->load(id));
        if (!owned.begun || !upstreams.count(id))
            loads.back().limit = 0;
    }
    return loads;
}

nlohmann::json OwnerExecutor::dump() const
{
    absl::MutexLock lock(&m_mutex);
    nlohmann::json upstreams = nlohmann::json::object();
    for (const auto& [id, owned] : m_owned) {
        const membership::UpstreamLoad load = owned.gate->load(id);
        const char* phase = owned.begun ? phaseName(owned.gate->phase()) : "waiting_for_right";
        upstreams[id.value()] = { { "in_flight", load.inFlight }, { "limit", load.limit }, { "queued", load.queued },
            { "phase", phase } };
    }
    return upstreams;
}

}
