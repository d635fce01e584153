#include "fireflyhaven/http/eventserver.h"

#include "fireflyhaven/http/types/status.h"
#include "loopfixture.h"

#include <memory>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::http;
using fireflyhaven::http::test::EventLoop;
using fireflyhaven::http::test::RawPeer;

namespace {

class RecordingExchangeObserver final : public IExchangeObserver {
public:
    void onCallerDisconnected() override { disconnected = true; }
    void onWritable() override { writable = true; }

    bool disconnected = false;
    bool writable = false;
};

// A server on a free port that collects the requests and leaves the responses to the test.
class ServerFixture {
public:
    explicit ServerFixture(RequestLimits limits = {}, std::size_t maxConnections = EventServerOptions {}.maxConnections)
    {
        address = loop.freeEndpoint(test::uniqueLoopbackIp());
        const EventServerOptions options { .listen = address, .maxConnections = maxConnections, .limits = limits };
        handleFailure(
            [&]() -> Result<int> {
                BOOST_LEAF_ASSIGN(server, EventServer::start(loop.io(), loop.clock(), options, [this](auto exchange) {
                    exchanges.push_back(std::move(exchange));
                }));
                return 0;
            },
            [](const Failure& it) {
                cr_assert(false, "%s", it.message.c_str());
                return 1;
            });
    }

    Exchange& awaitExchange(std::size_t n = 1)
    {
        loop.runUntil([&] { return exchanges.size() >= n; }, "a request is passed to the handler");
        return *exchanges[n - 1];
    }
    void sendResponse(std::size_t n, const std::string& body)
    {
        awaitExchange(n).sendResponse({ .status = STATUS_OK }, body);
    }
    // Sends `request` on a new connection; returns the status line of the server's own response.
    std::string statusLineOfRejection(const std::string& request)
    {
        RawPeer caller(loop, address);
        caller.send(request);
        caller.awaitClose();
        return caller.received().substr(0, caller.received().find('\r'));
    }

    EventLoop loop;
    Endpoint address;
    std::unique_ptr<EventServer> server;
    std::vector<std::shared_ptr<Exchange>> exchanges;
};

// A response to a caller of HTTP/1.0 of which a part was sent.
class UnframedResponse {
public:
    explicit UnframedResponse(ServerFixture& server)
        : m_server(server)
        , m_caller(server.loop.io())
    {
        m_caller.connect({ boost::asio::ip::make_address(server.address.ip), server.address.port });
        boost::asio::write(m_caller, boost::asio::buffer(std::string("GET / HTTP/1.0\r\n\r\n")));
        Exchange& exchange = server.awaitExchange();
        exchange.sendHead({ .status = STATUS_OK }, std::nullopt);
        exchange.sendBodyData("half");
        server.loop.runPending();
    }

    // How the caller's connection ends.
    boost::system::error_code endOfConnection()
    {
        m_server.loop.runPending();
        std::string received;
        boost::system::error_code ec;
        boost::asio::read(m_caller, boost::asio::dynamic_buffer(received), ec);
        return ec;
    }

private:
    ServerFixture& m_server;
    test::Tcp::socket m_caller;
};

const std::string HOST_HEADER = "Host: h\r\n";

}

// A request and the end of its connection wait unread, as after a freeze. Guards against running what nobody waits for
// (review/4).
Test(event_server, requestOfCallerThatLeftIsNotBegun)
{
    ServerFixture it;
    {
        RawPeer caller(it.loop, it.address);
        it.loop.runUntil([&] { return it.server->openConnections() == 1; }, "the connection is accepted");
        caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        caller.close();
    }
    it.loop.runUntil([&] { return it.server->openConnections() == 0; }, "the connection is closed");
    cr_assert(it.exchanges.empty());
}

// Guards against an idle time-out that closes connections on which requests wait unread, as after a freeze.
Test(event_server, requestThatWaitsUnreadIsNotTimedOut)
{
    // More than the event loop takes from the kernel in one turn.
    constexpr std::size_t CALLERS = 300;
    constexpr Duration FREEZE { 2000 };
    ServerFixture it({ .idleTimeout = Duration(1500) });
    std::vector<std::unique_ptr<RawPeer>> callers;
    for (std::size_t n = 0; n < CALLERS; ++n)
        callers.push_back(std::make_unique<RawPeer>(it.loop, it.address));
    it.loop.runUntil([&] { return it.server->openConnections() == CALLERS; }, "the connections are accepted");
    std::this_thread::sleep_for(FREEZE);
    for (const auto& caller : callers)
        caller->send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    it.loop.runUntil([&] { return it.exchanges.size() == CALLERS; }, "all requests are passed to the handler");
}

