#include "hostfixture.h"

#include <list>

#include <criterion/criterion.h>

// Broken and unusual answers of an upstream, as a caller of a host gets them.
using namespace fireflyhaven;
using namespace fireflyhaven::test;

namespace {

// The largest body that a host takes.
constexpr std::size_t LARGE_BODY_BYTES = 4 * 1024 * 1024;
constexpr int SMALL_BUFFER_BYTES = 16 * 1024;
// A broken answer is a failure at once, and not when the time of the request is over.
constexpr Duration MAX_FAILURE_TIME { ROUTE_TIMEOUT / 2 };
const std::string HEAD = "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Attempt-Id: mine\r\n";

// A deployment whose upstreams are played by the test, with raw bytes. Of two hosts the first is cut off from them, and
// hands its requests to the other.
class RawUpstream {
public:
    explicit RawUpstream(std::size_t hosts = 1)
        : it(hosts, hosts)
    {
        it.configure(1);
        for (std::size_t n = 0; n < hosts; ++n)
            it.await([&] { return hasStatus(it.request(n, "/open/x"), STATUS_OK); }, "the host serves");
        if (hosts > 1) {
            it.awaitDiscovery();
            it.cutOffUntilHandedOver(0);
        }
        for (FakeUpstream& upstream : it.upstreams)
            listen(upstream);
    }

    // The answer to one order at the first host, with a body of this size. `play` gets the upstream's end of the
    // connection once its first bytes have arrived there.
    std::string answerTo(std::size_t bodyBytes, const std::function<void(RawPeer&)>& play)
    {
        RawPeer caller(it.loop, it.hosts[0].settings.frontend);
        caller.send("POST /order/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: mine\r\nConnection: close\r\nContent-Length: "
            + std::to_string(bodyBytes) + "\r\n\r\n");
        for (std::size_t sent = 0; sent < bodyBytes; sent += BLOCK_BYTES) {
            caller.send(std::string(std::min(BLOCK_BYTES, bodyBytes - sent), 'u'));
            it.loop.runPending();
        }
        it.loop.runUntil([&] { return !m_connections.empty(); }, "the host sends the request");
        const std::unique_ptr<RawPeer> upstream = std::move(m_connections.front());
        m_connections.clear();
        it.loop.runPending();
        const TimePoint sentAt = it.loop.clock().now();
        play(*upstream);
        caller.awaitClose();
        answeredAfter = it.loop.clock().now() - sentAt;
        return caller.received();
    }

    Deployment it;
    Duration answeredAfter {};

private:
    static constexpr std::size_t BLOCK_BYTES = 64 * 1024;

    // Takes the place of the upstream, whose connections end.
    void listen(FakeUpstream& upstream)
    {
        upstream.server.reset();
        it.loop.runPending();
        auto& acceptor = m_acceptors.emplace_back(it.loop.io(), http::test::Tcp::v4());
        acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        acceptor.set_option(boost::asio::socket_base::receive_buffer_size(SMALL_BUFFER_BYTES));
        acceptor.bind({ boost::asio::ip::make_address(upstream.address.ip), upstream.address.port });
        acceptor.listen();
        accept(acceptor);
    }
    void accept(http::test::Tcp::acceptor& acceptor)
    {
        acceptor.async_accept([this, &acceptor](boost::system::error_code ec, http::test::Tcp::socket socket) {
            if (ec)
                return;
            m_connections.push_back(std::make_unique<RawPeer>(it.loop, std::move(socket), http::test::PeerReads::No));
            accept(acceptor);
        });
    }

    std::list<http::test::Tcp::acceptor> m_acceptors;
    std::vector<std::unique_ptr<RawPeer>> m_connections;
};

void checkFailed(const RawUpstream& upstream, const std::string& answer, const std::string& what)
{
    cr_assert(hasStatus(answer, STATUS_BAD_GATEWAY), "%s: %s", what.c_str(), answer.c_str());
    cr_assert(answer.find("X-Server-Seal") == std::string::npos, "%s", what.c_str());
    cr_assert_lt(upstream.answeredAfter, MAX_FAILURE_TIME, "%s", what.c_str());
}

void checkDelivered(const std::string& answer, const std::string& what)
{
    cr_assert(hasStatus(answer, STATUS_OK), "%s: %s", what.c_str(), answer.c_str());
    cr_assert(answer.find("X-Server-Seal: seal\r\n") != std::string::npos && answer.ends_with("\r\n\r\nwhole"),
        "%s: %s", what.c_str(), answer.c_str());
}

}

