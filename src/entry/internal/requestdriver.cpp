#include "requestdriver.h"

#include "requestdigest.h"

namespace fireflyhaven::entry {

namespace {

CallerRequest decodeRequest(const IWireCodec& codec, const http::Exchange& exchange)
{
    CallerRequest request = codec.decodeRequest(exchange.head());
    const auto body = exchange.body();
    request.bodyBytes = body ? body->size() : 0;
    request.digest = digestOf(request, exchange.head(), body ? *body : std::string());
    return request;
}

}

RequestDriver::RequestDriver(
    DriverContext& context, std::shared_ptr<http::Exchange> exchange, std::function<void()> onDone)
    : m_context(context)
    , m_exchange(std::move(exchange))
    , m_onDone(std::move(onDone))
    , m_attemptId(context.codec.decodeRequest(m_exchange->head()).attempt)
    , m_flow(context.flowContext, *this, decodeRequest(context.codec, *m_exchange))
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
    notifyIfDone();
}

bool RequestDriver::onDequeued()
{
    const bool handled = m_flow.onDequeued(now());
    notifyIfDone();
    return handled;
}

void RequestDriver::onCatalogLoaded()
{
    m_flow.onCatalogLoaded(now());
    notifyIfDone();
}

void RequestDriver::onShed()
{
    m_flow.onShed(now());
    notifyIfDone();
}

void RequestDriver::onHostStops()
{
    m_flow.onHostStops(now());
    notifyIfDone();
}

void RequestDriver::onPermitDecision(const ratelimit::PermitDecision& decision)
{
    m_flow.onPermitDecision(decision, now());
    notifyIfDone();
}

void RequestDriver::startAttempt(const AttemptPlan& plan)
{
    http::OutgoingRequest request { .head = m_context.codec.encodeUpstreamRequest(m_exchange->head(), plan.directives),
        .body = m_exchange->body(),
        .connectTimeout = plan.connectTimeout,
        .maxIdleTime = plan.maxReuseIdleTime };
    m_upstreamCall = m_context.client.start(plan.address, std::move(request), *this);
}

void RequestDriver::cancelAttempt() { m_upstreamCall.reset(); }

void RequestDriver::sendHead(const http::ResponseHead& upstream)
{
    m_exchange->sendHead(m_context.codec.encodeCallerResponse(upstream), std::nullopt);
}

void RequestDriver::sendData(std::string_view bytes)
{
    m_exchange->sendBodyData(bytes);
    if (m_upstreamCall && m_exchange->unsentBytes() >= http::Exchange::MAX_UNSENT_BYTES)
        m_upstreamCall->pause();
}

void RequestDriver::finish() { m_exchange->finish(); }

void RequestDriver::abort() { m_exchange->abort(); }

void RequestDriver::forwardResponse(const http::ResponseHead& upstream, std::string_view body)
{
    m_exchange->sendResponse(m_context.codec.encodeCallerResponse(upstream), body);
}

void RequestDriver::sendLocalResponse(int status, std::optional<Duration> retryAfter)
{
    m_exchange->sendResponse(m_context.codec.encodeLocalResponse(status, m_attemptId, retryAfter), {});
}

void RequestDriver::scheduleTimer(TimePoint time)
{
    m_timer.expires_after(std::max(Duration(0), time - now()));
    m_timer.async_wait([this, alive = m_alive](boost::system::error_code ec) {
        if (ec || !*alive)
            return;
        m_flow.onTimer(now());
        notifyIfDone();
    });
}

http::HeadVerdict RequestDriver::onHead(const http::ResponseHead& head)
{
    const http::HeadVerdict verdict = m_flow.onAttemptHead(m_context.codec.decodeResponse(head), head, now());
    notifyIfDone();
    return verdict;
}

void RequestDriver::onBodyData(std::string_view piece)
{
    m_flow.onAttemptData(piece, now());
    notifyIfDone();
}

void RequestDriver::onComplete()
{
    m_flow.onAttemptEnd(now());
    notifyIfDone();
}

void RequestDriver::onFailed(http::SendState state, const std::string& reason)
{
    m_flow.onAttemptFailed(state, reason, now());
    notifyIfDone();
}

void RequestDriver::onCallerDisconnected()
{
    m_flow.onCallerGone(now());
    notifyIfDone();
}

void RequestDriver::onWritable()
{
    if (m_upstreamCall)
        m_upstreamCall->resume();
}

void RequestDriver::notifyIfDone()
{
    if (!m_flow.isDone() || !m_onDone)
        return;
    m_timer.cancel();
    std::exchange(m_onDone, nullptr)();
}

}
