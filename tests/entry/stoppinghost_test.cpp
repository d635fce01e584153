#include "hostfixture.h"

#include <criterion/criterion.h>

// Whole hosts that stop while requests are open, seen by their callers.
using namespace fireflyhaven;
using namespace fireflyhaven::test;

namespace {

constexpr Duration GRACE { 2000 };
constexpr std::size_t CALLERS = 40;

void setGrace(Host& host)
{
    host.settings.bounds.shutdownGrace = GRACE;
    host.host->reload(host.settings);
}

// Stops the host as its process does on SIGTERM, up to the moment at which the process exits.
void stop(Deployment& it, Host& host)
{
    bool stopped = false;
    host.host->shutDown([&] { stopped = true; });
    it.await([&] { return stopped; }, "the host has stopped");
}

std::unique_ptr<RawPeer> sendOrder(Deployment& it, const Host& host, std::size_t n)
{
    auto caller = std::make_unique<RawPeer>(it.loop, host.settings.frontend);
    caller->send("POST /order/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: order-" + std::to_string(n)
        + "\r\nContent-Length: 2\r\n\r\n{}");
    return caller;
}

// Sends orders through the only host until its only upstream is full and some wait; none is answered.
std::vector<std::unique_ptr<RawPeer>> fillUpstream(Deployment& it)
{
    it.configure(3);
    it.await([&] { return it.isReady(0); }, "the host is ready");
    it.holdAnswers = true;
    std::vector<std::unique_ptr<RawPeer>> callers;
    for (std::size_t n = 0; n < CALLERS; ++n)
        callers.push_back(sendOrder(it, it.hosts[0], n));
    it.await([&] { return !it.heldExchanges.empty(); }, "requests reach the upstream");
    it.loop.runPending();
    return callers;
}

}

// All upstreams are full when SIGTERM comes, and stay so. Guards against closing the connections of requests that wait
// without an answer (review/3).
Test(stopping_host, eachOpenRequestIsAnsweredBeforeItsConnectionEnds, .timeout = 60)
{
    Deployment it(1);
    const std::vector<std::unique_ptr<RawPeer>> callers = fillUpstream(it);
    setGrace(it.hosts[0]);
    cr_assert_lt(it.heldExchanges.size(), CALLERS, "requests wait");
    stop(it, it.hosts[0]);
    const std::size_t sent = it.heldExchanges.size();
    std::size_t notRun = 0;
    for (const auto& caller : callers) {
        cr_assert(caller->received().find("\r\n\r\n") != std::string::npos, "%s", caller->received().c_str());
        notRun += hasStatus(caller->received(), STATUS_UNAVAILABLE) ? 1 : 0;
    }
    cr_assert_eq(notRun, CALLERS - sent, "what no upstream has run is refused as not run");
}

// Guards against a second SIGTERM that ends the process before its requests are answered.
Test(stopping_host, secondSignalChangesNothing, .timeout = 60)
{
    Deployment it(1);
    const std::vector<std::unique_ptr<RawPeer>> callers = fillUpstream(it);
    setGrace(it.hosts[0]);
    bool stoppedTwice = false;
    bool stopped = false;
    it.hosts[0].host->shutDown([&] { stopped = true; });
    it.loop.runPending();
    it.hosts[0].host->shutDown([&] { stoppedTwice = true; });
    it.await([&] { return stopped; }, "the host has stopped");
    cr_assert_not(stoppedTwice);
    for (const auto& caller : callers)
        cr_assert(caller->received().find("\r\n\r\n") != std::string::npos, "%s", caller->received().c_str());
}

// A cut-off host hands requests to one whose upstreams are full while it stops. Guards against taking requests that the
// exit of the process cuts off (review/3).
Test(stopping_host, cutOffHostTakesNoRequestThatItsExitCutsOff, .timeout = 60)
{
    constexpr Duration INTERVAL { 10 };
    // Time in which the host reads a request and refuses it.
    constexpr Duration ANSWER_TIME { 50 };
    struct Sent {
        std::unique_ptr<RawPeer> caller;
        TimePoint at {};
    };
    Deployment it(2, 2);
    it.configure(3);
    it.awaitDiscovery();
    it.cutOffUntilHandedOver(1);
    setGrace(it.hosts[1]);
    it.holdAnswers = true;
    std::vector<Sent> sent;
    bool stopped = false;
    it.hosts[1].host->shutDown([&] { stopped = true; });
    while (!stopped) {
        sent.push_back({ .caller = sendOrder(it, it.hosts[1], sent.size()), .at = it.loop.clock().now() });
        const TimePoint next = it.loop.clock().now() + INTERVAL;
        it.loop.runUntil([&] { return stopped || it.loop.clock().now() >= next; }, "the next request is due");
    }
    const TimePoint end = it.loop.clock().now();
    it.loop.runPending();
    for (const Sent& request : sent) {
        const bool mayBeUnread = request.at > end - ANSWER_TIME;
        cr_assert(mayBeUnread || request.caller->received().find("\r\n\r\n") != std::string::npos,
            "sent %ld ms before the end", static_cast<long>((end - request.at).count()));
    }
}

// Guards against handlers of open requests that run after their host was destroyed.
Test(stopping_host, hostIsDestroyedWithOpenRequests, .timeout = 60)
{
    Deployment it(1);
    const std::vector<std::unique_ptr<RawPeer>> callers = fillUpstream(it);
    it.hosts[0].host.reset();
    for (const auto& caller : callers)
        caller->awaitClose();
}
