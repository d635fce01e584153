#pragma once

#include "fireflyhaven/entry/requestflow.h"
#include "fireflyhaven/entry/wirecodec.h"
#include "fireflyhaven/http/exchange.h"

#include <boost/asio/steady_timer.hpp>

namespace fireflyhaven::entry {

// What the drivers of one host share.
struct DriverContext {
    boost::asio::io_context& loop;
    const IClock& clock;
    const IWireCodec& codec;
    http::EventClient& client;
    FlowContext& flows;
};

// Connects the flow of one request with the caller's connection, the upstream's connection and a timer.
class RequestDriver final : public IFlowActions, public http::IResponseObserver, public http::IExchangeObserver {
public:
    RequestDriver(DriverContext& context, std::shared_ptr<http::Exchange> exchange, std::function<void()> onDone);
    ~RequestDriver() override;
    RequestDriver(const RequestDriver&) = delete;
    RequestDriver& operator=(const RequestDriver&) = delete;

    void begin();
    // It is the request's turn to be sent; false where no upstream can take it yet.
    bool onTurn();
    // The request had to give way to a more urgent one.
    void onShed();
    admission::TicketId waitingTicket() const { return m_flow.waitingTicket(); }

private:
    void startAttempt(const AttemptPlan& plan) override;
    void cancelAttempt() override;
    void sendHead(const http::ResponseHead& upstream) override;
    void sendPiece(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    void answerWhole(const http::ResponseHead& upstream, std::string_view body) override;
    void answerOwn(int status, std::optional<Duration> retryAfter) override;
    void wakeAt(TimePoint time) override;

    http::HeadVerdict onHead(const http::ResponseHead& head) override;
    void onBodyData(std::string_view piece) override;
    void onComplete() override;
    void onFailed(http::SendState state, const std::string& reason) override;

    void onCallerDisconnected() override;
    void onWritable() override;

    // Tells the owner once the flow has ended; the last thing that a callback does.
    void checkDone();
    TimePoint now() const { return m_context.clock.now(); }

    DriverContext& m_context;
    std::shared_ptr<http::Exchange> m_exchange;
    std::function<void()> m_onDone;
    const AttemptId m_attempt;
    RequestFlow m_flow;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<http::ClientCall> m_call;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
