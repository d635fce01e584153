#include "handoverdriver.h"

#include "fireflyhaven/http/types/status.h"
#include "fireflyhaven/telemetry/logevent.h"

namespace fireflyhaven::entry {

namespace {

constexpr Duration CONNECT_TIMEOUT { 300 };
// Time after which a caller may be served by another host.
constexpr Duration RETRY_AFTER { 300 };
constexpr std::size_t MAX_HOSTS_TRIED = 2;
// For a request without a route, which the other host refuses at once.
constexpr Duration TIMEOUT_WITHOUT_ROUTE { 1000 };

Duration timeFor(const HandoverContext& context, const CallerRequest& request)
{
    const Duration timeout = context.timeoutOf(request).value_or(TIMEOUT_WITHOUT_ROUTE);
    return std::min(timeout, request.deadline.value_or(timeout));
}

}

HandoverDriver::HandoverDriver(const HandoverContext& context, std::shared_ptr<http::Exchange> exchange,
    std::vector<http::Endpoint> hosts, std::function<void()> onDone)
    : m_context(context)
    , m_exchange(std::move(exchange))
    , m_hosts(std::move(hosts))
    , m_onDone(std::move(onDone))
    , m_request(context.codec.decodeRequest(m_exchange->head()))
    , m_endsAt(context.clock.now() + timeFor(context, m_request))
    , m_endTimer(context.loop)
{
    m_exchange->setObserver(this);
}

HandoverDriver::~HandoverDriver()
{
    *m_alive = false;
    m_exchange->setObserver(nullptr);
}

void HandoverDriver::begin()
{
    m_endTimer.expires_after(m_endsAt - m_context.clock.now());
    m_endTimer.async_wait([this, alive = m_alive](boost::system::error_code ec) {
        if (!ec && *alive)
            end(STATUS_GATEWAY_TIMEOUT);
    });
    startNext();
}

// The other host may be frozen, and would never answer.
void HandoverDriver::end(int statusIfItMayHaveRun)
{
    if (!m_onDone)
        return;
    m_mayHaveRun = m_mayHaveRun || (m_call && m_call->anythingSent());
    m_call.reset();
    if (!m_headSent)
        return fail(statusIfItMayHaveRun);
    m_exchange->abort();
    notifyDone();
}

// After a freeze, the failure of the first host may be handled before the timer and the end of the caller's connection.
void HandoverDriver::startNext()
{
    if (m_exchange->hasCallerLeft())
        return onCallerDisconnected();
    const Duration remaining = m_endsAt - m_context.clock.now();
    if (remaining <= Duration(0))
        return fail(STATUS_GATEWAY_TIMEOUT);
    if (m_nextHost >= std::min(m_hosts.size(), MAX_HOSTS_TRIED))
        return fail(STATUS_BAD_GATEWAY);
    http::OutgoingRequest request { .head = m_context.codec.encodeHandedOverRequest(m_exchange->head(), remaining),
        .body = m_exchange->body(),
        .connectTimeout = std::min(CONNECT_TIMEOUT, remaining) };
    m_call = m_context.client.start(m_hosts[m_nextHost++], std::move(request), *this);
}

http::HeadVerdict HandoverDriver::onHead(const http::ResponseHead& head)
{
    const ResponseInfo info = m_context.codec.decodeResponse(head);
    if (!info.attempt.empty() && info.attempt != m_request.attempt)
        return http::HeadVerdict::Skip;
    m_head = m_context.codec.encodeCallerResponse(head);
    m_isStream = info.isEventStream && isSuccess(info.status);
    if (m_isStream) {
        m_headSent = true;
        m_exchange->sendHead(m_head, std::nullopt);
    }
    return http::HeadVerdict::Accept;
}

void HandoverDriver::onBodyData(std::string_view piece)
{
    if (!m_isStream) {
        m_body += piece;
        return;
    }
    m_exchange->sendBodyData(piece);
    if (m_exchange->unsentBytes() >= http::Exchange::MAX_UNSENT_BYTES)
        m_call->pause();
}

void HandoverDriver::onComplete()
{
    if (m_isStream)
        m_exchange->finish();
    else
        m_exchange->sendResponse(m_head, m_body);
    notifyDone();
}

void HandoverDriver::onFailed(http::SendState state, const std::string& reason)
{
    telemetry::logEvent(spdlog::level::warn, "handover_failed",
        { { "request", m_request.attempt.value() }, { "to", m_hosts[m_nextHost - 1].text() }, { "reason", reason } });
    m_mayHaveRun = m_mayHaveRun || state == http::SendState::MaybeReceived;
    m_body.clear();
    if (m_headSent) {
        m_exchange->abort();
        return notifyDone();
    }
    if (m_mayHaveRun && !m_context.mayRepeat(m_request))
        return fail(STATUS_BAD_GATEWAY);
    startNext();
}

void HandoverDriver::fail(int statusIfItMayHaveRun)
{
    const int status = m_mayHaveRun ? statusIfItMayHaveRun : STATUS_UNAVAILABLE;
    const auto retryAfter = m_mayHaveRun ? std::nullopt : std::optional(RETRY_AFTER);
    m_exchange->sendResponse(m_context.codec.encodeLocalResponse(status, m_request.attempt, retryAfter), {});
    notifyDone();
}

// The other host cancels its attempt when this call's connection closes.
void HandoverDriver::onCallerDisconnected()
{
    m_call.reset();
    notifyDone();
}

void HandoverDriver::onWritable()
{
    if (m_call)
        m_call->resume();
}

void HandoverDriver::notifyDone()
{
    m_endTimer.cancel();
    if (m_onDone)
        std::exchange(m_onDone, nullptr)();
}

}
