#include "fireflyhaven/http/eventserver.h"

#include "fireflyhaven/http/types/status.h"
#include "loopfixture.h"

#include <memory>
#include <vector>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::http;
using fireflyhaven::http::test::Loop;
using fireflyhaven::http::test::RawPeer;

namespace {

class CallerWatch final : public IExchangeObserver {
public:
    void onCallerGone() override { gone = true; }
    void onWritable() override { writable = true; }

    bool gone = false;
    bool writable = false;
};

// A server on a free port that keeps each request for the test to answer.
class ServerUnderTest {
public:
    explicit ServerUnderTest(CallerLimits limits = {})
    {
        address = loop.freeEndpoint(test::ownIp());
        const EventServerOptions options { .listen = address, .limits = limits };
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
        loop.runUntil([&] { return exchanges.size() >= n; }, "a request is handed over");
        return *exchanges[n - 1];
    }
    void answer(std::size_t n, const std::string& body) { awaitExchange(n).answer({ .status = STATUS_OK }, body); }
    // Sends the text as a request; returns the first line of the answer that the server gives by itself.
    std::string refusalOf(const std::string& request)
    {
        RawPeer caller(loop, address);
        caller.send(request);
        caller.awaitEnd();
        return caller.received().substr(0, caller.received().find('\r'));
    }

    Loop loop;
    Endpoint address;
    std::unique_ptr<EventServer> server;
    std::vector<std::shared_ptr<Exchange>> exchanges;
};

const std::string HOST = "Host: h\r\n";

}

