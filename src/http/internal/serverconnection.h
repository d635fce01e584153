#pragma once

#include "fireflyhaven/http/eventserver.h"
#include "messageparser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <deque>

namespace fireflyhaven::http {

class ServerConnection;

// One request on a connection. Outlives the connection where its handler still holds it.
class ServerExchange final : public Exchange {
public:
    ServerExchange(
        std::weak_ptr<ServerConnection> connection, RequestHead head, std::string body, std::string peer, bool http10);

    const RequestHead& head() const override { return m_head; }
    std::shared_ptr<const std::string> body() const override { return m_body; }
    const std::string& peer() const override { return m_peer; }
    void observe(IExchangeObserver* observer) override { m_observer = observer; }
    void sendHead(const ResponseHead& head, std::optional<std::uint64_t> bodyBytes) override;
    void sendPiece(std::string_view piece) override;
    void finish() override;
    void abort() override;
    std::size_t unsentBytes() const override;

    // Called by the connection; later calls on this exchange have no effect.
    void callerGone();
    void writable();

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

// What the connections of one server share.
struct ServerShared {
    const IClock& clock;
    CallerLimits limits;
    ExchangeHandler handler;
    bool closeAfterAnswers = false;
    std::size_t openExchanges = 0;
};

// One accepted connection: reads requests one after the other and writes their answers.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    using Tcp = boost::asio::ip::tcp;

    ServerConnection(Tcp::socket socket, std::shared_ptr<ServerShared> shared);

    void start();
    // Closes the connection where a time limit has passed.
    void enforceTimeouts();
    void closeIfIdle();
    bool isClosed() const { return m_state == State::Closed; }
    void close();

private:
    friend class ServerExchange;

    enum class State {
        // Between requests, or within the head of one.
        ReadingHead,
        ReadingBody,
        Answering,
        // The last answer is being flushed; what the caller still sends is discarded.
        Lingering,
        Closed,
    };

    void read();
    void onRead(ErrorCodeOfIo ec, std::size_t n);
    void parse();
    bool takeWhatIsComplete();
    void refuse(int status);
    void dispatch();
    void write(std::string data);
    void flush();
    void onWritten(ErrorCodeOfIo ec, std::size_t n);
    void endAnswer(bool keepOpen);
    void linger();
    Duration timeoutOfState() const;

    Tcp::socket m_socket;
    std::shared_ptr<ServerShared> m_shared;
    std::string m_peer;
    boost::beast::flat_buffer m_buffer;
    std::optional<RequestParser> m_parser;
    std::shared_ptr<ServerExchange> m_exchange;
    std::deque<std::string> m_unsent;
    std::size_t m_unsentBytes = 0;
    std::size_t m_beingWritten = 0;
    State m_state = State::ReadingHead;
    TimePoint m_lastProgress {};
    bool m_reading = false;
    bool m_closeWhenFlushed = false;
};

}