// An upstream answers an upload early without a length and resets the connection: the caller gets no part as the whole.
Test(broken_answer, partOfAnswerToUploadIsNotDelivered)
{
    const std::string part = HEAD + "\r\npart";
    for (const bool atOnce : { true, false }) {
        RawUpstream upstream;
        const auto play = [&](RawPeer& it) {
            it.send(part);
            if (!atOnce)
                upstream.it.loop.runPending();
            it.reset();
        };
        checkFailed(upstream, upstream.answerTo(LARGE_BODY_BYTES, play), atOnce ? "at once" : "later");
    }
}

// Heads that cannot be read are failures at once, also where a readable answer follows.
Test(broken_answer, unreadableAnswerIsNotDelivered)
{
    const std::string whole = HEAD + "Content-Length: 5\r\n\r\nwhole";
    const std::string fields = "X-Server-Seal: seal\r\nX-Attempt-Id: mine\r\nContent-Length: 0\r\n\r\n";
    for (const std::string& bytes : { "HTTP/1.1 000 Odd\r\n" + fields, "HTTP/1.1 000 Odd\r\n" + fields + whole,
             "HTTP/1.1 099 Odd\r\n" + fields + whole, "HTTP/1.1 101 Odd\r\n" + fields + whole,
             "HTTP/1.1 600 Odd\r\n" + fields, "HTTP/1.1 999 Odd\r\n" + fields, "no HTTP\r\n\r\n" + whole,
             HEAD + "X Odd: 1\r\nContent-Length: 5\r\n\r\nwhole", HEAD + "Content-Length : 5\r\n\r\nwhole",
             HEAD + "X\x01Odd: 1\r\nContent-Length: 5\r\n\r\nwhole", HEAD + "Transfer-Encoding: odd\r\n\r\nwhole" }) {
        RawUpstream upstream;
        const std::string answer = upstream.answerTo(1, [&](RawPeer& it) {
            it.send(bytes);
            it.finishSending();
        });
        checkFailed(upstream, answer, bytes);
    }
}

Test(broken_answer, wholeAnswerIsDelivered)
{
    for (const std::string& bytes : { HEAD + "Content-Length: 5\r\n\r\nwhole",
             HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Trailer: t\r\n\r\n",
             "HTTP/1.1 103 Early Hints\r\nX-Hint: h\r\n\r\n" + HEAD + "Content-Length: 5\r\n\r\nwhole" }) {
        for (const std::size_t bodyBytes : { std::size_t(1), LARGE_BODY_BYTES }) {
            RawUpstream upstream;
            const auto play = [&](RawPeer& it) {
                it.send(bytes);
                it.reset();
            };
            checkDelivered(upstream.answerTo(bodyBytes, play), bytes);
        }
    }
    for (const std::size_t bodyBytes : { std::size_t(1), LARGE_BODY_BYTES }) {
        RawUpstream upstream;
        const auto play = [&](RawPeer& it) {
            it.send(HEAD + "\r\nwhole");
            it.finishSending();
            it.reset();
        };
        checkDelivered(upstream.answerTo(bodyBytes, play), "without a length");
    }
}

// As above, at a host that is cut off and hands its requests to another one.
Test(broken_answer, handedOverRequestGetsNoPart)
{
    const auto breakOff = [&](RawPeer& it) {
        it.send(HEAD + "\r\npart");
        it.reset();
    };
    RawUpstream upstream(2);
    checkFailed(upstream, upstream.answerTo(LARGE_BODY_BYTES, breakOff), "handed over");
}

Test(broken_answer, handedOverRequestGetsTheWhole)
{
    const auto endRegularly = [&](RawPeer& it) {
        it.send(HEAD + "\r\nwhole");
        it.finishSending();
        it.reset();
    };
    RawUpstream upstream(2);
    checkDelivered(upstream.answerTo(LARGE_BODY_BYTES, endRegularly), "handed over");
}
