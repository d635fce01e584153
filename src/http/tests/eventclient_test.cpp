#include "fireflyhaven/http/eventclient.h"

#include "loopfixture.h"

#include <memory>
#include <vector>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::http;
using fireflyhaven::http::test::Loop;
using fireflyhaven::http::test::RawPeer;

namespace {

class RecordedAnswer final : public IAnswerObserver {
public:
    HeadVerdict onHead(const ResponseHead& head) override
    {
        status = head.status;
        const bool skip = skipNext;
        skipNext = false;
        return skip ? HeadVerdict::Skip : HeadVerdict::Accept;
    }
    void onPiece(std::string_view piece) override { body += piece; }
    void onEnd() override { ++ends; }
    void onFailed(SendState state, const std::string& reason) override
    {
        ++failures;
        sendState = state;
        failure = reason;
    }
    bool isOver() const { return ends + failures > 0; }

    int status = 0;
    std::string body;
    int ends = 0;
    int failures = 0;
    SendState sendState = SendState::NothingSent;
    std::string failure;
    bool skipNext = false;
};

// A client, and an upstream that accepts connections and leaves all else to the test.
class ClientUnderTest {
public:
    ClientUnderTest()
        : client(EventClient::create(loop.io(), loop.clock()))
        , m_acceptor(loop.io(), { boost::asio::ip::make_address(test::ownIp()), 0 })
    {
        address = { .ip = test::ownIp(), .port = m_acceptor.local_endpoint().port() };
        accept();
    }

    std::unique_ptr<ClientCall> start(RecordedAnswer& answer, const std::string& target = "/", std::string body = {})
    {
        OutgoingRequest request { .head = { .method = body.empty() ? "GET" : "POST", .target = target },
            .body = std::make_shared<const std::string>(std::move(body)) };
        return client->start(address, std::move(request), answer);
    }
    RawPeer& awaitConnection(std::size_t n = 1)
    {
        loop.runUntil([&] { return connections.size() >= n; }, "a connection is made");
        return *connections[n - 1];
    }
    // The outcome of one call that is answered by these bytes; the upstream closes after them where told to.
    RecordedAnswer answeredWith(const std::string& bytes, bool closes)
    {
        RecordedAnswer answer;
        const std::size_t before = connections.size();
        const auto call = start(answer);
        RawPeer& upstream = awaitConnection(before + 1);
        upstream.await("\r\n\r\n");
        upstream.send(bytes);
        if (closes)
            upstream.close();
        loop.runUntil([&] { return answer.isOver(); }, "the call is over");
        return answer;
    }

    Loop loop;
    Endpoint address;
    std::unique_ptr<EventClient> client;
    std::vector<std::unique_ptr<RawPeer>> connections;

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, test::Tcp::socket socket) {
            if (ec)
                return;
            connections.push_back(std::make_unique<RawPeer>(loop, std::move(socket)));
            accept();
        });
    }

    test::Tcp::acceptor m_acceptor;
};

const std::string GOOD = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";

}

// Property (a): a request whose reused connection dies is not sent again, with and without a body.
Test(event_client, a_request_is_never_sent_twice)
{
    for (const std::string body : { "", "pay" }) {
        ClientUnderTest it;
        RecordedAnswer first;
        const auto firstCall = it.start(first, "/first");
        RawPeer& upstream = it.awaitConnection();
        upstream.await("\r\n\r\n");
        upstream.send(GOOD);
        it.loop.runUntil([&] { return first.isOver(); }, "the first call is over");
        RecordedAnswer second;
        const auto secondCall = it.start(second, "/second", body);
        upstream.await("/second");
        upstream.close();
        it.loop.runUntil([&] { return second.isOver(); }, "the second call is over");
        it.loop.settle();
        cr_assert(second.failures == 1 && second.sendState == SendState::MaybeReceived);
        cr_assert(it.connections.size() == 1, "the request went to a new connection");
        cr_assert(upstream.count("/second") == 1);
    }
}

// Property (b): nothing of the request left the host where no connection came about.
Test(event_client, a_refused_connection_has_sent_nothing)
{
    ClientUnderTest it;
    it.address = it.loop.freeEndpoint(test::ownIp());
    RecordedAnswer answer;
    const auto call = it.start(answer);
    it.loop.runUntil([&] { return answer.isOver(); }, "the call is over");
    cr_assert(answer.failures == 1 && answer.sendState == SendState::NothingSent);
    cr_assert_not(call->anythingSent());
}

// Property (f): what is no whole answer, or more than one, is not passed for an answer.
Test(event_client, answers_that_are_no_whole_answers_fail)
{
    const std::vector<std::string> cut {
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsho",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "",
    };
    for (const std::string& bytes : cut) {
        ClientUnderTest it;
        const RecordedAnswer answer = it.answeredWith(bytes, true);
        cr_assert(answer.failures == 1 && answer.ends == 0, "%s", bytes.c_str());
        cr_assert(answer.sendState == SendState::MaybeReceived);
    }
    const std::vector<std::string> malformed {
        "this is not HTTP at all\r\n\r\n",
        "HTTP/1.1 2000 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ngood",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\ngood\r\n0\r\n\r\n",
    };
    for (const std::string& bytes : malformed) {
        ClientUnderTest it;
        const RecordedAnswer answer = it.answeredWith(bytes, false);
        cr_assert(answer.failures == 1 && answer.ends == 0, "%s", bytes.c_str());
        cr_assert(it.client->idleConnectionsTo(it.address) == 0);
    }
}

