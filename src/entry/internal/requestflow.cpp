#include "fireflyhaven/entry/requestflow.h"

#include "fireflyhaven/http/types/status.h"

#include <algorithm>

namespace fireflyhaven::entry {

using balancing::SendOutcome;

namespace {

// Retry delay sent to refused callers if no estimate of the wait exists, and the lower bound of an estimate.
constexpr Duration MIN_RETRY_AFTER { 300 };
constexpr Duration MAX_RETRY_AFTER { 2000 };
// Before the time that the issuer of permits has named, a return is useless.
constexpr double MIN_LIMIT_RETRY_SPREAD = 1;
constexpr double MAX_LIMIT_RETRY_SPREAD = 1.25;
// Failed connections to upstreams after which a request is failed.
constexpr int MAX_CONNECT_FAILURES = 4;
// Interval at which another upstream is looked for while the present one is silent.
constexpr Duration SILENCE_CHECK_INTERVAL { 250 };

poison::RequestSuspects suspectsOf(const CallerRequest& request)
{
    poison::RequestSuspects suspects { .parts = {}, .request = request.digest };
    for (const balancing::PromptPart& it : request.promptParts)
        suspects.parts.push_back(it.id);
    return suspects;
}

poison::AttemptNumber attemptNumber(const balancing::Ticket& ticket) { return poison::AttemptNumber(ticket.number); }

}

RequestFlow::RequestFlow(FlowContext& context, IFlowActions& actions, CallerRequest request)
    : m_context(context)
    , m_actions(actions)
    , m_request(std::move(request))
    , m_waitingTicket(context.nextTicket++)
    , m_suspects(suspectsOf(m_request))
    , m_target(context, m_request)
    , m_evidence(context, m_request, m_target)
    , m_permit(context, m_waitingTicket)
    , m_lastEventId(m_request.lastEventId)
{
}

RequestFlow::~RequestFlow()
{
    leaveQueue();
    if (m_ticket)
        m_context.balancer.onEnded(*m_ticket, SendOutcome::Cancelled, m_receivedAt);
}

void RequestFlow::dispatch(TimePoint now)
{
    if (!trySend(now) && m_stage != Stage::Done)
        enqueueOrRefuse(now);
}

std::optional<catalog::Caller> RequestFlow::presentCaller() const
{
    return m_request.key ? m_context.catalog.callerOf(*m_request.key) : std::nullopt;
}

// The key may have been revoked, or have passed to another workspace, while the request waited; or a key is needed only
// since then.
bool RequestFlow::keyIsValid(TimePoint now)
{
    if (!m_caller && !needsCaller())
        return true;
    if (!m_caller && m_sends == 0)
        return authenticate(now);
    const auto caller = presentCaller();
    if (!caller || !m_context.host.mayAcceptKeys(now)) {
        failRequest("API key revoked or no longer confirmed", now);
        return false;
    }
    // What has run for one workspace is not continued for another.
    const bool changed = !m_caller || caller->workspace != m_caller->workspace;
    if (changed && m_sends > 0) {
        failRequest("API key belongs to another workspace now", now);
        return false;
    }
    m_caller = caller;
    return true;
}

// After a freeze, what a request waited for may be handled before its own timer and the end of its connection are.
bool RequestFlow::isAwaited(TimePoint now)
{
    if (now == m_receivedAt)
        return true;
    if (m_actions.hasCallerLeft()) {
        onCallerGone(now);
        return false;
    }
    if (now >= m_deadline) {
        onTimeOver(now);
        return false;
    }
    return true;
}

// Other hosts may have found out while the request waited, or while an attempt was open.
bool RequestFlow::maySend(TimePoint now) { return isAwaited(now) && keyIsValid(now) && !failIfItCrashesUpstreams(now); }

bool RequestFlow::failIfItCrashesUpstreams(TimePoint now)
{
    m_refusal = m_context.poisonGuard.refusalOf(m_suspects, now);
    if (!m_refusal)
        return false;
    if (m_ticket)
        dropAnswer(now);
    failRequest(m_refusal->isWholeRequest ? "the request crashes upstreams" : "a part of the prompt crashes upstreams",
        now, m_refusal->retryAfter);
    return true;
}

// What speaks against a further attempt is no reason to end the present one.
bool RequestFlow::maySendBeside(TimePoint now)
{
    if (m_actions.hasCallerLeft() || !mayRetry(true, now) || m_context.poisonGuard.refusalOf(m_suspects, now))
        return false;
    if (!m_caller && !needsCaller())
        return true;
    const auto caller = presentCaller();
    return m_caller && caller && caller->workspace == m_caller->workspace && m_context.host.mayAcceptKeys(now);
}

std::optional<balancing::Ticket> RequestFlow::pickBeside(
    const balancing::UpstreamRequirements& requirements, const std::optional<UpstreamId>& permitted, TimePoint now)
{
    const int hosts = m_context.host.sendingHostCount(now);
    const bool maySend = maySendBeside(now) && m_context.balancer.canSend(requirements, hosts, now, permitted)
        && m_context.retries.tryAcquire(m_target.service(), m_sends, now);
    return maySend ? m_context.balancer.pickUpstream(requirements, hosts, now, permitted) : std::nullopt;
}

bool RequestFlow::trySend(TimePoint now)
{
    if (!maySend(now))
        return false;
    const balancing::UpstreamRequirements requirements = m_target.requirements(now);
    if (m_permit.isRefusedRepeatedly() && sendNow(requirements, std::nullopt, now))
        return true;
    const auto need = m_context.balancer.neededPermit(requirements, m_context.host.sendingHostCount(now), now);
    if (!need)
        return sendNow(requirements, std::nullopt, now);
    m_stage = Stage::AwaitingPermit;
    m_permit.begin(*need, now);
    return true;
}

bool RequestFlow::sendNow(
    const balancing::UpstreamRequirements& requirements, const std::optional<UpstreamId>& permitted, TimePoint now)
{
    auto ticket = m_context.balancer.pickUpstream(requirements, m_context.host.sendingHostCount(now), now, permitted);
    if (!ticket)
        return false;
    send(std::move(*ticket), now);
    return true;
}

void RequestFlow::sendPermitted(const std::optional<UpstreamId>& permitted, TimePoint now)
{
    m_stage = Stage::Received;
    if (!permitted)
        return dispatch(now);
    if (maySend(now) && !sendNow(m_target.requirements(now), permitted, now))
        enqueueOrRefuse(now);
}

void RequestFlow::onPermitDecision(const ratelimit::PermitDecision& decision, TimePoint now)
{
    if (!m_permit.isUndecided())
        return;
    if (decision.granted) {
        m_permit.onGranted(decision.wait, now);
        onPermitTimer(now);
        return armTimer();
    }
    m_permit.onRefused(decision, now);
    onPermitRefused(now);
}

void RequestFlow::onPermitTimer(TimePoint now)
{
    if (!m_permit.isOpen() || now < m_permit.timerAt())
        return;
    if (m_permit.isUndecided()) {
        m_permit.onUnanswered(now);
        return onPermitRefused(now);
    }
    const auto permitted = m_permit.isValid(now) ? std::optional(m_permit.upstream()) : std::nullopt;
    m_permit.end();
    if (m_stage == Stage::AwaitingPermit)
        return sendPermitted(permitted, now);
    // The permit was for a second send of a request whose first one is still open.
    if (m_stage == Stage::HoldingAnswer) {
        if (!permitted || !escalateTo(m_escalation, permitted, now))
            releaseHeldAnswer(now);
        return;
    }
    if (!permitted || !replaceAttempt(permitted, now))
        m_attemptDeadline = now + SILENCE_CHECK_INTERVAL;
}

void RequestFlow::onPermitRefused(TimePoint now)
{
    switch (m_stage) {
    case Stage::AwaitingPermit:
        m_stage = Stage::Received;
        dispatch(now);
        break;
    case Stage::HoldingAnswer:
        if (!escalate(now))
            releaseHeldAnswer(now);
        break;
    default:
        // The permit was for the replacement of an open attempt, which goes on meanwhile.
        m_attemptDeadline = now + std::max(SILENCE_CHECK_INTERVAL, m_permit.retryAfter());
    }
    armTimer();
}

admission::WaitingRequest RequestFlow::waitingRequest() const
{
    return { .id = m_waitingTicket,
        .service = m_target.service(),
        .workspace = m_caller ? m_caller->workspace : WorkspaceId(),
        .priority = priority(),
        .startBy = m_deadline };
}

void RequestFlow::enqueueOrRefuse(TimePoint now)
{
    // An upstream that was silent is better than none.
    if (m_target.readmitSilent() && (trySend(now) || m_stage == Stage::Done))
        return;
    const balancing::UpstreamRequirements requirements = m_target.requirements(now);
    if (const auto permitAt = m_context.balancer.nextPermitAt(requirements, now))
        return failRequest("request limits of all eligible upstreams are used up", now,
            std::max(m_permit.retryAfter(), *permitAt - now));
    if (!m_context.balancer.isServable(requirements, m_deadline, now))
        return failRequest("no eligible upstream before the deadline", now);
    const admission::AdmissionResult result = m_context.serviceQueues.offer(waitingRequest(), now);
    if (result.retryDelay)
        return failRequest("service queue full or expected wait exceeds the deadline", now);
    if (result.shedTicket)
        m_context.shedTickets.push_back(*result.shedTicket);
    m_stage = Stage::Waiting;
    report(event(FlowStep::Queued), now);
}

bool RequestFlow::onDequeued(TimePoint now)
{
    m_stage = Stage::Received;
    if (trySend(now)) {
        if (m_stage == Stage::AwaitingHead)
            m_context.serviceQueues.onStarted(m_target.service(), now);
        armTimer();
        return true;
    }
    if (m_stage == Stage::Done)
        return true;
    m_stage = Stage::Waiting;
    m_context.serviceQueues.requeue(waitingRequest());
    return false;
}

void RequestFlow::onShed(TimePoint now)
{
    m_stage = Stage::Received;
    failRequest("displaced from the service queue by a more urgent request", now);
}

void RequestFlow::onHostStops(TimePoint now)
{
    if (m_stage == Stage::Done)
        return;
    if (holdsWholeAnswer())
        return releaseHeldAnswer(now);
    if (m_ticket) {
        m_mayHaveRun = true;
        m_actions.cancelAttempt();
        closeAttempt(SendOutcome::Cancelled, now);
    }
    failRequest("the host stops", now, Duration(0));
}

void RequestFlow::send(balancing::Ticket ticket, TimePoint now)
{
    const catalog::UpstreamState* target = m_context.catalog.upstream(ticket.upstream);
    m_ticket = std::move(ticket);
    m_lastUpstream = m_ticket->upstream;
    m_permit.onSent();
    m_stage = Stage::AwaitingHead;
    m_splitter = {};
    m_body.clear();
    m_heldBytes.clear();
    m_heldAnswerEnded = false;
    m_headAt.reset();
    ++m_sends;
    m_isSilent = false;
    m_attemptDeadline.reset();
    if (m_route->mayRepeat()) {
        const Duration minTimeout = m_route->kind == catalog::RouteKind::Streaming
            ? m_context.options.minStreamingTimeout
            : m_context.options.minServiceTimeout;
        m_attemptTimeout = std::max(minTimeout, m_context.options.timeoutFactor * m_ticket->expectedTimeToFirstToken());
        m_attemptDeadline = now + m_attemptTimeout;
    }
    m_evidence.onSent(*target, now);
    m_context.poisonGuard.onSent(attemptNumber(*m_ticket),
        ratelimit::incarnationOf(m_ticket->upstream, m_ticket->upstreamStartedAtMs), m_suspects, now);
    FlowEvent sent = event(FlowStep::Sent);
    sent.expected = m_ticket->expectedTimeToFirstToken();
    sent.limit = m_context.limits.limitOf(ratelimit::incarnationOf(m_ticket->upstream, m_ticket->upstreamStartedAtMs));
    report(sent, now);
    startAttempt(target->upstream, now);
}

void RequestFlow::startAttempt(const catalog::Upstream& upstream, TimePoint now)
{
    AttemptPlan plan { .address = upstream.address,
        .directives = { .upstream = upstream.id,
            .deadline = std::max(Duration(1), m_deadline - now),
            .lastEventId = m_lastEventId },
        .connectTimeout = m_context.options.connectTimeout };
    if (!m_route->mayRepeat())
        plan.maxReuseIdleTime = m_context.options.maxReuseIdleTime;
    if (m_caller)
        plan.directives.workspace = m_caller->workspace;
    if (m_target.selectsModel())
        plan.directives.model = m_target.modelName();
    m_actions.startAttempt(plan);
}

void RequestFlow::closeAttempt(SendOutcome outcome, TimePoint now)
{
    m_permit.end();
    m_attemptDeadline.reset();
    if (!m_ticket)
        return;
    m_context.balancer.onEnded(*m_ticket, outcome, now);
    m_context.poisonGuard.onEnded(attemptNumber(*m_ticket),
        outcome == SendOutcome::Succeeded ? poison::AttemptEnd::Answered : poison::AttemptEnd::Abandoned);
    m_evidence.recordSessionUse(now);
    m_ticket.reset();
}

void RequestFlow::onAttemptFailed(http::SendState state, const std::string& reason, TimePoint now)
{
    m_context.reach.onUnanswered(m_ticket->upstream, now);
    if (state == http::SendState::MaybeReceived) {
        reportConnectionLost(now);
        return onAttemptUnusable(SendOutcome::Unanswered, reason, now);
    }
    reportFailedAttempt(reason, now);
    --m_sends;
    ++m_connectFailures;
    m_target.exclude(m_ticket->upstream);
    closeAttempt(SendOutcome::Unreachable, now);
    // A send that reached no upstream does not consume retry budget.
    if (!mayRetry(false, now))
        return failRequest(reason, now);
    resend(reason, std::nullopt, now);
}

// The upstream may have crashed. A host that is cut off loses connections to sound upstreams.
void RequestFlow::reportConnectionLost(TimePoint now)
{
    if (m_context.reach.isCutOff())
        return;
    m_context.poisonGuard.onConnectionLost(
        attemptNumber(*m_ticket), ratelimit::incarnationOf(m_ticket->upstream, m_ticket->upstreamStartedAtMs), now);
}

void RequestFlow::onAttemptUnusable(SendOutcome outcome, std::string_view reason, TimePoint now)
{
    const bool mayHaveRun = outcome == SendOutcome::Failed || outcome == SendOutcome::Unanswered;
    reportFailedAttempt(reason, now);
    if (m_ticket)
        m_target.exclude(m_ticket->upstream);
    closeAttempt(outcome, now);
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    if (!mayRetry(mayHaveRun, now) || !m_context.retries.tryAcquire(m_target.service(), m_sends, now))
        return failRequest(reason, now);
    resend(reason, std::nullopt, now);
}

void RequestFlow::resend(std::string_view reason, const std::optional<UpstreamId>& permitted, TimePoint now)
{
    report(event(m_headSent ? FlowStep::Resumed : FlowStep::Retried, reason), now);
    sendPermitted(permitted, now);
    armTimer();
}

bool RequestFlow::mayRetry(bool mayHaveRun, TimePoint now) const
{
    const bool allowed = m_route->mayRepeat() || (!mayHaveRun && !m_mayHaveRun);
    return allowed && m_sends < m_route->maxAttempts && m_connectFailures < MAX_CONNECT_FAILURES && now < m_deadline;
}

void RequestFlow::failRequest(std::string_view reason, TimePoint now, const std::optional<Duration>& retryAfter)
{
    if (m_headSent) {
        report(event(FlowStep::Aborted, reason), now);
        m_actions.abort();
        return end();
    }
    if (m_mayHaveRun)
        return respondLocally(FlowStep::Failed, STATUS_BAD_GATEWAY, std::nullopt, reason, now);
    if (retryAfter)
        return respondLocally(FlowStep::Refused, STATUS_UNAVAILABLE,
            spread(*retryAfter, MIN_LIMIT_RETRY_SPREAD, MAX_LIMIT_RETRY_SPREAD), reason, now);
    const Duration wait
        = std::clamp(m_context.serviceQueues.expectedWait(m_target.service(), now), MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    refuse(STATUS_UNAVAILABLE, wait, reason, now);
}

void RequestFlow::onTimer(TimePoint now)
{
    if (m_stage == Stage::Done)
        return;
    if (now >= m_deadline)
        return onTimeOver(now);
    if (m_attemptDeadline && now >= *m_attemptDeadline)
        onProgressTimeout(now);
    onPermitTimer(now);
    armTimer();
}

void RequestFlow::onTimeOver(TimePoint now)
{
    constexpr std::string_view REASON = "deadline exceeded";
    if (holdsWholeAnswer())
        return releaseHeldAnswer(now);
    if (m_stage == Stage::AwaitingCatalog)
        return failRequest("no configuration loaded yet", now);
    const bool attemptOpen = m_ticket.has_value();
    recordGivenUpAttempt(now);
    if (attemptOpen)
        m_actions.cancelAttempt();
    m_mayHaveRun = m_mayHaveRun || attemptOpen;
    closeAttempt(SendOutcome::Unanswered, now);
    if (m_headSent || !m_mayHaveRun)
        return failRequest(REASON, now);
    respondLocally(FlowStep::Failed, STATUS_GATEWAY_TIMEOUT, std::nullopt, REASON, now);
}

// The present attempt goes on unless another one can begin at once: a sound upstream may be silent for a while.
void RequestFlow::onProgressTimeout(TimePoint now)
{
    m_attemptDeadline.reset();
    if (m_stage == Stage::AwaitingHead)
        m_context.reach.onOverdue(m_ticket->upstream, m_ticket->sentAt, now);
    if (!mayRetry(true, now))
        return;
    if (const auto need = permitBeside(now))
        return m_permit.begin(*need, now);
    if (replaceAttempt(std::nullopt, now))
        return;
    if (!std::exchange(m_isSilent, true))
        m_context.balancer.onSilent(*m_ticket, now);
    m_attemptDeadline = now + SILENCE_CHECK_INTERVAL;
}

// An upstream whose health is in doubt is tried only after a longer silence.
balancing::UpstreamRequirements RequestFlow::requirementsBesideSilent(TimePoint now) const
{
    balancing::UpstreamRequirements others = m_target.requirementsBeside(m_ticket->upstream, now);
    others.condition = m_isSilent ? balancing::UpstreamCondition::Usable : balancing::UpstreamCondition::Healthy;
    return others;
}

std::optional<balancing::PermitNeed> RequestFlow::permitBeside(TimePoint now)
{
    if (!maySendBeside(now))
        return std::nullopt;
    const int hosts = m_context.host.sendingHostCount(now);
    return m_context.balancer.neededPermit(requirementsBesideSilent(now), hosts, now);
}

bool RequestFlow::replaceAttempt(const std::optional<UpstreamId>& permitted, TimePoint now)
{
    constexpr std::string_view REASON = "no progress within the timeout";
    auto ticket = pickBeside(requirementsBesideSilent(now), permitted, now);
    if (!ticket)
        return false;
    reportFailedAttempt(REASON, now);
    recordGivenUpAttempt(now);
    m_actions.cancelAttempt();
    m_mayHaveRun = true;
    m_target.excludeSilent(m_ticket->upstream);
    closeAttempt(SendOutcome::Unanswered, now);
    report(event(m_headSent ? FlowStep::Resumed : FlowStep::Retried, REASON), now);
    send(std::move(*ticket), now);
    return true;
}

void RequestFlow::onCallerGone(TimePoint now)
{
    if (m_stage == Stage::Done)
        return;
    recordGivenUpAttempt(now);
    if (m_ticket)
        m_actions.cancelAttempt();
    closeAttempt(SendOutcome::Cancelled, now);
    leaveQueue();
    report(event(FlowStep::CallerLeft), now);
    end();
}

void RequestFlow::respondLocally(
    FlowStep step, int status, std::optional<Duration> retryAfter, std::string_view reason, TimePoint now)
{
    leaveQueue();
    FlowEvent it = event(step, reason);
    it.status = status;
    it.retryAfter = retryAfter;
    report(it, now);
    m_actions.sendLocalResponse(status, retryAfter);
    end();
}

void RequestFlow::leaveQueue()
{
    if (m_stage == Stage::Waiting)
        m_context.serviceQueues.remove(m_target.service(), m_waitingTicket);
    if (m_stage == Stage::AwaitingCatalog)
        m_context.startupQueue.remove(m_waitingTicket);
}

void RequestFlow::end()
{
    m_permit.end();
    m_stage = Stage::Done;
}

void RequestFlow::armTimer()
{
    if (m_stage == Stage::Done)
        return;
    TimePoint next = std::min(m_deadline, m_attemptDeadline.value_or(m_deadline));
    if (m_permit.isOpen())
        next = std::min(next, m_permit.timerAt());
    m_actions.scheduleTimer(next);
}

FlowEvent RequestFlow::event(FlowStep step, std::string_view reason) const
{
    FlowEvent it { .step = step, .request = m_request, .route = m_route.get(), .reason = reason, .sends = m_sends };
    it.upstream = m_lastUpstream;
    it.refusal = m_refusal;
    if (m_target.selectsModel())
        it.model = m_target.modelName();
    return it;
}

void RequestFlow::reportFailedAttempt(std::string_view reason, TimePoint now)
{
    FlowEvent failed = event(FlowStep::AttemptFailed, reason);
    if (m_headAt)
        failed.sinceHead = now - *m_headAt;
    report(failed, now);
}

void RequestFlow::report(FlowEvent event, TimePoint now)
{
    event.elapsed = now - m_receivedAt;
    event.configuration = m_context.catalog.version();
    event.configurationAge = m_context.host.configurationAge(now);
    m_context.observer.onFlowEvent(event);
}

}