// Property (d): the target is neither decoded nor normalised, the body passes byte for byte.
Test(event_server, method_target_and_body_arrive_as_sent)
{
    ServerUnderTest it;
    RawPeer caller(it.loop, it.address);
    const std::string target = "/a%2Fb//c/../d%00%zz?x=1&&y=%2B+%20#";
    const std::string body("\0\r\n\r\nGET / HTTP/1.1\r\n\r\n\xff", 26);
    caller.send("PATCH " + target + " HTTP/1.1\r\n" + HOST
        + "X-Odd-CASE:  v \r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const Exchange& exchange = it.awaitExchange();
    cr_assert(exchange.head().method == "PATCH");
    cr_assert(exchange.head().target == target);
    cr_assert(*exchange.body() == body);
    cr_assert(*exchange.head().headers.find("x-odd-case") == "v");
    it.loop.settle();
    cr_assert(it.exchanges.size() == 1);
}

Test(event_server, a_chunked_body_is_joined)
{
    ServerUnderTest it;
    RawPeer caller(it.loop, it.address);
    caller.send("POST /x HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\n4;ext=1\r\nabcd\r\n");
    it.loop.settle();
    cr_assert(it.exchanges.empty());
    caller.send("2\r\nef\r\n0\r\nTrailer: t\r\n\r\n");
    cr_assert(*it.awaitExchange().body() == "abcdef");
}

// Property (e): what two readers might cut into requests in two ways is refused and its connection ended.
Test(event_server, ambiguous_lengths_are_refused)
{
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\n" + HOST + "\r\n";
    const std::vector<std::string> requests {
        "POST / HTTP/1.1\r\n" + HOST + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
        "POST / HTTP/1.1\r\n" + HOST + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd" + smuggled,
        "POST / HTTP/1.1\r\n" + HOST + "Content-Length: 4, 5\r\n\r\nabcd" + smuggled,
        "POST / HTTP/1.1\r\n" + HOST + "Content-Length: +4\r\n\r\nabcd" + smuggled,
        "POST / HTTP/1.1\r\n" + HOST + "Content-Length: -1\r\n\r\nabcd" + smuggled,
        "POST / HTTP/1.1\r\n" + HOST + "Content-Length : 4\r\n\r\nabcd" + smuggled,
        "POST / HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n" + smuggled,
        "POST / HTTP/1.1\r\n" + HOST + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + smuggled,
        "POST / HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n" + smuggled,
    };
    for (const std::string& request : requests) {
        ServerUnderTest it;
        const std::string line = it.refusalOf(request);
        cr_assert(line.starts_with("HTTP/1.1 400 "), "%s answered %s", request.c_str(), line.c_str());
        cr_assert(it.exchanges.empty(), "%s was handed over", request.c_str());
    }
}

Test(event_server, limits_are_enforced)
{
    ServerUnderTest it({ .maxHeaderBytes = 1024, .maxBodyBytes = 100 });
    const std::string longHeader = "X: " + std::string(2000, 'x') + "\r\n";
    cr_assert(it.refusalOf("GET / HTTP/1.1\r\n" + longHeader + "\r\n").starts_with("HTTP/1.1 431 "));
    cr_assert(it.refusalOf("POST / HTTP/1.1\r\n" + HOST + "Content-Length: 101\r\n\r\n").starts_with("HTTP/1.1 413 "));
    const std::string chunk = "64\r\n" + std::string(100, 'x') + "\r\n";
    cr_assert(it.refusalOf("POST / HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk)
                  .starts_with("HTTP/1.1 413 "));
    cr_assert(it.exchanges.empty());
}

Test(event_server, a_head_that_does_not_end_in_time_is_refused)
{
    ServerUnderTest it({ .headerTimeout = Duration(50) });
    RawPeer caller(it.loop, it.address);
    caller.send("GET / HTTP/1.1\r\nHo");
    caller.awaitEnd();
    cr_assert(caller.received().starts_with("HTTP/1.1 408 "));
}

Test(event_server, requests_on_one_connection_are_answered_in_turn)
{
    ServerUnderTest it;
    RawPeer caller(it.loop, it.address);
    caller.send("GET /1 HTTP/1.1\r\n" + HOST + "\r\nGET /2 HTTP/1.1\r\n" + HOST + "\r\n");
    it.awaitExchange();
    it.loop.settle();
    cr_assert(it.exchanges.size() == 1);
    it.answer(1, "one");
    it.answer(2, "two");
    caller.await("two");
    cr_assert(caller.received().find("one") < caller.received().find("two"));
}

// Property (c): a request that waits and a stream that is quiet are both told within half a second.
Test(event_server, a_caller_that_leaves_is_noticed_at_once)
{
    constexpr Duration BOUND { 500 };
    for (const bool streaming : { false, true }) {
        ServerUnderTest it;
        RawPeer caller(it.loop, it.address);
        caller.send("GET / HTTP/1.1\r\n" + HOST + "\r\n");
        Exchange& exchange = it.awaitExchange();
        CallerWatch watch;
        exchange.observe(&watch);
        if (streaming) {
            exchange.sendHead({ .status = STATUS_OK }, std::nullopt);
            exchange.sendPiece("data: 1\n\n");
            caller.await("data: 1");
        }
        const TimePoint left = it.loop.clock().now();
        caller.close();
        it.loop.runUntil([&] { return watch.gone; }, "the caller's leaving is told");
        cr_assert_lt(it.loop.clock().now() - left, BOUND);
        cr_assert(it.server->openExchanges() == 0);
    }
}

// Property (g): a stream that was broken off can't be taken for a complete one.
Test(event_server, an_aborted_stream_has_no_end)
{
    ServerUnderTest it;
    RawPeer caller(it.loop, it.address);
    caller.send("GET / HTTP/1.1\r\n" + HOST + "\r\n");
    Exchange& exchange = it.awaitExchange();
    exchange.sendHead({ .status = STATUS_OK }, std::nullopt);
    exchange.sendPiece("half");
    caller.await("half");
    exchange.abort();
    caller.awaitEnd();
    cr_assert(caller.received().find("Transfer-Encoding: chunked") != std::string::npos);
    cr_assert(caller.received().ends_with("4\r\nhalf\r\n"));
}

// Pattern: a caller that reads slowly. What waits for it is bounded by the sender, who is told when to go on.
Test(event_server, a_slow_reader_is_waited_for)
{
    ServerUnderTest it;
    constexpr int RECEIVE_BYTES = 128 * 1024;
    test::Tcp::socket slow(it.loop.io(), test::Tcp::v4());
    slow.set_option(boost::asio::socket_base::receive_buffer_size(RECEIVE_BYTES));
    slow.connect({ boost::asio::ip::make_address(it.address.ip), it.address.port });
    boost::asio::write(slow, boost::asio::buffer("GET / HTTP/1.1\r\n" + HOST + "\r\n"));
    Exchange& exchange = it.awaitExchange();
    CallerWatch watch;
    exchange.observe(&watch);
    exchange.sendHead({ .status = STATUS_OK }, std::nullopt);
    const std::string piece(1024UL * 1024, 'x');
    while (exchange.unsentBytes() < Exchange::MAX_UNSENT_BYTES) {
        exchange.sendPiece(piece);
        it.loop.settle();
    }
    // What the network's buffers took at first was told of too.
    watch.writable = false;
    it.loop.settle();
    cr_assert_not(watch.writable);
    slow.non_blocking(true);
    std::string buf(1024UL * 1024, '\0');
    it.loop.runUntil(
        [&] {
            boost::system::error_code ec;
            slow.read_some(boost::asio::buffer(buf), ec);
            return watch.writable;
        },
        "the sender may go on");
}

Test(event_server, after_a_shutdown_began_answers_close_their_connection)
{
    ServerUnderTest it;
    RawPeer caller(it.loop, it.address);
    caller.send("GET / HTTP/1.1\r\n" + HOST + "\r\n");
    it.awaitExchange();
    it.server->closeAfterAnswers();
    it.answer(1, "last");
    caller.awaitEnd();
    cr_assert(caller.received().find("Connection: close\r\n") != std::string::npos);
    cr_assert(caller.received().ends_with("last"));
}

Test(event_server, an_old_caller_gets_an_answer_that_ends_with_the_connection)
{
    ServerUnderTest it;
    RawPeer caller(it.loop, it.address);
    caller.send("GET / HTTP/1.0\r\n\r\n");
    Exchange& exchange = it.awaitExchange();
    exchange.sendHead({ .status = STATUS_OK }, std::nullopt);
    exchange.sendPiece("all");
    exchange.finish();
    caller.awaitEnd();
    cr_assert(caller.received().find("chunked") == std::string::npos);
    cr_assert(caller.received().ends_with("all"));
}
