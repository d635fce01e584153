#include "serverconnection.h"

#include "fireflyhaven/http/types/status.h"
#include "socketoptions.h"

#include <boost/asio/buffer.hpp>
#include <spdlog/spdlog.h>

#include <charconv>

namespace fireflyhaven::http {

namespace {

constexpr std::size_t READ_BYTES = 8 * 1024;
// Bytes of later requests that are read ahead, so that a caller's departure is noticed behind them.
constexpr std::size_t MAX_READ_AHEAD_BYTES = 64 * 1024;
constexpr std::size_t MAX_BUFFERS_A_WRITE = 16;
constexpr Duration LINGER_TIMEOUT { 1000 };
// A caller whose machine vanished is noticed after this time without an acknowledgement.
constexpr Duration CALLER_USER_TIMEOUT { 4000 };

std::string chunkOf(std::string_view piece)
{
    std::array<char, 16> digits {};
    const auto [end, ec] = std::to_chars(digits.data(), digits.data() + digits.size(), piece.size(), 16);
    std::string out(digits.data(), end);
    return out.append("\r\n").append(piece).append("\r\n");
}

}

void Exchange::answer(const ResponseHead& head, std::string_view body)
{
    sendHead(head, body.size());
    if (!body.empty())
        sendPiece(body);
    finish();
}

ServerExchange::ServerExchange(
    std::weak_ptr<ServerConnection> connection, RequestHead head, std::string body, std::string peer, bool http10)
    : m_connection(std::move(connection))
    , m_head(std::move(head))
    , m_body(std::make_shared<const std::string>(std::move(body)))
    , m_peer(std::move(peer))
    , m_http10(http10)
{
}

void ServerExchange::sendHead(const ResponseHead& head, std::optional<std::uint64_t> bodyBytes)
{
    const auto connection = m_connection.lock();
    if (!connection || m_ended)
        return;
    m_closeDelimited = m_http10 && !bodyBytes;
    m_chunked = !bodyBytes && !m_http10;
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + " ";
    out.append(head.reason.empty() ? reasonPhrase(head.status) : head.reason).append("\r\n");
    for (const HeaderField& it : head.headers.fields())
        out.append(it.name).append(": ").append(it.value).append("\r\n");
    if (bodyBytes)
        out.append("Content-Length: ").append(std::to_string(*bodyBytes)).append("\r\n");
    if (m_chunked)
        out.append("Transfer-Encoding: chunked\r\n");
    const std::string* wish = m_head.headers.find("connection");
    const bool callerCloses = wish && equalsIgnoringCase(*wish, "close");
    if (connection->m_shared->closeAfterAnswers || callerCloses || m_http10) {
        connection->m_closeWhenFlushed = true;
        out.append("Connection: close\r\n");
    }
    connection->write(out.append("\r\n"));
}

void ServerExchange::sendPiece(std::string_view piece)
{
    const auto connection = m_connection.lock();
    if (!connection || m_ended || piece.empty())
        return;
    connection->write(m_chunked ? chunkOf(piece) : std::string(piece));
}

void ServerExchange::finish()
{
    const auto connection = m_connection.lock();
    if (!connection || m_ended)
        return;
    m_ended = true;
    m_observer = nullptr;
    if (m_chunked)
        connection->write("0\r\n\r\n");
    connection->endAnswer(!m_closeDelimited);
}

void ServerExchange::abort()
{
    const auto connection = m_connection.lock();
    if (!connection || m_ended)
        return;
    m_ended = true;
    m_observer = nullptr;
    connection->close();
}

std::size_t ServerExchange::unsentBytes() const
{
    const auto connection = m_connection.lock();
    return connection ? connection->m_unsentBytes : 0;
}

void ServerExchange::callerGone()
{
    m_ended = true;
    if (IExchangeObserver* observer = std::exchange(m_observer, nullptr))
        observer->onCallerGone();
}

void ServerExchange::writable()
{
    if (m_observer)
        m_observer->onWritable();
}

ServerConnection::ServerConnection(Tcp::socket socket, std::shared_ptr<ServerShared> shared)
    : m_socket(std::move(socket))
    , m_shared(std::move(shared))
    , m_lastProgress(m_shared->clock.now())
{
}

void ServerConnection::start()
{
    ErrorCodeOfIo ec;
    const auto remote = m_socket.remote_endpoint(ec);
    if (ec)
        return close();
    m_peer = remote.address().to_string() + ":" + std::to_string(remote.port());
    setSocketOptions(m_socket.native_handle(), CALLER_USER_TIMEOUT);
    read();
}

void ServerConnection::read()
{
    if (m_reading || m_state == State::Closed)
        return;
    const bool readAheadFull = m_state == State::Answering && m_buffer.size() >= MAX_READ_AHEAD_BYTES;
    if (readAheadFull)
        return;
    m_reading = true;
    m_socket.async_read_some(m_buffer.prepare(READ_BYTES),
        [self = shared_from_this()](ErrorCodeOfIo ec, std::size_t n) { self->onRead(ec, n); });
}

void ServerConnection::onRead(ErrorCodeOfIo ec, std::size_t n)
{
    m_reading = false;
    if (m_state == State::Closed)
        return;
    if (ec)
        return close();
    m_buffer.commit(n);
    if (m_state == State::Lingering)
        m_buffer.consume(m_buffer.size());
    // An idle connection turns into one that is receiving a request with the first byte.
    const bool requestBegins = m_state == State::ReadingHead && !m_parser;
    if (requestBegins || m_state == State::ReadingBody)
        m_lastProgress = m_shared->clock.now();
    if (m_state == State::ReadingHead || m_state == State::ReadingBody)
        parse();
    read();
}

void ServerConnection::parse()
{
    if (!m_parser) {
        m_parser.emplace(m_shared->limits.maxHeaderBytes, m_shared->limits.maxBodyBytes);
        m_state = State::ReadingHead;
    }
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        ErrorCodeOfIo ec;
        const std::size_t n = m_parser->put(m_buffer.data(), ec);
        m_buffer.consume(n);
        if (ec == boost::beast::http::error::need_more)
            break;
        if (ec == boost::beast::http::error::header_limit)
            return refuse(STATUS_TOO_MANY_HEADERS);
        if (ec == boost::beast::http::error::body_limit)
            return refuse(STATUS_TOO_LARGE);
        if (ec)
            return refuse(STATUS_BAD_REQUEST);
    }
    if (m_parser->is_done())
        return dispatch();
    if (m_state == State::ReadingHead && m_parser->is_header_done()) {
        m_state = State::ReadingBody;
        m_lastProgress = m_shared->clock.now();
        if (m_parser->expectsContinue())
            write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void ServerConnection::refuse(int status)
{
    spdlog::info("caller {} sent a request that was refused with {}", m_peer, status);
    m_parser.reset();
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out.append(reasonPhrase(status)).append("\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    write(std::move(out));
    endAnswer(false);
}

void ServerConnection::dispatch()
{
    const auto self = shared_from_this();
    const bool http10 = m_parser->isHttp10();
    m_exchange = std::make_shared<ServerExchange>(
        self, std::move(m_parser->head()), std::move(m_parser->body()), m_peer, http10);
    m_parser.reset();
    m_state = State::Answering;
    m_lastProgress = m_shared->clock.now();
    ++m_shared->openExchanges;
    m_shared->handler(m_exchange);
}

void ServerConnection::write(std::string data)
{
    if (m_state == State::Closed)
        return;
    m_unsentBytes += data.size();
    m_unsent.push_back(std::move(data));
    flush();
}

void ServerConnection::flush()
{
    if (m_beingWritten > 0 || m_unsent.empty() || m_state == State::Closed)
        return;
    std::vector<boost::asio::const_buffer> buffers;
    for (std::size_t n = 0; n < std::min(m_unsent.size(), MAX_BUFFERS_A_WRITE); ++n)
        buffers.emplace_back(m_unsent[n].data(), m_unsent[n].size());
    m_beingWritten = buffers.size();
    m_lastProgress = m_shared->clock.now();
    m_socket.async_write_some(
        buffers, [self = shared_from_this()](ErrorCodeOfIo ec, std::size_t n) { self->onWritten(ec, n); });
}

void ServerConnection::onWritten(ErrorCodeOfIo ec, std::size_t n)
{
    m_beingWritten = 0;
    if (m_state == State::Closed)
        return;
    if (ec)
        return close();
    const bool wasFull = m_unsentBytes >= Exchange::MAX_UNSENT_BYTES;
    m_unsentBytes -= n;
    while (n > 0) {
        std::string& first = m_unsent.front();
        if (n < first.size()) {
            first.erase(0, n);
            break;
        }
        n -= first.size();
        m_unsent.pop_front();
    }
    flush();
    if (wasFull && m_unsentBytes < Exchange::MAX_UNSENT_BYTES && m_exchange)
        m_exchange->writable();
    if (m_state == State::Lingering && m_unsent.empty())
        linger();
}

void ServerConnection::endAnswer(bool keepOpen)
{
    if (m_exchange)
        --m_shared->openExchanges;
    m_exchange.reset();
    m_lastProgress = m_shared->clock.now();
    if (!keepOpen || m_closeWhenFlushed) {
        m_state = State::Lingering;
        if (m_unsent.empty())
            linger();
        read();
        return;
    }
    m_state = State::ReadingHead;
    // The next request may be in the buffer already; it is taken up from the event loop, not from within the handler.
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_state == State::ReadingHead && self->m_buffer.size() > 0)
            self->parse();
        self->read();
    });
}

