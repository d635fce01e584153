#include "../../src/entry/internal/handoverdriver.h"

#include "hostfixture.h"

#include <thread>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::test;

namespace {

constexpr Duration TIMEOUT { 300 };

// Starts calls that stay open until the test fails them.
class ScriptedClient final : public http::EventClient {
public:
    std::unique_ptr<http::ClientCall> start(
        const http::Endpoint&, http::OutgoingRequest request, http::IResponseObserver& observer) override
    {
        started.push_back(std::move(request));
        lastObserver = &observer;
        return std::make_unique<OpenCall>();
    }
    void checkConnection(const http::Endpoint&, Duration, std::function<void(http::ConnectionResult)>) override { }
    std::size_t connectionsTo(const http::Endpoint&) const override { return 0; }
    std::size_t idleConnectionsTo(const http::Endpoint&) const override { return 0; }
    void closeIdleConnectionsTo(const http::Endpoint&) override { }
    std::uint64_t connectionsOpened() const override { return 0; }

    // Fails the open call, whose host may have got the request.
    void failLast() { lastObserver->onFailed(http::SendState::MaybeReceived, "reset"); }

    std::vector<http::OutgoingRequest> started;
    http::IResponseObserver* lastObserver = nullptr;

private:
    class OpenCall final : public http::ClientCall {
    public:
        void pause() override { }
        void resume() override { }
        bool anythingSent() const override { return true; }
    };
};

// A host that hands the requests of its callers to others, which stay silent.
struct HandingHost {
    explicit HandingHost(
        bool mayRepeat = false, std::optional<Duration> timeout = TIMEOUT, http::EventClient* client = nullptr)
        : acceptor(loop.io(), { boost::asio::ip::make_address(http::test::uniqueLoopbackIp(2)), 0 })
        , ownClient(http::EventClient::create(loop.io(), loop.clock()))
        , context { .loop = loop.io(),
            .clock = loop.clock(),
            .codec = codec,
            .client = client ? *client : *ownClient,
            .mayRepeat = [mayRepeat](const entry::CallerRequest&) { return mayRepeat; },
            .timeoutOf = [timeout](const entry::CallerRequest&) { return timeout; } }
        , address(loop.freeEndpoint(http::test::uniqueLoopbackIp()))
    {
        handleFailure(
            [&]() -> Result<int> {
                BOOST_LEAF_ASSIGN(server,
                    http::EventServer::start(loop.io(), loop.clock(), { .listen = address }, [this](auto exchange) {
                        const http::Endpoint target { .ip = http::test::uniqueLoopbackIp(2),
                            .port = acceptor.local_endpoint().port() };
                        driver = std::make_unique<entry::HandoverDriver>(
                            context, std::move(exchange), std::vector { target, target }, [this] { ++ended; });
                        driver->begin();
                    }));
                return 0;
            },
            [](const Failure& it) {
                cr_assert(false, "%s", it.message.c_str());
                return 1;
            });
    }

    EventLoop loop;
    // Its kernel acknowledges what is sent, as that of a frozen process does.
    boost::asio::ip::tcp::acceptor acceptor;
    const platform::WireCodec codec;
    std::unique_ptr<http::EventClient> ownClient;
    entry::HandoverContext context;
    http::Endpoint address;
    std::unique_ptr<http::EventServer> server;
    std::unique_ptr<entry::HandoverDriver> driver;
    int ended = 0;
};

const std::string ORDER = "POST /order/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\n{}";

long deadlineOf(const http::OutgoingRequest& request)
{
    const std::string* deadline = request.head.headers.find("X-Deadline-Ms");
    cr_assert_not_null(deadline);
    return std::stol(*deadline);
}

}

// Guards against orders that are handed to a frozen host and never answered (review/4).
Test(handover_driver, requestAtSilentHostIsAnsweredAtItsTimeout)
{
    HandingHost it;
    const TimePoint startedAt = it.loop.clock().now();
    RawPeer caller(it.loop, it.address);
    caller.send(ORDER);
    it.loop.runUntil([&] { return it.ended == 1; }, "the request is answered");
    caller.await("\r\n\r\n");
    const Duration elapsed = it.loop.clock().now() - startedAt;
    cr_assert(hasStatus(caller.received(), STATUS_GATEWAY_TIMEOUT), "the other host may have run it");
    cr_assert(
        elapsed >= TIMEOUT && elapsed < TIMEOUT + Duration(500), "after %ld ms", static_cast<long>(elapsed.count()));
}

// Guards against a request without a route that is handed to a frozen host and never answered (review/4).
Test(handover_driver, requestWithoutRouteAtSilentHostIsAnswered)
{
    HandingHost it(false, std::nullopt);
    RawPeer caller(it.loop, it.address);
    caller.send(ORDER);
    caller.await("\r\n\r\n");
    cr_assert(hasStatus(caller.received(), STATUS_GATEWAY_TIMEOUT));
}

// Guards against a time-out that starts anew at the second host.
Test(handover_driver, secondHostGetsTheTimeThatIsLeft)
{
    constexpr Duration SPENT { 100 };
    ScriptedClient client;
    HandingHost it(true, TIMEOUT, &client);
    RawPeer caller(it.loop, it.address);
    caller.send(ORDER);
    it.loop.runUntil([&] { return client.started.size() == 1; }, "the request is handed over");
    cr_assert_leq(deadlineOf(client.started[0]), TIMEOUT.count());
    std::this_thread::sleep_for(SPENT);
    client.failLast();
    cr_assert_eq(client.started.size(), 2);
    cr_assert_leq(deadlineOf(client.started[1]), (TIMEOUT - SPENT).count());
}

// Guards against handing on, after a freeze, what nobody waits for any more (review/4).
Test(handover_driver, requestWhoseTimeIsOverIsNotHandedOn)
{
    ScriptedClient client;
    HandingHost it(true, TIMEOUT, &client);
    RawPeer caller(it.loop, it.address);
    caller.send(ORDER);
    it.loop.runUntil([&] { return client.started.size() == 1; }, "the request is handed over");
    std::this_thread::sleep_for(TIMEOUT);
    client.failLast();
    cr_assert_eq(client.started.size(), 1);
    caller.await("\r\n\r\n");
    cr_assert(hasStatus(caller.received(), STATUS_GATEWAY_TIMEOUT), "the first host may have run it");
}

Test(handover_driver, requestOfCallerThatLeftIsNotHandedOn)
{
    ScriptedClient client;
    HandingHost it(true, TIMEOUT, &client);
    RawPeer caller(it.loop, it.address);
    caller.send(ORDER);
    it.loop.runUntil([&] { return client.started.size() == 1; }, "the request is handed over");
    caller.close();
    client.failLast();
    cr_assert_eq(client.started.size(), 1);
    cr_assert_eq(it.ended, 1);
}
