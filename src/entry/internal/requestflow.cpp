#include "fireflyhaven/entry/requestflow.h"

#include "fireflyhaven/http/types/status.h"

#include <algorithm>

namespace fireflyhaven::entry {

namespace {

constexpr Duration CONNECT_TIMEOUT { 300 };
// Time to come back that is named while no upstream can take a request.
constexpr Duration COME_BACK { 250 };
constexpr std::size_t MAX_COLLECTED_BYTES = 1024 * 1024;

bool isSuccess(int status) { return status >= STATUS_OK && status <= STATUS_LAST_OK; }

}

RequestFlow::RequestFlow(FlowContext& context, IFlowActions& actions, CallerRequest request)
    : m_context(context)
    , m_actions(actions)
    , m_request(std::move(request))
    , m_lastEventId(m_request.lastEventId)
{
}

RequestFlow::~RequestFlow() { attemptOver(); }

void RequestFlow::begin(TimePoint now)
{
    if (!admit(now))
        return;
    m_context.retries.onRequest();
    m_deadline = now + std::min(m_request.deadline.value_or(m_route->timeout), m_route->timeout);
    m_actions.wakeAt(m_deadline);
    attempt(now);
}

bool RequestFlow::admit(TimePoint now)
{
    const catalog::Catalog& catalog = m_context.catalog;
    const bool keysUsable = m_context.mayUseKeys(now);
    if (!catalog.hasConfiguration()) {
        answerOwn(STATUS_UNAVAILABLE, COME_BACK);
        return false;
    }
    m_route = catalog.routes().find(m_request.host, m_request.path);
    if (!m_route) {
        answerOwn(keysUsable ? STATUS_NOT_FOUND : STATUS_UNAVAILABLE);
        return false;
    }
    if (!catalog.needsKeys() || m_route->anonymous)
        return true;
    if (!keysUsable) {
        answerOwn(STATUS_UNAVAILABLE, COME_BACK);
        return false;
    }
    m_caller = m_request.key ? catalog.callerOf(*m_request.key) : std::nullopt;
    if (!m_caller)
        answerOwn(STATUS_UNAUTHORIZED);
    return m_caller.has_value();
}

void RequestFlow::attempt(TimePoint now)
{
    if (now >= m_deadline)
        return giveUp(m_mayHaveRun);
    balancing::Demand demand { .service = m_route->services.empty() ? ServiceName() : m_route->services.front().service,
        .excluded = m_tried };
    const catalog::UpstreamState* target = m_context.balancer.pick(demand, now);
    if (!target)
        return giveUp(m_mayHaveRun);
    send(*target, now);
}

void RequestFlow::send(const catalog::UpstreamState& target, TimePoint now)
{
    m_stage = Stage::AwaitingHead;
    m_upstream = target.upstream.id;
    m_tried.push_back(target.upstream.id);
    m_splitter = {};
    m_collected.clear();
    m_context.balancer.onSent(target.upstream.id);
    AttemptPlan plan { .address = target.upstream.address,
        .order = { .upstream = target.upstream.id,
            .deadline = std::max(Duration(1), m_deadline - now),
            .lastEventId = m_lastEventId },
        .connectTimeout = CONNECT_TIMEOUT };
    if (m_caller)
        plan.order.workspace = m_caller->workspace;
    if (!m_route->models.empty())
        plan.order.model = m_route->models.back();
    m_actions.startAttempt(plan);
}

void RequestFlow::attemptOver()
{
    if (m_upstream)
        m_context.balancer.onDone(*m_upstream);
    m_upstream.reset();
}

http::HeadVerdict RequestFlow::onAttemptHead(const AnswerFacts& facts, const http::ResponseHead& head, TimePoint now)
{
    if (!facts.attempt.empty() && facts.attempt != m_request.attempt)
        return http::HeadVerdict::Skip;
    const bool notRun = facts.notExecuted || facts.status == STATUS_MISDIRECTED;
    if (!notRun && (!facts.isSigned || facts.hasContentCoding)) {
        m_actions.cancelAttempt();
        onBroken(true, now);
        return http::HeadVerdict::Accept;
    }
    m_facts = facts;
    const bool resumes = m_headSent;
    if (!resumes)
        m_head = head;
    const bool streams
        = m_route->kind == catalog::RouteKind::Streaming && isSuccess(facts.status) && facts.isEventStream;
    m_stage = streams ? Stage::Streaming : Stage::Collecting;
    return http::HeadVerdict::Accept;
}

void RequestFlow::onAttemptPiece(std::string_view piece, TimePoint now)
{
    if (m_stage == Stage::Streaming) {
        m_splitter.feed(piece, [this](const StreamEvent& event) { passEvent(event); });
        return;
    }
    if (m_stage != Stage::Collecting)
        return;
    m_collected += piece;
    if (m_collected.size() > MAX_COLLECTED_BYTES) {
        m_actions.cancelAttempt();
        onBroken(true, now);
    }
}

void RequestFlow::passEvent(const StreamEvent& event)
{
    const bool seen = event.id && m_lastEventId && *event.id <= *m_lastEventId;
    if (seen)
        return;
    if (event.id)
        m_lastEventId = event.id;
    if (!m_headSent) {
        m_headSent = true;
        m_actions.sendHead(m_head);
    }
    m_actions.sendPiece(event.bytes);
}

void RequestFlow::onAttemptEnd(TimePoint now)
{
    const bool streamed = m_stage == Stage::Streaming;
    attemptOver();
    if (streamed && !m_splitter.rest().empty())
        return onBroken(true, now);
    if (streamed) {
        if (!m_headSent)
            m_actions.sendHead(m_head);
        m_actions.finish();
        return end();
    }
    const bool notRun = m_facts.notExecuted || m_facts.status == STATUS_MISDIRECTED;
    if (notRun)
        return onBroken(false, now);
    const bool failed = m_facts.status >= STATUS_SERVER_ERROR;
    if (failed) {
        m_mayHaveRun = true;
        if (tryAgain(true, now))
            return;
    }
    if (m_headSent) {
        m_actions.abort();
        return end();
    }
    m_actions.answerWhole(m_head, m_collected);
    end();
}

void RequestFlow::onAttemptFailed(http::SendState state, const std::string&, TimePoint now)
{
    onBroken(state == http::SendState::MaybeReceived, now);
}

void RequestFlow::onBroken(bool ran, TimePoint now)
{
    attemptOver();
    m_mayHaveRun = m_mayHaveRun || ran;
    if (!tryAgain(ran, now))
        giveUp(m_mayHaveRun);
}

bool RequestFlow::tryAgain(bool ran, TimePoint now)
{
    const bool allowed = !ran || m_route->mayRepeat();
    const bool attemptsLeft = static_cast<int>(m_tried.size()) < m_route->maxAttempts;
    if (!allowed || !attemptsLeft || now >= m_deadline || !m_context.retries.take(static_cast<int>(m_tried.size())))
        return false;
    balancing::Demand demand { .service = m_route->services.front().service, .excluded = m_tried };
    const catalog::UpstreamState* target = m_context.balancer.pick(demand, now);
    if (!target)
        return false;
    send(*target, now);
    return true;
}

void RequestFlow::giveUp(bool ran)
{
    if (m_headSent) {
        m_actions.abort();
        return end();
    }
    if (ran)
        answerOwn(STATUS_BAD_GATEWAY);
    else
        answerOwn(STATUS_UNAVAILABLE, COME_BACK);
}

void RequestFlow::onTimer(TimePoint now)
{
    if (m_stage == Stage::Done || now < m_deadline)
        return;
    const bool open = m_upstream.has_value();
    if (open)
        m_actions.cancelAttempt();
    attemptOver();
    if (m_headSent) {
        m_actions.abort();
        return end();
    }
    const bool mayHaveRun = m_mayHaveRun || open;
    answerOwn(mayHaveRun ? STATUS_GATEWAY_TIMEOUT : STATUS_UNAVAILABLE);
}

void RequestFlow::onCallerGone()
{
    if (m_stage == Stage::Done)
        return;
    if (m_upstream)
        m_actions.cancelAttempt();
    attemptOver();
    end();
}

void RequestFlow::answerOwn(int status, std::optional<Duration> retryAfter)
{
    m_actions.answerOwn(status, retryAfter);
    end();
}

void RequestFlow::end() { m_stage = Stage::Done; }

}
