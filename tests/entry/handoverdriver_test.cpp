#include "../../src/entry/internal/handoverdriver.h"

#include "hostfixture.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::test;

namespace {

constexpr Duration ROUTE_TIMEOUT { 300 };

// A host that hands the requests of its callers to one that takes them and never answers.
struct SilentTarget {
    SilentTarget()
        : acceptor(loop.io(), { boost::asio::ip::make_address(http::test::uniqueLoopbackIp(2)), 0 })
        , client(http::EventClient::create(loop.io(), loop.clock()))
        , context { .loop = loop.io(),
            .clock = loop.clock(),
            .codec = codec,
            .client = *client,
            .mayRepeat = [](const entry::CallerRequest&) { return false; },
            .timeoutOf = [](const entry::CallerRequest&) { return std::optional(ROUTE_TIMEOUT); } }
        , address(loop.freeEndpoint(http::test::uniqueLoopbackIp()))
    {
        handleFailure(
            [&]() -> Result<int> {
                BOOST_LEAF_ASSIGN(server,
                    http::EventServer::start(loop.io(), loop.clock(), { .listen = address }, [this](auto exchange) {
                        const http::Endpoint target { .ip = http::test::uniqueLoopbackIp(2),
                            .port = acceptor.local_endpoint().port() };
                        driver = std::make_unique<entry::HandoverDriver>(
                            context, std::move(exchange), std::vector { target }, [this] { ++ended; });
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
    std::unique_ptr<http::EventClient> client;
    entry::HandoverContext context;
    http::Endpoint address;
    std::unique_ptr<http::EventServer> server;
    std::unique_ptr<entry::HandoverDriver> driver;
    int ended = 0;
};

}

// Guards against orders that are handed to a frozen host and never answered (review/4).
Test(handover_driver, requestAtSilentHostIsAnsweredAtItsTimeout)
{
    SilentTarget it;
    const TimePoint startedAt = it.loop.clock().now();
    RawPeer caller(it.loop, it.address);
    caller.send("POST /order/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\n{}");
    it.loop.runUntil([&] { return it.ended == 1; }, "the request is answered");
    caller.await("\r\n\r\n");
    const Duration elapsed = it.loop.clock().now() - startedAt;
    cr_assert(hasStatus(caller.received(), STATUS_GATEWAY_TIMEOUT), "the other host may have run it");
    cr_assert(elapsed >= ROUTE_TIMEOUT && elapsed < ROUTE_TIMEOUT + Duration(500), "after %ld ms",
        static_cast<long>(elapsed.count()));
}
