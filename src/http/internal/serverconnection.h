#pragma once

#include "fireflyhaven/http/eventserver.h"
#include "messageparser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <deque>

namespace fireflyhaven::http {

class ServerConnection;

// One request on a connection. May outlive the connection while the handler holds a reference.
class ServerExchange final : public Exchange {
public:
    ServerExchange(
        std::weak_ptr<ServerConnection> connection, RequestHead head, std::string body, std::string peer, bool http10);

    const RequestHead& head() const override { return m_head; }
    std::shared_ptr<const std::string> body() const override { return m_body; }
    const std::string& peer() const override { return m_peer; }
    void setObserver(IExchangeObserver* observer) override { m_observer = observer; }
    void sendHead(const ResponseHead& head, std::optional<std::uint64_t> bodyBytes) override;
    void sendBodyData(std::string_view piece) override;
    void finish() override;
    void abort() override;
    std::size_t unsentBytes() const override;
    bool hasCallerLeft() const override;

    // Called by the connection when it is closed. Later calls on this exchange have no effect.
    void notifyCallerDisconnected();
    void notifyWritable();

private:
    std::weak_ptr<ServerConnection> m_connection;
    RequestHead m_head;
    std::shared_ptr<const std::string> m_body;
    std::string m_peer;
    IExchangeObserver* m_observer = nullptr;
    bool m_http10 = false;
    bool m_chunked = false;
    bool m_closeDelimited = false;
    bool m_ended = false;
};

// State shared by all connections of one server.
struct ServerContext {
    const IClock& clock;
    RequestLimits limits;
    ExchangeHandler handler;
    // Null where the memory is not limited.
    std::shared_ptr<MemoryBudget> memory;
    bool closeAfterResponses = false;
    std::size_t openExchanges = 0;
    // When a rejection was last logged, and how many were not logged since.
    TimePoint rejectionLoggedAt {};
    std::uint64_t unloggedRejections = 0;
};

// One accepted connection: processes its requests one at a time.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>, private IMemoryHolder {
public:
    using Tcp = boost::asio::ip::tcp;

    ServerConnection(Tcp::socket socket, std::shared_ptr<ServerContext> context);
    ServerConnection(const ServerConnection&) = delete;
    ServerConnection& operator=(const ServerConnection&) = delete;
    ~ServerConnection() override;

    void start();
    // Closes the connection if the timeout of its current state has expired.
    void enforceTimeouts();
    void closeIfIdle();
    bool isClosed() const { return m_state == State::Closed; }
    void close();

private:
    friend class ServerExchange;

    enum class State {
        // Between requests, or within the head of a request.
        ReadingHead,
        ReadingBody,
        Responding,
        // The last response is being flushed; further data from the caller is discarded.
        Lingering,
        Closed,
    };

    void read();
    void onRead(IoErrorCode ec, std::size_t n);
    void parse();
    bool processCompleteRequests();
    void reject(int status);
    void logRejection(int status);
    // Whether the caller leaves so much of its answers unread that no further request of it begins.
    bool isAnswerUnread() const { return m_unsentBytes >= Exchange::MAX_UNSENT_BYTES; }
    // Tells the budget what this connection holds.
    void reportMemory();
    void refuseIncomplete() override;
    void endUnsent() override;
    void dispatch();
    // What waits at the socket that no handler has read yet: nothing, bytes, or the end of the connection.
    enum class Unread { Nothing, Bytes, End };
    Unread unread();
    // Whether the caller has closed the connection behind its request.
    bool hasEnded();
    void write(std::string data);
    void flush();
    void onWritten(IoErrorCode ec, std::size_t n);
    void endResponse(bool keepAlive);
    void linger();
    void parseNext();
    void freeBuffers();
    Duration currentTimeout() const;

    Tcp::socket m_socket;
    std::shared_ptr<ServerContext> m_context;
    std::string m_peer;
    boost::beast::flat_buffer m_buffer;
    std::optional<RequestParser> m_parser;
    std::shared_ptr<ServerExchange> m_exchange;
    // Memory that the request of the exchange holds.
    std::size_t m_requestBytes = 0;
    std::deque<std::string> m_unsent;
    std::size_t m_unsentBytes = 0;
    // The end of the response in progress, or of the last one, is the end of the connection.
    bool m_closeDelimitedResponse = false;
    std::size_t m_buffersInWrite = 0;
    State m_state = State::ReadingHead;
    TimePoint m_lastProgress {};
    bool m_reading = false;
    bool m_closeAfterFlush = false;
};

}