Test(event_client, an_answer_without_a_length_ends_with_its_connection_but_not_with_a_reset)
{
    const std::string bytes = "HTTP/1.1 200 OK\r\n\r\nas far as it goes";
    ClientUnderTest closed;
    const RecordedAnswer whole = closed.answeredWith(bytes, true);
    cr_assert(whole.ends == 1 && whole.body == "as far as it goes");
    ClientUnderTest reset;
    RecordedAnswer answer;
    const auto call = reset.start(answer);
    RawPeer& upstream = reset.awaitConnection();
    upstream.await("\r\n\r\n");
    upstream.send(bytes);
    reset.loop.runUntil([&] { return answer.body == "as far as it goes"; }, "the body arrives");
    upstream.reset();
    reset.loop.runUntil([&] { return answer.isOver(); }, "the call is over");
    cr_assert(answer.ends == 0 && answer.failures == 1);
}

Test(event_client, a_connection_that_answers_twice_is_not_used_again)
{
    ClientUnderTest it;
    const RecordedAnswer answer = it.answeredWith(GOOD + GOOD, false);
    cr_assert(answer.ends == 1 && answer.body == "good");
    it.loop.settle();
    cr_assert(it.client->idleConnectionsTo(it.address) == 0);
    cr_assert(it.client->connectionsTo(it.address) == 0);
}

Test(event_client, bytes_on_an_idle_connection_end_it)
{
    ClientUnderTest it;
    cr_assert(it.answeredWith(GOOD, false).ends == 1);
    cr_assert(it.client->idleConnectionsTo(it.address) == 1);
    it.connections.front()->send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
    it.loop.runUntil([&] { return it.client->idleConnectionsTo(it.address) == 0; }, "the connection is given up");
    RecordedAnswer next;
    const auto call = it.start(next, "/next");
    RawPeer& upstream = it.awaitConnection(2);
    upstream.await("/next");
    upstream.send(GOOD);
    it.loop.runUntil([&] { return next.isOver(); }, "the next call is over");
    cr_assert(next.body == "good");
}

Test(event_client, a_foreign_answer_is_skipped)
{
    ClientUnderTest it;
    RecordedAnswer answer;
    answer.skipNext = true;
    const auto call = it.start(answer);
    RawPeer& upstream = it.awaitConnection();
    upstream.await("\r\n\r\n");
    upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother" + GOOD);
    it.loop.runUntil([&] { return answer.isOver(); }, "the call is over");
    cr_assert(answer.ends == 1 && answer.body == "good");
    it.loop.settle();
    cr_assert(it.client->connectionsTo(it.address) == 0, "the connection is not used again");
}

Test(event_client, connections_are_used_again)
{
    ClientUnderTest it;
    cr_assert(it.answeredWith(GOOD, false).ends == 1);
    for (int n = 0; n < 3; ++n) {
        RecordedAnswer answer;
        const auto call = it.start(answer, "/" + std::to_string(n));
        RawPeer& upstream = *it.connections.front();
        upstream.await("/" + std::to_string(n) + " ");
        upstream.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
        it.loop.runUntil([&] { return answer.isOver(); }, "the call is over");
        cr_assert(answer.body == "abc");
    }
    cr_assert(it.client->connectionsOpened() == 1);
}

Test(event_client, a_cancelled_call_ends_its_connection_and_is_not_told_of_anything)
{
    ClientUnderTest it;
    RecordedAnswer answer;
    auto call = it.start(answer);
    RawPeer& upstream = it.awaitConnection();
    upstream.await("\r\n\r\n");
    upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
    it.loop.runUntil([&] { return answer.body == "part"; }, "a part arrives");
    call.reset();
    upstream.awaitEnd();
    cr_assert_not(answer.isOver());
}

// Pattern: the caller reads slowly, so that its upstream must be slowed down.
Test(event_client, a_paused_call_reads_nothing)
{
    constexpr std::size_t PAUSED_BYTES = 200'000;
    ClientUnderTest it;
    RecordedAnswer answer;
    const auto call = it.start(answer);
    RawPeer& upstream = it.awaitConnection();
    upstream.await("\r\n\r\n");
    upstream.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(4 + PAUSED_BYTES) + "\r\n\r\nfour");
    it.loop.runUntil([&] { return answer.body == "four"; }, "a part arrives");
    call->pause();
    it.loop.settle();
    const std::size_t before = answer.body.size();
    upstream.send(std::string(PAUSED_BYTES, 'x'));
    it.loop.settle();
    // One read may have been under way when the call was paused.
    cr_assert(answer.body.size() - before < PAUSED_BYTES / 2);
    call->resume();
    it.loop.runUntil([&] { return answer.isOver(); }, "the call is over");
    cr_assert(answer.ends == 1 && answer.body.size() == before + PAUSED_BYTES);
}