// Guards against a host that stops and closes connections on which requests wait unread.
Test(event_server, requestThatWaitsUnreadIsNotClosedAsIdle)
{
    ServerFixture it;
    RawPeer caller(it.loop, it.address);
    it.loop.runUntil([&] { return it.server->openConnections() == 1; }, "the connection is accepted");
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    it.server->closeIdleConnections();
    it.awaitExchange();
}

// Guards against a limit of connections that drops requests: what it leaves no room for waits for a connection to end.
Test(event_server, requestBeyondTheConnectionLimitWaits)
{
    ServerFixture it({}, 1);
    RawPeer first(it.loop, it.address);
    first.send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
    it.awaitExchange(1);
    RawPeer second(it.loop, it.address);
    second.send("GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
    it.loop.runPending();
    cr_assert_eq(it.exchanges.size(), 1);
    it.sendResponse(1, "one");
    first.await("one");
    first.close();
    it.sendResponse(2, "two");
    second.await("two");
}

// Guards against limits of a new configuration that cut off a request on its way.
Test(event_server, newLimitsBindLaterRequestsOnly)
{
    const std::string body(1000, 'x');
    const std::string head = "POST / HTTP/1.1\r\n" + HOST_HEADER + "Content-Length: 1000\r\n\r\n";
    ServerFixture it({ .maxBodyBytes = 2000 });
    RawPeer caller(it.loop, it.address);
    caller.send(head + body.substr(0, 500));
    it.loop.runUntil([&] { return it.server->openConnections() == 1; }, "the connection is accepted");
    it.loop.runPending();
    it.server->setLimits({ .maxBodyBytes = 800 });
    caller.send(body.substr(500));
    cr_assert(*it.awaitExchange(1).body() == body);
    it.sendResponse(1, "done");
    caller.await("done");
    cr_assert(it.statusLineOfRejection(head + body).find("413") != std::string::npos);
}

// A caller that closes only its sending side counts as one that has left, since nothing tells the two apart.
Test(event_server, callerThatClosesItsSendingSideHasLeft)
{
    RecordingExchangeObserver observer;
    ServerFixture it;
    test::Tcp::socket caller(it.loop.io(), test::Tcp::v4());
    caller.connect({ boost::asio::ip::make_address(it.address.ip), it.address.port });
    boost::asio::write(caller, boost::asio::buffer("GET / HTTP/1.1\r\n" + HOST_HEADER + "\r\n"));
    it.awaitExchange().setObserver(&observer);
    caller.shutdown(test::Tcp::socket::shutdown_send);
    it.loop.runUntil([&] { return observer.disconnected; }, "the end of the sending side is taken for a departure");
    char byte = 0;
    boost::system::error_code ec;
    caller.read_some(boost::asio::buffer(&byte, 1), ec);
    cr_assert(ec == boost::asio::error::eof, "no answer is sent");
}

// Guards against changes to forwarded requests: the target must not be decoded or normalised, nor the body altered.
Test(event_server, requestPassedUnmodified)
{
    ServerFixture it;
    RawPeer caller(it.loop, it.address);
    const std::string target = "/a%2Fb//c/../d%00%zz?x=1&&y=%2B+%20#";
    const std::string body("\0\r\n\r\nGET / HTTP/1.1\r\n\r\n\xff", 26);
    caller.send("PATCH " + target + " HTTP/1.1\r\n" + HOST_HEADER
        + "X-Odd-CASE:  v \r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const Exchange& exchange = it.awaitExchange();
    cr_assert(exchange.head().method == "PATCH");
    cr_assert(exchange.head().target == target);
    cr_assert(*exchange.body() == body);
    cr_assert(*exchange.head().headers.find("x-odd-case") == "v");
    it.loop.runPending();
    cr_assert(it.exchanges.size() == 1);
}

Test(event_server, chunkedBodyJoined)
{
    ServerFixture it;
    RawPeer caller(it.loop, it.address);
    caller.send("POST /x HTTP/1.1\r\n" + HOST_HEADER + "Transfer-Encoding: chunked\r\n\r\n4;ext=1\r\nabcd\r\n");
    it.loop.runPending();
    cr_assert(it.exchanges.empty());
    caller.send("2\r\nef\r\n0\r\nTrailer: t\r\n\r\n");
    cr_assert(*it.awaitExchange().body() == "abcdef");
}

// Guards against request smuggling: a request whose length two parsers may interpret differently must be rejected, and
// its connection closed.
Test(event_server, ambiguousLengthRejected)
{
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\n" + HOST_HEADER + "\r\n";
    const std::vector<std::string> requests {
        "POST / HTTP/1.1\r\n" + HOST_HEADER + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + smuggled,
        "POST / HTTP/1.1\r\n" + HOST_HEADER + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd" + smuggled,
        "POST / HTTP/1.1\r\n" + HOST_HEADER + "Content-Length: 4, 5\r\n\r\nabcd" + smuggled,
        "POST / HTTP/1.1\r\n" + HOST_HEADER + "Content-Length: +4\r\n\r\nabcd" + smuggled,
        "POST / HTTP/1.1\r\n" + HOST_HEADER + "Content-Length: -1\r\n\r\nabcd" + smuggled,
        "POST / HTTP/1.1\r\n" + HOST_HEADER + "Content-Length : 4\r\n\r\nabcd" + smuggled,
        "POST / HTTP/1.1\r\n" + HOST_HEADER + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n" + smuggled,
        "POST / HTTP/1.1\r\n" + HOST_HEADER + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + smuggled,
        "POST / HTTP/1.1\r\n" + HOST_HEADER + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n" + smuggled,
    };
    for (const std::string& request : requests) {
        ServerFixture it;
        const std::string line = it.statusLineOfRejection(request);
        cr_assert(line.starts_with("HTTP/1.1 400 "), "%s answered %s", request.c_str(), line.c_str());
        cr_assert(it.exchanges.empty(), "%s was passed to the handler", request.c_str());
    }
}

Test(event_server, sizeLimitsEnforced)
{
    ServerFixture it({ .maxHeaderBytes = 1024, .maxBodyBytes = 100 });
    const std::string longHeader = "X: " + std::string(2000, 'x') + "\r\n";
    cr_assert(it.statusLineOfRejection("GET / HTTP/1.1\r\n" + longHeader + "\r\n").starts_with("HTTP/1.1 431 "));
    cr_assert(it.statusLineOfRejection("POST / HTTP/1.1\r\n" + HOST_HEADER + "Content-Length: 101\r\n\r\n")
                  .starts_with("HTTP/1.1 413 "));
    const std::string chunk = "64\r\n" + std::string(100, 'x') + "\r\n";
    cr_assert(it.statusLineOfRejection(
                    "POST / HTTP/1.1\r\n" + HOST_HEADER + "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk)
                  .starts_with("HTTP/1.1 413 "));
    cr_assert(it.exchanges.empty());
}

Test(event_server, incompleteHeadTimesOut)
{
    ServerFixture it({ .headerTimeout = Duration(50) });
    RawPeer caller(it.loop, it.address);
    caller.send("GET / HTTP/1.1\r\nHo");
    caller.awaitClose();
    cr_assert(caller.received().starts_with("HTTP/1.1 408 "));
}

Test(event_server, pipelinedRequestsAnsweredInOrder)
{
    ServerFixture it;
    RawPeer caller(it.loop, it.address);
    caller.send("GET /1 HTTP/1.1\r\n" + HOST_HEADER + "\r\nGET /2 HTTP/1.1\r\n" + HOST_HEADER + "\r\n");
    it.awaitExchange();
    it.loop.runPending();
    cr_assert(it.exchanges.size() == 1);
    it.sendResponse(1, "one");
    it.sendResponse(2, "two");
    caller.await("two");
    cr_assert(caller.received().find("one") < caller.received().find("two"));
}

// Guards against wasted work for callers that have disconnected: a disconnect must be reported within 500 ms, both
// while a request waits for its response and while a stream sends no data.
Test(event_server, callerDisconnectDetected)
{
    constexpr Duration MAX_DETECTION_TIME { 500 };
    for (const bool streaming : { false, true }) {
        ServerFixture it;
        RawPeer caller(it.loop, it.address);
        caller.send("GET / HTTP/1.1\r\n" + HOST_HEADER + "\r\n");
        Exchange& exchange = it.awaitExchange();
        RecordingExchangeObserver observer;
        exchange.setObserver(&observer);
        if (streaming) {
            exchange.sendHead({ .status = STATUS_OK }, std::nullopt);
            exchange.sendBodyData("data: 1\n\n");
            caller.await("data: 1");
        }
        const TimePoint disconnectedAt = it.loop.clock().now();
        caller.close();
        it.loop.runUntil([&] { return observer.disconnected; }, "the caller's disconnect is reported");
        cr_assert_lt(it.loop.clock().now() - disconnectedAt, MAX_DETECTION_TIME);
        cr_assert(it.server->openExchanges() == 0);
    }
}

// Guards against a truncated stream that looks complete: an aborted response must not send the final chunk.
Test(event_server, abortedStreamHasNoFinalChunk)
{
    ServerFixture it;
    RawPeer caller(it.loop, it.address);
    caller.send("GET / HTTP/1.1\r\n" + HOST_HEADER + "\r\n");
    Exchange& exchange = it.awaitExchange();
    exchange.sendHead({ .status = STATUS_OK }, std::nullopt);
    exchange.sendBodyData("half");
    caller.await("half");
    exchange.abort();
    caller.awaitClose();
    cr_assert(caller.received().find("Transfer-Encoding: chunked") != std::string::npos);
    cr_assert(caller.received().ends_with("4\r\nhalf\r\n"));
}

// Guards against unbounded buffering for a caller that reads slowly: the sender pauses at MAX_UNSENT_BYTES, and
// `onWritable` must be called only after the caller has read data.
Test(event_server, slowCallerPausesSender)
{
    // Outlives the server, which calls it until it is destroyed.
    RecordingExchangeObserver observer;
    ServerFixture it;
    constexpr int RECEIVE_BYTES = 128 * 1024;
    test::Tcp::socket slowCaller(it.loop.io(), test::Tcp::v4());
    slowCaller.set_option(boost::asio::socket_base::receive_buffer_size(RECEIVE_BYTES));
    slowCaller.connect({ boost::asio::ip::make_address(it.address.ip), it.address.port });
    boost::asio::write(slowCaller, boost::asio::buffer("GET / HTTP/1.1\r\n" + HOST_HEADER + "\r\n"));
    Exchange& exchange = it.awaitExchange();
    exchange.setObserver(&observer);
    exchange.sendHead({ .status = STATUS_OK }, std::nullopt);
    const std::string piece(1024UL * 1024, 'x');
    while (exchange.unsentBytes() < Exchange::MAX_UNSENT_BYTES) {
        exchange.sendBodyData(piece);
        it.loop.runPending();
    }
    // The first writes, which the socket buffers absorbed, may have triggered `onWritable`.
    observer.writable = false;
    it.loop.runPending();
    cr_assert_not(observer.writable);
    slowCaller.non_blocking(true);
    std::string buf(1024UL * 1024, '\0');
    it.loop.runUntil(
        [&] {
            boost::system::error_code ec;
            slowCaller.read_some(boost::asio::buffer(buf), ec);
            return observer.writable;
        },
        "the exchange becomes writable");
}

Test(event_server, closeAfterResponsesSendsConnectionClose)
{
    ServerFixture it;
    RawPeer caller(it.loop, it.address);
    caller.send("GET / HTTP/1.1\r\n" + HOST_HEADER + "\r\n");
    it.awaitExchange();
    it.server->closeAfterResponses();
    it.sendResponse(1, "last");
    caller.awaitClose();
    cr_assert(caller.received().find("Connection: close\r\n") != std::string::npos);
    cr_assert(caller.received().ends_with("last"));
}

Test(event_server, http10ResponseIsCloseDelimited)
{
    ServerFixture it;
    RawPeer caller(it.loop, it.address);
    caller.send("GET / HTTP/1.0\r\n\r\n");
    Exchange& exchange = it.awaitExchange();
    exchange.sendHead({ .status = STATUS_OK }, std::nullopt);
    exchange.sendBodyData("all");
    exchange.finish();
    caller.awaitClose();
    cr_assert(caller.received().find("chunked") == std::string::npos);
    cr_assert(caller.received().ends_with("all"));
}

// Guards against a part of a response that passes for the whole: without framing, the end of the connection is the end
// of the response.
Test(event_server, brokenOffHttp10ResponseResetsConnection)
{
    ServerFixture it;
    UnframedResponse response(it);
    it.exchanges.front()->abort();
    cr_assert(response.endOfConnection() == boost::asio::error::connection_reset);
}

// As above, for a server that ends.
Test(event_server, http10ResponseOfEndingServerResetsConnection)
{
    ServerFixture it;
    UnframedResponse response(it);
    it.server.reset();
    cr_assert(response.endOfConnection() == boost::asio::error::connection_reset);
}
