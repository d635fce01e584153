#pragma once

#include "fireflyhaven/http/eventclient.h"
#include "messageparser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace fireflyhaven::http {

class ClientConnection;

// Told when a connection can be used again or is gone.
class IConnectionOwner {
public:
    virtual ~IConnectionOwner() = default;
    virtual void onIdle(const std::shared_ptr<ClientConnection>& connection) = 0;
    virtual void onClosed(const std::shared_ptr<ClientConnection>& connection) = 0;
};

// One connection to a peer; carries one request at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    using Tcp = boost::asio::ip::tcp;

    ClientConnection(
        boost::asio::io_context& loop, const IClock& clock, Endpoint peer, const EventClientOptions& options);

    void setOwner(IConnectionOwner* owner) { m_owner = owner; }
    const Endpoint& peer() const { return m_peer; }
    // Connects first where the connection is new.
    void send(OutgoingRequest request, IAnswerObserver& observer);
    // The call was given up; the connection is closed.
    void cancel();
    void pause();
    void resume();
    bool anythingSent() const { return m_sentBytes > 0; }
    void close();
    Duration idleFor(TimePoint now) const { return now - m_idleSince; }
    bool isExpired(TimePoint now) const { return idleFor(now) >= m_idleLimit; }

private:
    enum class State { New, Connecting, Idle, Busy, Closed };

    void connect(Duration timeout);
    void onConnected(ErrorCodeOfIo ec);
    void beginRequest();
    void writeSome();
    void onWritten(ErrorCodeOfIo ec, std::size_t n);
    void read();
    void onRead(ErrorCodeOfIo ec, std::size_t n);
    void parse();
    void newParser();
    void onParsedHead(const ResponseHead& head);
    void finishAnswer();
    void noteKeepAlive(const ResponseHead& head);
    void fail(const std::string& reason);
    SendState sendState() const { return m_sentBytes > 0 ? SendState::MaybeReceived : SendState::NothingSent; }
    bool isRequestWritten() const { return m_sentBytes == m_headBytes.size() + bodySize(); }
    std::size_t bodySize() const { return m_request.body ? m_request.body->size() : 0; }

    const IClock& m_clock;
    const Endpoint m_peer;
    const EventClientOptions& m_options;
    Tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    IConnectionOwner* m_owner = nullptr;
    IAnswerObserver* m_observer = nullptr;
    OutgoingRequest m_request;
    std::string m_headBytes;
    std::size_t m_sentBytes = 0;
    boost::beast::flat_buffer m_buffer;
    std::optional<ResponseParser> m_parser;
    State m_state = State::New;
    TimePoint m_idleSince {};
    Duration m_idleLimit {};
    bool m_reading = false;
    bool m_paused = false;
    // The answer under way is for another request.
    bool m_skipping = false;
    // The connection is closed after this answer.
    bool m_lastAnswer = false;
};

}
