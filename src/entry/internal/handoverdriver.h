#pragma once

#include "fireflyhaven/entry/wirecodec.h"
#include "fireflyhaven/http/eventclient.h"
#include "fireflyhaven/http/exchange.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace fireflyhaven::entry {

// Objects shared by all handed-over requests of a host.
struct HandoverContext {
    boost::asio::io_context& loop;
    const IClock& clock;
    const IWireCodec& codec;
    http::EventClient& client;
    // Whether the request may run more than once.
    std::function<bool(const CallerRequest&)> mayRepeat;
    // Time-out of the request's route; no value where it has no route.
    std::function<std::optional<Duration>(const CallerRequest&)> timeoutOf;
};

// Hands one caller's request to another host, which answers it as one of its own, and passes the answer on. Tries the
// hosts in turn while no host can have run a request that must not be repeated. All of them share the time that the
// request has from its arrival here.
class HandoverDriver final : public http::IResponseObserver, public http::IExchangeObserver {
public:
    // `hosts` are the addresses that take handed-over requests, the preferred one first.
    HandoverDriver(const HandoverContext& context, std::shared_ptr<http::Exchange> exchange,
        std::vector<http::Endpoint> hosts, std::function<void()> onDone);
    ~HandoverDriver() override;
    HandoverDriver(const HandoverDriver&) = delete;
    HandoverDriver& operator=(const HandoverDriver&) = delete;

    void begin();
    // Answers the request, because its time is over or the process exits.
    void end(int statusIfItMayHaveRun);

private:
    http::HeadVerdict onHead(const http::ResponseHead& head) override;
    void onBodyData(std::string_view piece) override;
    void onComplete() override;
    void onFailed(http::SendState state, const std::string& reason) override;
    void onCallerDisconnected() override;
    void onWritable() override;

    // Hands the request to the next host, or fails it if there is none.
    void startNext();
    void fail(int statusIfItMayHaveRun);
    // Must be the last statement of a callback, because the owner then destroys the driver.
    void notifyDone();

    const HandoverContext& m_context;
    std::shared_ptr<http::Exchange> m_exchange;
    const std::vector<http::Endpoint> m_hosts;
    std::function<void()> m_onDone;
    const CallerRequest m_request;
    // When the request is answered at the latest, whatever the other hosts do.
    const TimePoint m_endsAt;
    boost::asio::steady_timer m_endTimer;
    std::size_t m_nextHost = 0;
    bool m_mayHaveRun = false;
    std::unique_ptr<http::ClientCall> m_call;
    http::ResponseHead m_head;
    bool m_isStream = false;
    bool m_headSent = false;
    // Body of an answer that is no stream; passed on once it is complete.
    std::string m_body;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