// Closes the sending side first: a close with unread bytes would reset the connection and lose the answer.
void ServerConnection::linger()
{
    ErrorCodeOfIo ec;
    m_socket.shutdown(Tcp::socket::shutdown_send, ec);
    m_buffer.consume(m_buffer.size());
    if (ec)
        close();
}

Duration ServerConnection::timeoutOfState() const
{
    if (m_state == State::Lingering)
        return LINGER_TIMEOUT;
    const bool receivingHead = m_state == State::ReadingHead && m_parser;
    return receivingHead ? m_shared->limits.headerTimeout : m_shared->limits.idleTimeout;
}

void ServerConnection::enforceTimeouts()
{
    // An upstream that takes its time is bounded by the request's own deadline.
    const bool waitsForAnswer = m_state == State::Answering && m_unsent.empty();
    if (m_state == State::Closed || waitsForAnswer || m_shared->clock.now() - m_lastProgress < timeoutOfState())
        return;
    if (m_state == State::ReadingHead && m_parser)
        return refuse(STATUS_REQUEST_TIMEOUT);
    close();
}

void ServerConnection::closeIfIdle()
{
    const bool idle = m_state == State::ReadingHead && !m_parser && m_buffer.size() == 0 && m_unsent.empty();
    if (idle)
        close();
}

void ServerConnection::close()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    ErrorCodeOfIo ec;
    m_socket.close(ec);
    if (const auto exchange = std::exchange(m_exchange, nullptr)) {
        --m_shared->openExchanges;
        exchange->callerGone();
    }
}

}
