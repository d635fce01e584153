#pragma once

#include "fireflyhaven/entry/requestflow.h"
#include "fireflyhaven/entry/wirecodec.h"
#include "fireflyhaven/http/exchange.h"

#include <boost/asio/steady_timer.hpp>

namespace fireflyhaven::entry {

// Objects shared by all request drivers of a host.
struct DriverContext {
    boost::asio::io_context& loop;
    const IClock& clock;
    const IWireCodec& codec;
    http::EventClient& client;
    FlowContext& flowContext;
};

// Connects the state machine of one request to the caller's connection, the upstream's connection and a timer.
class RequestDriver final : public IFlowActions, public http::IResponseObserver, public http::IExchangeObserver {
public:
    RequestDriver(DriverContext& context, std::shared_ptr<http::Exchange> exchange, std::function<void()> onDone);
    ~RequestDriver() override;
    RequestDriver(const RequestDriver&) = delete;
    RequestDriver& operator=(const RequestDriver&) = delete;

    void begin();
    // Called when the request was taken from its service queue to be sent. Returns false if no upstream can take it
    // yet; the request is then put back into the queue.
    bool onDequeued();
    // Called when a more urgent request has displaced this one from the service queue.
    void onShed();
    void onHostStops();
    void onCatalogLoaded();
    void onPermitDecision(const ratelimit::PermitDecision& decision);
    admission::TicketId waitingTicket() const { return m_flow.waitingTicket(); }
    int priority() const { return m_flow.priority(); }

private:
    void startAttempt(const AttemptPlan& plan) override;
    void cancelAttempt() override;
    void sendHead(const http::ResponseHead& upstream) override;
    void sendData(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    void forwardResponse(const http::ResponseHead& upstream, std::string_view body) override;
    void sendLocalResponse(int status, std::optional<Duration> retryAfter) override;
    void scheduleTimer(TimePoint time) override;
    bool hasCallerLeft() const override { return m_exchange->hasCallerLeft(); }

    http::HeadVerdict onHead(const http::ResponseHead& head) override;
    void onBodyData(std::string_view piece) override;
    void onComplete() override;
    void onFailed(http::SendState state, const std::string& reason) override;

    void onCallerDisconnected() override;
    void onWritable() override;

    // Calls `onDone` once the flow has ended. Must be the last statement of a callback, because the owner may then
    // destroy the driver.
    void notifyIfDone();
    TimePoint now() const { return m_context.clock.now(); }

    DriverContext& m_context;
    std::shared_ptr<http::Exchange> m_exchange;
    std::function<void()> m_onDone;
    const AttemptId m_attemptId;
    RequestFlow m_flow;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<http::ClientCall> m_upstreamCall;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
