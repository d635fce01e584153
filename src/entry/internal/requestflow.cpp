#include "fireflyhaven/entry/requestflow.h"

#include "fireflyhaven/common/hash.h"
#include "fireflyhaven/http/types/status.h"
#include "limitnotice.h"

#include <algorithm>

namespace fireflyhaven::entry {

using balancing::SendOutcome;

namespace {

// Retry delay sent to refused callers if no estimate of the wait exists, and the lower bound of an estimate.
constexpr Duration MIN_RETRY_AFTER { 300 };
constexpr Duration MAX_RETRY_AFTER { 2000 };
constexpr double MIN_RETRY_SPREAD = 0.75;
constexpr double MAX_RETRY_SPREAD = 1.25;
// Before the time that the issuer of permits has named, a return is useless.
constexpr double MIN_LIMIT_RETRY_SPREAD = 1;
constexpr double MAX_LIMIT_RETRY_SPREAD = 1.25;
// Added to observed and expected times, so that differences of a few milliseconds do not dominate their ratio.
constexpr double TIME_OFFSET_MS = 5;
constexpr std::size_t MAX_BUFFERED_BYTES = 1024 * 1024;
// Failed connections to upstreams after which a request is failed.
constexpr int MAX_CONNECT_FAILURES = 4;

// Whether the upstream states that it did not run the request, and another upstream may be able to.
bool wasRefusedUnexecuted(const ResponseInfo& info)
{
    if (info.status == STATUS_MISDIRECTED)
        return true;
    return info.notExecuted && (info.status == STATUS_UNAVAILABLE || info.status == STATUS_TOO_MANY_REQUESTS);
}

}

RequestFlow::RequestFlow(FlowContext& context, IFlowActions& actions, CallerRequest request)
    : m_context(context)
    , m_actions(actions)
    , m_request(std::move(request))
    , m_waitingTicket(context.nextTicket++)
    , m_target(context, m_request)
    , m_permit(context, m_waitingTicket)
    , m_lastEventId(m_request.lastEventId)
{
}

RequestFlow::~RequestFlow()
{
    if (m_stage == Stage::Waiting)
        m_context.serviceQueues.remove(m_target.service(), m_waitingTicket);
    if (m_ticket)
        m_context.balancer.onEnded(*m_ticket, SendOutcome::Cancelled, m_receivedAt);
}

void RequestFlow::begin(TimePoint now)
{
    m_receivedAt = now;
    if (!admit(now))
        return;
    m_target.selectFrom(*m_route);
    m_context.retries.onRequest(m_target.service(), now);
    m_deadline = now + std::min(m_request.deadline.value_or(m_route->timeout), m_route->timeout);
    dispatch(now);
    armTimer();
}

bool RequestFlow::admit(TimePoint now)
{
    const catalog::Catalog& catalog = m_context.catalog;
    if (!catalog.hasConfiguration()) {
        respondLocally(FlowStep::Refused, STATUS_UNAVAILABLE, MIN_RETRY_AFTER, "no configuration loaded yet", now);
        return false;
    }
    m_route = catalog.routes().find(m_request.host, m_request.path);
    if (!m_route || m_route->services.empty()) {
        // The local copy may lack a new route while the store cannot be read, so 404 needs a current copy.
        const bool catalogCurrent = m_context.host.isCatalogCurrent(now);
        respondLocally(catalogCurrent ? FlowStep::Rejected : FlowStep::Refused,
            catalogCurrent ? STATUS_NOT_FOUND : STATUS_UNAVAILABLE,
            catalogCurrent ? std::nullopt : std::optional(MIN_RETRY_AFTER), "no matching route", now);
        return false;
    }
    if (!m_context.host.acceptsRequests(m_route->kind, now)) {
        respondLocally(FlowStep::Refused, STATUS_UNAVAILABLE, Duration(0), "host is draining", now);
        return false;
    }
    return !catalog.requiresApiKeys() || m_route->anonymous || authenticate(now);
}

bool RequestFlow::authenticate(TimePoint now)
{
    if (!m_context.host.mayAcceptKeys(now)) {
        refuse(STATUS_UNAVAILABLE, MIN_RETRY_AFTER, "API keys not confirmed recently enough", now);
        return false;
    }
    m_caller = m_request.key ? m_context.catalog.callerOf(*m_request.key) : std::nullopt;
    if (m_caller)
        return true;
    const bool catalogCurrent = m_context.host.isCatalogCurrent(now);
    respondLocally(catalogCurrent ? FlowStep::Rejected : FlowStep::Refused,
        catalogCurrent ? STATUS_UNAUTHORIZED : STATUS_UNAVAILABLE,
        catalogCurrent ? std::nullopt : std::optional(MIN_RETRY_AFTER), "unknown API key", now);
    return false;
}

void RequestFlow::dispatch(TimePoint now)
{
    if (!trySend(now) && m_stage != Stage::Done)
        enqueueOrRefuse(now);
}

// The key may have been revoked while the request waited.
bool RequestFlow::keyIsValid(TimePoint now)
{
    if (!m_caller || (m_context.host.mayAcceptKeys(now) && m_context.catalog.callerOf(*m_request.key)))
        return true;
    failRequest("API key revoked or no longer confirmed", now);
    return false;
}

bool RequestFlow::trySend(TimePoint now)
{
    if (!keyIsValid(now))
        return false;
    const balancing::UpstreamRequirements requirements = m_target.requirements(now);
    if (m_permit.isTired() && sendNow(requirements, std::nullopt, now))
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
    if (keyIsValid(now) && !sendNow(m_target.requirements(now), permitted, now))
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
    const bool mayResend
        = permitted && mayRetry(true, now) && m_context.retries.tryAcquire(m_target.service(), m_sends, now);
    if (m_stage == Stage::HoldingAnswer)
        return mayResend ? escalateTo(m_escalation, permitted, now) : releaseHeldAnswer(now);
    if (mayResend)
        replaceAttempt(permitted, now);
}

void RequestFlow::onPermitRefused(TimePoint now)
{
    if (m_stage == Stage::AwaitingPermit) {
        m_stage = Stage::Received;
        dispatch(now);
    } else if (m_stage == Stage::HoldingAnswer && !escalate(now)) {
        releaseHeldAnswer(now);
    } else if (m_stage == Stage::AwaitingHead || m_stage == Stage::Streaming) {
        m_attemptDeadline = now + m_permit.retryAfter();
    }
    armTimer();
}

admission::WaitingRequest RequestFlow::waitingRequest() const
{
    const int priority = m_caller && m_caller->priority ? *m_caller->priority : m_route->priority;
    return { .id = m_waitingTicket,
        .service = m_target.service(),
        .workspace = m_caller ? m_caller->workspace : WorkspaceId(),
        .priority = priority,
        .startBy = m_deadline };
}

void RequestFlow::enqueueOrRefuse(TimePoint now)
{
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

void RequestFlow::send(balancing::Ticket ticket, TimePoint now)
{
    const catalog::UpstreamState* target = m_context.catalog.upstream(ticket.upstream);
    m_ticket = std::move(ticket);
    m_lastUpstream = m_ticket->upstream;
    m_permit.onSent();
    m_stage = Stage::AwaitingHead;
    m_version = target->upstream.version;
    m_upstreamWasCold = target->isCold(now);
    m_splitter = {};
    m_body.clear();
    ++m_sends;
    m_attemptDeadline.reset();
    if (m_route->mayRepeat()) {
        const Duration minTimeout = m_route->kind == catalog::RouteKind::Streaming
            ? m_context.options.minStreamingTimeout
            : m_context.options.minServiceTimeout;
        m_attemptDeadline
            = now + std::max(minTimeout, m_context.options.timeoutFactor * m_ticket->expectedTimeToFirstToken());
    }
    recordSessionUse(now);
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

void RequestFlow::recordSessionUse(TimePoint now)
{
    if (m_request.session)
        m_context.rollouts.onSessionUsed(m_target.service(), m_target.sessionHash(), m_version, now);
}

void RequestFlow::closeAttempt(SendOutcome outcome, TimePoint now)
{
    m_permit.end();
    m_attemptDeadline.reset();
    if (!m_ticket)
        return;
    m_context.balancer.onEnded(*m_ticket, outcome, now);
    recordSessionUse(now);
    m_ticket.reset();
}

http::HeadVerdict RequestFlow::onAttemptHead(const ResponseInfo& info, const http::ResponseHead& head, TimePoint now)
{
    if (!info.attempt.empty() && info.attempt != m_request.attempt)
        return http::HeadVerdict::Skip;
    const bool trusted = wasRefusedUnexecuted(info) || (info.isSigned && !info.hasContentCoding) || info.notExecuted;
    if (!trusted) {
        m_actions.cancelAttempt();
        onAttemptUnusable(true, "response unsigned or with a content coding", now);
        return http::HeadVerdict::Accept;
    }
    m_responseInfo = info;
    // The attempt makes progress, so that its replacement is no longer wanted.
    m_permit.end();
    applyUpstreamNotices(now);
    const bool success = isSuccess(info.status);
    if (success) {
        m_mayHaveRun = true;
        m_context.balancer.onFirstToken(*m_ticket, now);
        FlowEvent firstToken = event(FlowStep::FirstToken);
        firstToken.expected = m_ticket->expectedTimeToFirstToken();
        firstToken.observed = now - m_ticket->sentAt;
        report(firstToken, now);
        recordVersionSample(rollout::AnswerKind::Good, latencySample(now), now);
        if (m_target.selectsModel() && info.confidence)
            m_context.escalationPolicy.onConfidence(m_target.service(), m_target.modelName(), *info.confidence);
    }
    if (!m_headSent)
        m_head = head;
    if (!success || !escalate(now))
        beginAnswer(now);
    return http::HeadVerdict::Accept;
}

void RequestFlow::beginAnswer(TimePoint now)
{
    const bool isStream = m_route->kind == catalog::RouteKind::Streaming && isSuccess(m_responseInfo.status)
        && m_responseInfo.isEventStream;
    m_stage = isStream ? Stage::Streaming : Stage::Buffering;
    if (isStream && m_route->mayRepeat())
        m_attemptDeadline = nextEventDeadline(now);
    armTimer();
}

void RequestFlow::releaseHeldAnswer(TimePoint now)
{
    const std::string bytes = std::exchange(m_heldBytes, {});
    const bool ended = std::exchange(m_heldAnswerEnded, false);
    beginAnswer(now);
    onAttemptData(bytes, now);
    if (ended && m_stage != Stage::Done)
        onAttemptEnd(now);
}

void RequestFlow::applyUpstreamNotices(TimePoint now)
{
    if (m_responseInfo.isDraining)
        m_context.balancer.onDraining(*m_ticket, now);
    if (m_responseInfo.status == STATUS_UNAVAILABLE && m_responseInfo.retryAfter)
        m_context.balancer.onBackoff(*m_ticket, *m_responseInfo.retryAfter, now);
    if (const auto step = applyLimitNotice(m_context, *m_ticket, m_responseInfo, now)) {
        FlowEvent notice = event(*step);
        notice.limit = m_responseInfo.requestLimit;
        report(notice, now);
    }
}

TimePoint RequestFlow::nextEventDeadline(TimePoint now) const
{
    const double gapMs = static_cast<double>(m_route->targetGap.count()) * m_context.options.eventGapFactor;
    // Prefill of other prompts at the upstream delays the events of running streams.
    return now + Duration(static_cast<Duration::rep>(gapMs))
        + m_context.balancer.pendingPrefill(m_ticket->upstream, now);
}

// Observed time to first token relative to the prediction for an upstream of normal speed; no value if the upstream was
// in cold start when the request was sent.
std::optional<quality::LatencySample> RequestFlow::latencySample(TimePoint now) const
{
    if (m_upstreamWasCold)
        return std::nullopt;
    const auto observed = static_cast<double>((now - m_ticket->sentAt).count());
    const auto expected = static_cast<double>(m_ticket->baselineTime.count());
    return quality::LatencySample { .ratio = (observed + TIME_OFFSET_MS) / (expected + TIME_OFFSET_MS),
        .weight = expected + TIME_OFFSET_MS };
}

void RequestFlow::recordVersionSample(
    rollout::AnswerKind kind, std::optional<quality::LatencySample> latency, TimePoint now)
{
    m_context.rollouts.onAnswer({ .service = m_target.service(),
                                    .route = m_route->name,
                                    .version = m_version,
                                    .upstream = m_ticket->upstream,
                                    .kind = kind,
                                    .time = latency,
                                    .load = reportedUtilisation() },
        now);
}

// An attempt that is given up before its first token would be missing among the times of its version just because it is
// slow.
void RequestFlow::recordOverdueAttempt(TimePoint now)
{
    if (m_stage != Stage::AwaitingHead || !m_ticket)
        return;
    const auto sample = latencySample(now);
    if (sample && sample->ratio > 1)
        recordVersionSample(rollout::AnswerKind::Overdue, sample, now);
}

// Fraction of the upstream's slots that were in use when it responded.
std::optional<double> RequestFlow::reportedUtilisation() const
{
    if (!m_responseInfo.load || m_responseInfo.load->slots == 0)
        return std::nullopt;
    return static_cast<double>(m_responseInfo.load->running) / m_responseInfo.load->slots;
}

bool RequestFlow::escalate(TimePoint now)
{
    if (!m_target.selectsModel() || m_headSent || !m_responseInfo.confidence || !mayRetry(true, now))
        return false;
    const auto escalation
        = chooseEscalation(m_context, m_target, *m_route, *m_responseInfo.confidence, m_receivedAt, now);
    if (!escalation)
        return false;
    auto need = m_context.balancer.neededPermit(
        m_target.requirements(escalation->model, now), m_context.host.sendingHostCount(now), now);
    if (need && m_permit.isTired())
        return false;
    if (need) {
        // The answer is kept until the permit is granted, because the larger model may not be had.
        need->maxWait = std::min(need->maxWait, escalation->slack);
        m_escalation = *escalation;
        m_stage = Stage::HoldingAnswer;
        m_attemptDeadline.reset();
        m_permit.begin(*need, now);
        armTimer();
        return true;
    }
    if (!m_context.retries.tryAcquire(m_target.service(), m_sends, now))
        return false;
    escalateTo(*escalation, std::nullopt, now);
    return true;
}

void RequestFlow::escalateTo(const Escalation& escalation, const std::optional<UpstreamId>& permitted, TimePoint now)
{
    FlowEvent escalated = event(FlowStep::Escalated);
    escalated.confidence = m_responseInfo.confidence;
    escalated.expected = escalation.expected;
    report(escalated, now);
    m_actions.cancelAttempt();
    closeAttempt(SendOutcome::Succeeded, now);
    m_heldBytes.clear();
    m_heldAnswerEnded = false;
    m_target.setModelIndex(escalation.model);
    m_stage = Stage::Received;
    if (keyIsValid(now) && !sendNow(m_target.requirements(now), permitted, now))
        dispatch(now);
    armTimer();
}

void RequestFlow::onAttemptData(std::string_view bytes, TimePoint now)
{
    if (m_stage == Stage::HoldingAnswer) {
        m_heldBytes += bytes;
        if (m_heldBytes.size() > MAX_BUFFERED_BYTES) {
            m_permit.end();
            releaseHeldAnswer(now);
        }
        return;
    }
    if (m_stage == Stage::Streaming) {
        // Only complete events count as progress: a stalled upstream may keep sending single bytes.
        bool anyCompleteEvent = false;
        m_splitter.feed(bytes, [&](const StreamEvent& it) {
            anyCompleteEvent = true;
            forwardEvent(it);
        });
        if (anyCompleteEvent && m_ticket)
            onStreamProgress(now);
        if (m_splitter.incompleteEvent().size() > MAX_BUFFERED_BYTES) {
            m_actions.cancelAttempt();
            onAttemptUnusable(true, "event exceeds 1 MiB", now);
        }
        return;
    }
    if (m_stage != Stage::Buffering)
        return;
    m_body += bytes;
    if (m_body.size() > MAX_BUFFERED_BYTES) {
        m_actions.cancelAttempt();
        onAttemptUnusable(true, "response exceeds 1 MiB", now);
    }
}

void RequestFlow::onStreamProgress(TimePoint now)
{
    m_permit.end();
    if (m_route->mayRepeat())
        m_attemptDeadline = nextEventDeadline(now);
}

void RequestFlow::forwardEvent(const StreamEvent& it)
{
    const bool alreadyForwarded = it.id && m_lastEventId && *it.id <= *m_lastEventId;
    if (alreadyForwarded)
        return;
    if (it.id)
        m_lastEventId = it.id;
    if (!m_headSent) {
        m_headSent = true;
        m_actions.sendHead(m_head);
    }
    m_actions.sendData(it.bytes);
}

void RequestFlow::onAttemptEnd(TimePoint now)
{
    if (m_stage == Stage::HoldingAnswer) {
        m_heldAnswerEnded = true;
        return;
    }
    if (m_stage != Stage::Streaming)
        return onBufferedResponse(now);
    if (!m_splitter.incompleteEvent().empty())
        return onAttemptUnusable(true, "stream ended inside an event", now);
    FlowEvent answered = event(FlowStep::Answered);
    answered.status = m_head.status;
    answered.confidence = m_responseInfo.confidence;
    closeAttempt(SendOutcome::Succeeded, now);
    if (!m_headSent)
        m_actions.sendHead(m_head);
    m_actions.finish();
    report(answered, now);
    end();
}

void RequestFlow::onBufferedResponse(TimePoint now)
{
    if (m_responseInfo.status == STATUS_MISDIRECTED)
        return onAttemptUnusable(false, "address belongs to another upstream", now);
    if (wasRefusedUnexecuted(m_responseInfo))
        return onAttemptUnusable(false, "upstream refused the request without running it", now);
    const bool failed = m_responseInfo.status >= STATUS_SERVER_ERROR;
    if (failed) {
        m_mayHaveRun = true;
        recordVersionSample(rollout::AnswerKind::Failed, std::nullopt, now);
    }
    if (failed && mayRetry(true, now))
        return onAttemptUnusable(true, "upstream returned a server error", now);
    if (m_headSent)
        return onAttemptUnusable(true, "stream could not be resumed", now);
    FlowEvent answered = event(FlowStep::Answered);
    answered.status = m_responseInfo.status;
    closeAttempt(failed ? SendOutcome::Failed : SendOutcome::Succeeded, now);
    m_actions.forwardResponse(m_head, m_body);
    report(answered, now);
    end();
}

void RequestFlow::onAttemptFailed(http::SendState state, const std::string& reason, TimePoint now)
{
    if (state == http::SendState::MaybeReceived)
        return onAttemptUnusable(true, reason, now);
    report(event(FlowStep::AttemptFailed, reason), now);
    --m_sends;
    ++m_connectFailures;
    m_target.exclude(m_ticket->upstream);
    closeAttempt(SendOutcome::Unreachable, now);
    // A send that reached no upstream does not consume retry budget.
    if (!mayRetry(false, now))
        return failRequest(reason, now);
    resend(reason, std::nullopt, now);
}

void RequestFlow::onAttemptUnusable(bool mayHaveRun, std::string_view reason, TimePoint now)
{
    report(event(FlowStep::AttemptFailed, reason), now);
    if (m_ticket)
        m_target.exclude(m_ticket->upstream);
    const bool misdirected = !mayHaveRun && m_responseInfo.status == STATUS_MISDIRECTED;
    const SendOutcome refused = misdirected ? SendOutcome::Unreachable : SendOutcome::Refused;
    closeAttempt(mayHaveRun ? SendOutcome::Failed : refused, now);
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

void RequestFlow::refuse(int status, std::optional<Duration> retryAfter, std::string_view reason, TimePoint now)
{
    if (retryAfter)
        retryAfter = spread(*retryAfter, MIN_RETRY_SPREAD, MAX_RETRY_SPREAD);
    respondLocally(FlowStep::Refused, status, retryAfter, reason, now);
}

// Multiplies the retry delay by a factor from a hash of the attempt ID, so that callers refused together do not retry
// together.
Duration RequestFlow::spread(Duration retryAfter, double minFactor, double maxFactor) const
{
    const double factor = minFactor + (maxFactor - minFactor) * unitInterval(stableHash(m_request.attempt.value()));
    return Duration(static_cast<Duration::rep>(static_cast<double>(retryAfter.count()) * factor));
}

void RequestFlow::onTimer(TimePoint now)
{
    if (m_stage == Stage::Done)
        return;
    if (now >= m_deadline) {
        const bool attemptOpen = m_ticket.has_value();
        recordOverdueAttempt(now);
        if (attemptOpen)
            m_actions.cancelAttempt();
        m_mayHaveRun = m_mayHaveRun || attemptOpen;
        closeAttempt(SendOutcome::Failed, now);
        if (m_headSent || !m_mayHaveRun)
            return failRequest("deadline exceeded", now);
        return respondLocally(FlowStep::Failed, STATUS_GATEWAY_TIMEOUT, std::nullopt, "deadline exceeded", now);
    }
    if (m_attemptDeadline && now >= *m_attemptDeadline)
        onProgressTimeout(now);
    onPermitTimer(now);
    armTimer();
}

void RequestFlow::onProgressTimeout(TimePoint now)
{
    m_attemptDeadline.reset();
    const int hosts = m_context.host.sendingHostCount(now);
    if (!mayRetry(true, now) || !m_context.balancer.estimateLatency(m_target.requirements(now), hosts, now))
        return;
    balancing::UpstreamRequirements others = m_target.requirements(now);
    others.excludedUpstreams.push_back(m_ticket->upstream);
    if (const auto need = m_context.balancer.neededPermit(others, hosts, now))
        return m_permit.begin(*need, now);
    if (m_context.retries.tryAcquire(m_target.service(), m_sends, now))
        replaceAttempt(std::nullopt, now);
}

void RequestFlow::replaceAttempt(const std::optional<UpstreamId>& permitted, TimePoint now)
{
    constexpr std::string_view REASON = "no progress within the timeout";
    report(event(FlowStep::AttemptFailed, REASON), now);
    recordOverdueAttempt(now);
    m_actions.cancelAttempt();
    m_mayHaveRun = true;
    m_target.exclude(m_ticket->upstream);
    closeAttempt(SendOutcome::Failed, now);
    resend(REASON, permitted, now);
}

void RequestFlow::onCallerGone(TimePoint now)
{
    if (m_stage == Stage::Done)
        return;
    recordOverdueAttempt(now);
    if (m_ticket)
        m_actions.cancelAttempt();
    closeAttempt(SendOutcome::Cancelled, now);
    if (m_stage == Stage::Waiting)
        m_context.serviceQueues.remove(m_target.service(), m_waitingTicket);
    report(event(FlowStep::CallerLeft), now);
    end();
}

void RequestFlow::respondLocally(
    FlowStep step, int status, std::optional<Duration> retryAfter, std::string_view reason, TimePoint now)
{
    if (m_stage == Stage::Waiting)
        m_context.serviceQueues.remove(m_target.service(), m_waitingTicket);
    FlowEvent it = event(step, reason);
    it.status = status;
    it.retryAfter = retryAfter;
    report(it, now);
    m_actions.sendLocalResponse(status, retryAfter);
    end();
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
    if (m_target.selectsModel())
        it.model = m_target.modelName();
    return it;
}

void RequestFlow::report(FlowEvent event, TimePoint now)
{
    event.elapsed = now - m_receivedAt;
    event.configuration = m_context.catalog.version();
    event.configurationAge = m_context.host.configurationAge(now);
    m_context.observer.onFlowEvent(event);
}

}
