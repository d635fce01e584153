#include "fireflyhaven/entry/requestflow.h"

#include "fireflyhaven/common/hash.h"
#include "fireflyhaven/http/types/status.h"

#include <algorithm>

namespace fireflyhaven::entry {

using balancing::SendOutcome;

namespace {

// Time to come back that is named while nothing better is known.
constexpr Duration COME_BACK { 300 };
constexpr Duration LONGEST_COME_BACK { 2000 };
// Times below this are noise beside each other.
constexpr double TIME_FLOOR_MS = 5;
constexpr std::size_t MAX_COLLECTED_BYTES = 1024 * 1024;
// Upstreams that could not be reached before a request is given up.
constexpr int MOST_CONNECT_FAILURES = 4;

bool isSuccess(int status) { return status >= STATUS_OK && status <= STATUS_LAST_OK; }

// The upstream states that it did not run the request, and another one might.
bool wasTurnedAway(const AnswerFacts& facts)
{
    if (facts.status == STATUS_MISDIRECTED)
        return true;
    return facts.notExecuted && (facts.status == STATUS_UNAVAILABLE || facts.status == STATUS_TOO_MANY);
}

}

RequestFlow::RequestFlow(FlowContext& context, IFlowActions& actions, CallerRequest request)
    : m_context(context)
    , m_actions(actions)
    , m_request(std::move(request))
    , m_waitingTicket(context.nextTicket++)
    , m_target(context, m_request)
    , m_lastEventId(m_request.lastEventId)
{
}

RequestFlow::~RequestFlow()
{
    if (m_stage == Stage::Waiting)
        m_context.waiting.remove(m_target.service(), m_waitingTicket);
    if (m_ticket)
        m_context.balancer.onEnded(*m_ticket, SendOutcome::Abandoned, m_receivedAt);
}

void RequestFlow::begin(TimePoint now)
{
    m_receivedAt = now;
    if (!admit(now))
        return;
    m_target.choose(*m_route);
    m_context.retries.onRequest(m_target.service(), now);
    m_deadline = now + std::min(m_request.deadline.value_or(m_route->timeout), m_route->timeout);
    dispatch(now);
    arm();
}

bool RequestFlow::admit(TimePoint now)
{
    const catalog::Catalog& catalog = m_context.catalog;
    if (!catalog.hasConfiguration()) {
        answerOwn(FlowStep::Refused, STATUS_UNAVAILABLE, COME_BACK, "no configuration yet", now);
        return false;
    }
    m_route = catalog.routes().find(m_request.host, m_request.path);
    if (!m_route || m_route->services.empty()) {
        // A route that was just added may be missing here while the store can't be read.
        const bool certain = m_context.host.knowsAll(now);
        answerOwn(certain ? FlowStep::Rejected : FlowStep::Refused, certain ? STATUS_NOT_FOUND : STATUS_UNAVAILABLE,
            certain ? std::nullopt : std::optional(COME_BACK), "no route", now);
        return false;
    }
    if (!m_context.host.takesRequests(m_route->kind, now)) {
        answerOwn(FlowStep::Refused, STATUS_UNAVAILABLE, Duration(0), "this host leaves service", now);
        return false;
    }
    return !catalog.needsKeys() || m_route->anonymous || identify(now);
}

bool RequestFlow::identify(TimePoint now)
{
    if (!m_context.host.mayUseKeys(now)) {
        refuse(STATUS_UNAVAILABLE, COME_BACK, "keys not confirmed lately", now);
        return false;
    }
    m_caller = m_request.key ? m_context.catalog.callerOf(*m_request.key) : std::nullopt;
    if (m_caller)
        return true;
    const bool certain = m_context.host.knowsAll(now);
    answerOwn(certain ? FlowStep::Rejected : FlowStep::Refused, certain ? STATUS_UNAUTHORIZED : STATUS_UNAVAILABLE,
        certain ? std::nullopt : std::optional(COME_BACK), "unknown key", now);
    return false;
}

void RequestFlow::dispatch(TimePoint now)
{
    if (!trySend(now) && m_stage != Stage::Done)
        waitOrRefuse(now);
}

bool RequestFlow::trySend(TimePoint now)
{
    // The key may have been taken away while the request waited.
    if (m_caller && (!m_context.host.mayUseKeys(now) || !m_context.catalog.callerOf(*m_request.key))) {
        giveUp("key no longer confirmed", now);
        return false;
    }
    auto ticket = m_context.balancer.send(m_target.demand(now), m_context.host.sharers(now), now);
    if (!ticket)
        return false;
    send(std::move(*ticket), now);
    return true;
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

void RequestFlow::waitOrRefuse(TimePoint now)
{
    if (!m_context.balancer.isServable(m_target.demand(now), m_deadline, now))
        return giveUp("no upstream in service", now);
    const admission::WaitingResult result = m_context.waiting.offer(waitingRequest(), now);
    if (result.refusedFor)
        return giveUp("would not get its turn in time", now);
    if (result.shed)
        m_context.shedTickets.push_back(*result.shed);
    m_stage = Stage::Waiting;
    report(event(FlowStep::Queued), now);
}

bool RequestFlow::onTurn(TimePoint now)
{
    m_stage = Stage::Received;
    if (trySend(now)) {
        m_context.waiting.onStarted(m_target.service(), now);
        arm();
        return true;
    }
    if (m_stage == Stage::Done)
        return true;
    m_stage = Stage::Waiting;
    m_context.waiting.putBack(waitingRequest());
    return false;
}

void RequestFlow::onShed(TimePoint now)
{
    m_stage = Stage::Received;
    giveUp("a more urgent request took its place", now);
}

void RequestFlow::send(balancing::Ticket ticket, TimePoint now)
{
    const catalog::UpstreamState* target = m_context.catalog.upstream(ticket.upstream);
    m_ticket = std::move(ticket);
    m_lastUpstream = m_ticket->upstream;
    m_stage = Stage::AwaitingHead;
    m_version = target->upstream.version;
    m_sentToCold = target->isCold(now);
    m_splitter = {};
    m_collected.clear();
    ++m_sends;
    m_attemptDeadline.reset();
    if (m_route->mayRepeat()) {
        const Duration least = m_route->kind == catalog::RouteKind::Streaming ? m_context.options.leastModelWait
                                                                              : m_context.options.leastServiceWait;
        m_attemptDeadline = now + std::max(least, m_context.options.expectedFactor * m_ticket->expectedFirstToken());
    }
    noteSession(now);
    FlowEvent sent = event(FlowStep::Sent);
    sent.expected = m_ticket->expectedFirstToken();
    report(sent, now);
    startAttempt(target->upstream, now);
}

void RequestFlow::startAttempt(const catalog::Upstream& upstream, TimePoint now)
{
    AttemptPlan plan { .address = upstream.address,
        .order = { .upstream = upstream.id,
            .deadline = std::max(Duration(1), m_deadline - now),
            .lastEventId = m_lastEventId },
        .connectTimeout = m_context.options.connectTimeout };
    if (!m_route->mayRepeat())
        plan.freshFor = m_context.options.freshFor;
    if (m_caller)
        plan.order.workspace = m_caller->workspace;
    if (m_target.choosesModel())
        plan.order.model = m_target.modelName();
    m_actions.startAttempt(plan);
}

void RequestFlow::noteSession(TimePoint now)
{
    if (m_request.session)
        m_context.rollouts.onSessionUsed(m_target.service(), m_target.sessionHash(), m_version, now);
}

void RequestFlow::attemptOver(SendOutcome outcome, TimePoint now)
{
    m_attemptDeadline.reset();
    if (!m_ticket)
        return;
    m_context.balancer.onEnded(*m_ticket, outcome, now);
    noteSession(now);
    m_ticket.reset();
}

http::HeadVerdict RequestFlow::onAttemptHead(const AnswerFacts& facts, const http::ResponseHead& head, TimePoint now)
{
    if (!facts.attempt.empty() && facts.attempt != m_request.attempt)
        return http::HeadVerdict::Skip;
    const bool trusted = wasTurnedAway(facts) || (facts.isSigned && !facts.hasContentCoding) || facts.notExecuted;
    if (!trusted) {
        m_actions.cancelAttempt();
        onBroken(true, "answer without signature", now);
        return http::HeadVerdict::Accept;
    }
    m_facts = facts;
    takeNotices(now);
    const bool success = isSuccess(facts.status);
    if (success) {
        m_mayHaveRun = true;
        m_context.balancer.onFirstToken(*m_ticket, now);
        FlowEvent began = event(FlowStep::FirstToken);
        began.expected = m_ticket->expectedFirstToken();
        began.observed = now - m_ticket->sentAt;
        report(began, now);
        judgeVersion(false, timeSample(now), now);
        if (m_target.choosesModel() && facts.confidence)
            m_context.ladder.onConfidence(m_target.service(), m_target.modelName(), *facts.confidence);
        if (escalate(now))
            return http::HeadVerdict::Accept;
    }
    if (!m_headSent)
        m_head = head;
    const bool streams = m_route->kind == catalog::RouteKind::Streaming && success && facts.isEventStream;
    m_stage = streams ? Stage::Streaming : Stage::Collecting;
    if (streams && m_route->mayRepeat())
        m_attemptDeadline = nextEventBy(now);
    arm();
    return http::HeadVerdict::Accept;
}

// What the upstream asks for beside its answer.
void RequestFlow::takeNotices(TimePoint now)
{
    if (m_facts.isLeaving)
        m_context.balancer.onLeaving(*m_ticket, now);
    if (m_facts.status == STATUS_UNAVAILABLE && m_facts.retryAfter)
        m_context.balancer.onBackoff(*m_ticket, *m_facts.retryAfter, now);
}

TimePoint RequestFlow::nextEventBy(TimePoint now) const
{
    const double gapMs = static_cast<double>(m_route->targetGap.count()) * m_context.options.gapFactor;
    // The prompts that the upstream reads hold up the streams beside them.
    return now + Duration(static_cast<Duration::rep>(gapMs))
        + m_context.balancer.pendingPrefill(m_ticket->upstream, now);
}

// How long the first answer took beside what was expected at an upstream that is neither slow nor fast; no value where
// it is in cold start.
std::optional<quality::TimeSample> RequestFlow::timeSample(TimePoint now) const
{
    if (m_sentToCold)
        return std::nullopt;
    const auto observed = static_cast<double>((now - m_ticket->sentAt).count());
    const auto expected = static_cast<double>(m_ticket->plainTime.count());
    return quality::TimeSample { .factor = (observed + TIME_FLOOR_MS) / (expected + TIME_FLOOR_MS),
        .weight = expected + TIME_FLOOR_MS };
}

void RequestFlow::judgeVersion(bool failed, std::optional<quality::TimeSample> time, TimePoint now)
{
    m_context.rollouts.onAnswer({ .service = m_target.service(),
                                    .route = m_route->name,
                                    .version = m_version,
                                    .upstream = m_ticket->upstream,
                                    .failed = failed,
                                    .time = time,
                                    .load = reportedLoad() },
        now);
}

// Part of the upstream's slots in use as it answered.
std::optional<double> RequestFlow::reportedLoad() const
{
    if (!m_facts.load || m_facts.load->slots == 0)
        return std::nullopt;
    return static_cast<double>(m_facts.load->running) / m_facts.load->slots;
}

bool RequestFlow::escalate(TimePoint now)
{
    if (!m_target.choosesModel() || m_headSent || !m_facts.confidence || !mayTryAgain(true, now))
        return false;
    const std::size_t largest = m_target.models().size() - 1;
    const auto outlook = m_context.balancer.outlook(m_target.demand(largest, now), m_context.host.sharers(now), now);
    if (!outlook)
        return false;
    const bool inTime = now + outlook->firstToken() <= m_receivedAt + m_route->targetLatency && !isCongested(*outlook);
    const auto next
        = m_context.ladder.next(m_target.service(), m_target.models(), m_target.model(), *m_facts.confidence, inTime);
    if (!next || !m_context.retries.tryAcquire(m_target.service(), m_sends, now))
        return false;
    FlowEvent escalated = event(FlowStep::Escalated);
    escalated.confidence = m_facts.confidence;
    escalated.expected = outlook->firstToken();
    report(escalated, now);
    m_actions.cancelAttempt();
    attemptOver(SendOutcome::Good, now);
    m_target.setModel(*next);
    dispatch(now);
    arm();
    return true;
}

// Whether the service's upstreams have too much to read for a larger model's prompt beside all others.
bool RequestFlow::isCongested(const balancing::Outlook& outlook) const
{
    if (outlook.timeAhead <= m_context.options.idleWait)
        return false;
    const Duration target = m_context.catalog.tightestTarget(m_target.service()).value_or(m_route->targetLatency);
    const Duration load = outlook.timeAhead + outlook.ownTime / 2;
    return static_cast<double>(load.count()) > m_context.options.escalationPart * static_cast<double>(target.count());
}

void RequestFlow::onAttemptPiece(std::string_view piece, TimePoint now)
{
    if (m_stage == Stage::Streaming) {
        // Bytes alone are no progress: a stalled upstream may drip them.
        bool anyEvent = false;
        m_splitter.feed(piece, [&](const StreamEvent& it) {
            anyEvent = true;
            passEvent(it);
        });
        if (anyEvent && m_attemptDeadline && m_ticket)
            m_attemptDeadline = nextEventBy(now);
        return;
    }
    if (m_stage != Stage::Collecting)
        return;
    m_collected += piece;
    if (m_collected.size() > MAX_COLLECTED_BYTES) {
        m_actions.cancelAttempt();
        onBroken(true, "answer too large", now);
    }
}

void RequestFlow::passEvent(const StreamEvent& it)
{
    const bool seen = it.id && m_lastEventId && *it.id <= *m_lastEventId;
    if (seen)
        return;
    if (it.id)
        m_lastEventId = it.id;
    if (!m_headSent) {
        m_headSent = true;
        m_actions.sendHead(m_head);
    }
    m_actions.sendPiece(it.bytes);
}

void RequestFlow::onAttemptEnd(TimePoint now)
{
    if (m_stage != Stage::Streaming)
        return onWholeAnswer(now);
    if (!m_splitter.rest().empty())
        return onBroken(true, "stream cut within an event", now);
    FlowEvent answered = event(FlowStep::Answered);
    answered.status = m_head.status;
    answered.confidence = m_facts.confidence;
    attemptOver(SendOutcome::Good, now);
    if (!m_headSent)
        m_actions.sendHead(m_head);
    m_actions.finish();
    report(answered, now);
    end();
}

void RequestFlow::onWholeAnswer(TimePoint now)
{
    if (m_facts.status == STATUS_MISDIRECTED)
        return onBroken(false, "another upstream has the address", now);
    if (wasTurnedAway(m_facts))
        return onBroken(false, "turned away", now);
    const bool failed = m_facts.status >= STATUS_SERVER_ERROR;
    if (failed) {
        m_mayHaveRun = true;
        judgeVersion(true, std::nullopt, now);
    }
    if (failed && mayTryAgain(true, now))
        return onBroken(true, "error of the upstream", now);
    if (m_headSent)
        return onBroken(true, "the stream can't go on", now);
    FlowEvent answered = event(FlowStep::Answered);
    answered.status = m_facts.status;
    attemptOver(failed ? SendOutcome::Failed : SendOutcome::Good, now);
    m_actions.answerWhole(m_head, m_collected);
    report(answered, now);
    end();
}

void RequestFlow::onAttemptFailed(http::SendState state, const std::string& reason, TimePoint now)
{
    if (state == http::SendState::MaybeReceived)
        return onBroken(true, reason, now);
    report(event(FlowStep::AttemptFailed, reason), now);
    --m_sends;
    ++m_connectFailures;
    m_target.exclude(m_ticket->upstream);
    attemptOver(SendOutcome::Unreachable, now);
    // A send that reached nobody takes nothing from the budget.
    if (!mayTryAgain(false, now))
        return giveUp(reason, now);
    sendAgain(reason, now);
}

// An attempt ended without an answer that can be passed on.
void RequestFlow::onBroken(bool ran, std::string_view reason, TimePoint now)
{
    report(event(FlowStep::AttemptFailed, reason), now);
    if (m_ticket)
        m_target.exclude(m_ticket->upstream);
    const bool misdirected = !ran && m_facts.status == STATUS_MISDIRECTED;
    const SendOutcome refused = misdirected ? SendOutcome::Unreachable : SendOutcome::Refused;
    attemptOver(ran ? SendOutcome::Failed : refused, now);
    m_mayHaveRun = m_mayHaveRun || ran;
    if (!mayTryAgain(ran, now) || !m_context.retries.tryAcquire(m_target.service(), m_sends, now))
        return giveUp(reason, now);
    sendAgain(reason, now);
}

void RequestFlow::sendAgain(std::string_view reason, TimePoint now)
{
    report(event(m_headSent ? FlowStep::Resumed : FlowStep::Retried, reason), now);
    m_stage = Stage::Received;
    dispatch(now);
    arm();
}

bool RequestFlow::mayTryAgain(bool ran, TimePoint now) const
{
    const bool allowed = m_route->mayRepeat() || (!ran && !m_mayHaveRun);
    return allowed && m_sends < m_route->maxAttempts && m_connectFailures < MOST_CONNECT_FAILURES && now < m_deadline;
}

void RequestFlow::giveUp(std::string_view reason, TimePoint now)
{
    if (m_headSent) {
        report(event(FlowStep::Aborted, reason), now);
        m_actions.abort();
        return end();
    }
    if (m_mayHaveRun)
        return answerOwn(FlowStep::Failed, STATUS_BAD_GATEWAY, std::nullopt, reason, now);
    const Duration wait
        = std::clamp(m_context.waiting.expectedWait(m_target.service(), now), COME_BACK, LONGEST_COME_BACK);
    refuse(STATUS_UNAVAILABLE, wait, reason, now);
}

// Callers that are refused together are asked back at different times.
void RequestFlow::refuse(int status, std::optional<Duration> retryAfter, std::string_view reason, TimePoint now)
{
    const double spread = 0.75 + 0.5 * unitInterval(stableHash(m_request.attempt.value()));
    if (retryAfter)
        retryAfter = Duration(static_cast<Duration::rep>(static_cast<double>(retryAfter->count()) * spread));
    answerOwn(FlowStep::Refused, status, retryAfter, reason, now);
}

void RequestFlow::onTimer(TimePoint now)
{
    if (m_stage == Stage::Done)
        return;
    if (now >= m_deadline) {
        const bool open = m_ticket.has_value();
        if (open)
            m_actions.cancelAttempt();
        m_mayHaveRun = m_mayHaveRun || open;
        attemptOver(SendOutcome::Failed, now);
        if (m_headSent || !m_mayHaveRun)
            return giveUp("deadline passed", now);
        return answerOwn(FlowStep::Failed, STATUS_GATEWAY_TIMEOUT, std::nullopt, "deadline passed", now);
    }
    if (m_attemptDeadline && now >= *m_attemptDeadline)
        onNoProgress(now);
    arm();
}

void RequestFlow::onNoProgress(TimePoint now)
{
    constexpr std::string_view REASON = "no progress in time";
    m_attemptDeadline.reset();
    const bool otherUpstream
        = m_context.balancer.outlook(m_target.demand(now), m_context.host.sharers(now), now).has_value();
    if (!otherUpstream || !mayTryAgain(true, now) || !m_context.retries.tryAcquire(m_target.service(), m_sends, now))
        return;
    report(event(FlowStep::AttemptFailed, REASON), now);
    m_actions.cancelAttempt();
    m_mayHaveRun = true;
    m_target.exclude(m_ticket->upstream);
    attemptOver(SendOutcome::Failed, now);
    sendAgain(REASON, now);
}

void RequestFlow::onCallerGone(TimePoint now)
{
    if (m_stage == Stage::Done)
        return;
    if (m_ticket)
        m_actions.cancelAttempt();
    attemptOver(SendOutcome::Abandoned, now);
    if (m_stage == Stage::Waiting)
        m_context.waiting.remove(m_target.service(), m_waitingTicket);
    report(event(FlowStep::CallerLeft), now);
    end();
}

void RequestFlow::answerOwn(
    FlowStep step, int status, std::optional<Duration> retryAfter, std::string_view reason, TimePoint now)
{
    if (m_stage == Stage::Waiting)
        m_context.waiting.remove(m_target.service(), m_waitingTicket);
    FlowEvent it = event(step, reason);
    it.status = status;
    it.retryAfter = retryAfter;
    report(it, now);
    m_actions.answerOwn(status, retryAfter);
    end();
}

void RequestFlow::end() { m_stage = Stage::Done; }

void RequestFlow::arm()
{
    if (m_stage != Stage::Done)
        m_actions.wakeAt(std::min(m_deadline, m_attemptDeadline.value_or(m_deadline)));
}

FlowEvent RequestFlow::event(FlowStep step, std::string_view reason) const
{
    FlowEvent it { .step = step, .request = m_request, .route = m_route.get(), .reason = reason, .sends = m_sends };
    it.upstream = m_lastUpstream;
    if (m_target.choosesModel())
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
