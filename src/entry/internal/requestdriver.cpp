#include "requestdriver.h"

namespace fireflyhaven::entry {

RequestDriver::RequestDriver(
    DriverContext& context, std::shared_ptr<http::Exchange> exchange, std::function<void()> onDone)
    : m_context(context)
    , m_exchange(std::move(exchange))
    , m_onDone(std::move(onDone))
    , m_attempt(context.codec.decodeRequest(m_exchange->head()).attempt)
    , m_flow(context.flows, *this, context.codec.decodeRequest(m_exchange->head()))
    , m_timer(context.loop)
{
    m_exchange->setObserver(this);
}

RequestDriver::~RequestDriver()
{
    *m_alive = false;
    m_exchange->setObserver(nullptr);
}

void RequestDriver::begin()
{
    m_flow.begin(now());
    checkDone();
}

bool RequestDriver::onTurn()
{
    const bool taken = m_flow.onTurn(now());
    checkDone();
    return taken;
}

void RequestDriver::onShed()
{
    m_flow.onShed(now());
    checkDone();
}

void RequestDriver::startAttempt(const AttemptPlan& plan)
{
    http::OutgoingRequest request { .head = m_context.codec.encodeUpstreamRequest(m_exchange->head(), plan.order),
        .body = m_exchange->body(),
        .connectTimeout = plan.connectTimeout,
        .maxIdleTime = plan.freshFor };
    m_call = m_context.client.start(plan.address, std::move(request), *this);
}

void RequestDriver::cancelAttempt() { m_call.reset(); }

void RequestDriver::sendHead(const http::ResponseHead& upstream)
{
    m_exchange->sendHead(m_context.codec.encodeCallerAnswer(upstream), std::nullopt);
}

void RequestDriver::sendPiece(std::string_view bytes)
{
    m_exchange->sendBodyData(bytes);
    if (m_call && m_exchange->unsentBytes() >= http::Exchange::MAX_UNSENT_BYTES)
        m_call->pause();
}

void RequestDriver::finish() { m_exchange->finish(); }

void RequestDriver::abort() { m_exchange->abort(); }

void RequestDriver::answerWhole(const http::ResponseHead& upstream, std::string_view body)
{
    m_exchange->sendResponse(m_context.codec.encodeCallerAnswer(upstream), body);
}

void RequestDriver::answerOwn(int status, std::optional<Duration> retryAfter)
{
    m_exchange->sendResponse(m_context.codec.encodeOwnAnswer(status, m_attempt, retryAfter), {});
}

void RequestDriver::wakeAt(TimePoint time)
{
    m_timer.expires_after(std::max(Duration(0), time - now()));
    m_timer.async_wait([this, alive = m_alive](boost::system::error_code ec) {
        if (ec || !*alive)
            return;
        m_flow.onTimer(now());
        checkDone();
    });
}

http::HeadVerdict RequestDriver::onHead(const http::ResponseHead& head)
{
    const http::HeadVerdict verdict = m_flow.onAttemptHead(m_context.codec.decodeAnswer(head), head, now());
    checkDone();
    return verdict;
}

void RequestDriver::onBodyData(std::string_view piece)
{
    m_flow.onAttemptPiece(piece, now());
    checkDone();
}

void RequestDriver::onComplete()
{
    m_flow.onAttemptEnd(now());
    checkDone();
}

void RequestDriver::onFailed(http::SendState state, const std::string& reason)
{
    m_flow.onAttemptFailed(state, reason, now());
    checkDone();
}

void RequestDriver::onCallerDisconnected()
{
    m_flow.onCallerGone(now());
    checkDone();
}

void RequestDriver::onWritable()
{
    if (m_call)
        m_call->resume();
}

void RequestDriver::checkDone()
{
    if (!m_flow.isDone() || !m_onDone)
        return;
    m_timer.cancel();
    std::exchange(m_onDone, nullptr)();
}

}
