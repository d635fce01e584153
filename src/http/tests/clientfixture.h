#pragma once

#include "fireflyhaven/http/eventclient.h"

#include "loopfixture.h"

#include <memory>
#include <vector>

// A client with an upstream that is played by the test.
namespace fireflyhaven::http::test {

class RecordingResponseObserver final : public IResponseObserver {
public:
    HeadVerdict onHead(const ResponseHead& head) override
    {
        status = head.status;
        const bool skip = skipNext;
        skipNext = false;
        return skip ? HeadVerdict::Skip : HeadVerdict::Accept;
    }
    void onBodyData(std::string_view piece) override { body += piece; }
    void onComplete() override { ++completions; }
    void onFailed(SendState state, const std::string& reason) override
    {
        ++failures;
        sendState = state;
        failureReason = reason;
    }
    bool isDone() const { return completions + failures > 0; }

    int status = 0;
    std::string body;
    int completions = 0;
    int failures = 0;
    SendState sendState = SendState::NothingSent;
    std::string failureReason;
    bool skipNext = false;
};

// A client, and an upstream that accepts connections and leaves the responses to the test.
class ClientFixture {
public:
    // An upstream that does not read has a small receive buffer, so that a large request does not fit into it.
    explicit ClientFixture(PeerReads upstreamReads = PeerReads::Yes)
        : client(EventClient::create(loop.io(), loop.clock()))
        , m_acceptor(loop.io(), { boost::asio::ip::make_address(uniqueLoopbackIp()), 0 })
        , m_upstreamReads(upstreamReads)
    {
        constexpr int SMALL_BUFFER_BYTES = 16 * 1024;
        if (upstreamReads == PeerReads::No)
            m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(SMALL_BUFFER_BYTES));
        address = { .ip = uniqueLoopbackIp(), .port = m_acceptor.local_endpoint().port() };
        accept();
    }

    std::unique_ptr<ClientCall> start(
        RecordingResponseObserver& response, const std::string& target = "/", std::string body = {})
    {
        OutgoingRequest request { .head = { .method = body.empty() ? "GET" : "POST", .target = target },
            .body = std::make_shared<const std::string>(std::move(body)) };
        return client->start(address, std::move(request), response);
    }
    RawPeer& awaitConnection(std::size_t n = 1)
    {
        loop.runUntil([&] { return connections.size() >= n; }, "a connection is accepted");
        return *connections[n - 1];
    }
    // Performs one call on a new connection. The upstream responds with `bytes`.
    RecordingResponseObserver callWithResponse(const std::string& bytes, bool closeAfterResponse)
    {
        RecordingResponseObserver response;
        const std::size_t before = connections.size();
        const auto call = start(response);
        RawPeer& upstream = awaitConnection(before + 1);
        upstream.await("\r\n\r\n");
        upstream.send(bytes);
        if (closeAfterResponse)
            upstream.close();
        loop.runUntil([&] { return response.isDone(); }, "the call is over");
        return response;
    }

    EventLoop loop;
    Endpoint address;
    std::unique_ptr<EventClient> client;
    std::vector<std::unique_ptr<RawPeer>> connections;

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, Tcp::socket socket) {
            if (ec)
                return;
            connections.push_back(std::make_unique<RawPeer>(loop, std::move(socket), m_upstreamReads));
            accept();
        });
    }

    Tcp::acceptor m_acceptor;
    const PeerReads m_upstreamReads;
};

}
