#pragma once

#include "fireflyhaven/http/eventclient.h"
#include "messageparser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace fireflyhaven::http {

class ClientConnection;

// Receives notice when a connection becomes reusable or is closed.
class IConnectionOwner {
public:
    virtual ~IConnectionOwner() = default;
    virtual void onIdle(const std::shared_ptr<ClientConnection>& connection) = 0;
    virtual void onClosed(const std::shared_ptr<ClientConnection>& connection) = 0;
};

// One connection to a peer, with at most one request in progress.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    using Tcp = boost::asio::ip::tcp;

    ClientConnection(
        boost::asio::io_context& loop, const IClock& clock, Endpoint peer, const EventClientOptions& options);

    void setOwner(IConnectionOwner* owner) { m_owner = owner; }
    const Endpoint& peer() const { return m_peer; }
    // Connects first if the connection is new.
    void send(OutgoingRequest request, IResponseObserver& observer);
    // Closes the connection without a call to the observer.
    void cancel();
    void pause();
    void resume();
    // Whether bytes of the request may have left.
    bool anythingSent() const { return m_sentBytes > 0; }
    // Whether an idle connection has neither ended nor received anything. It may have, although no handler has run yet.
    bool isQuiet();
    void close();
    Duration idleFor(TimePoint now) const { return now - m_idleSince; }
    bool isExpired(TimePoint now) const { return idleFor(now) >= m_idleTimeout; }

private:
    enum class State { New, Connecting, Idle, Busy, Closed };

    void connect(Duration timeout);
    void onConnected(IoErrorCode ec);
    void beginRequest();
    // Writes what the socket takes at once; waits if that is not all.
    void writeSome();
    void awaitWritable();
    void onWritable();
    void read();
    void onRead(IoErrorCode ec, std::size_t n);
    void parse();
    void resetParser();
    void onParsedHead(const ResponseHead& head);
    void finishResponse();
    void applyKeepAlive(const ResponseHead& head);
    void fail(const std::string& reason);
    SendState sendState() const { return anythingSent() ? SendState::MaybeReceived : SendState::NothingSent; }
    bool isRequestWritten() const { return m_sentBytes == m_serializedHead.size() + bodySize(); }
    std::size_t bodySize() const { return m_request.body ? m_request.body->size() : 0; }

    const IClock& m_clock;
    const Endpoint m_peer;
    const EventClientOptions& m_options;
    Tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    IConnectionOwner* m_owner = nullptr;
    IResponseObserver* m_observer = nullptr;
    OutgoingRequest m_request;
    std::string m_serializedHead;
    std::size_t m_sentBytes = 0;
    // A failure of the connection that a write has reported in place of a read.
    IoErrorCode m_writeError;
    // Received since the request was begun and not passed on as part of the response's body.
    std::size_t m_bytesBesideBody = 0;
    boost::beast::flat_buffer m_buffer;
    std::optional<ResponseParser> m_parser;
    State m_state = State::New;
    TimePoint m_idleSince {};
    Duration m_idleTimeout {};
    bool m_reading = false;
    bool m_paused = false;
    // The current response is interim (1xx) or belongs to another request, and is discarded.
    bool m_discardingResponse = false;
    // The connection is closed after the current response.
    bool m_closeAfterResponse = false;
};

}
