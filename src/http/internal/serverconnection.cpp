#include "serverconnection.h"

#include "fireflyhaven/http/types/status.h"
#include "socketoptions.h"

#include <boost/asio/buffer.hpp>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <charconv>

namespace fireflyhaven::http {

namespace {

constexpr std::size_t READ_BUFFER_BYTES = 8 * 1024;
// Limit on pipelined requests that are buffered while a response is in progress. The connection keeps reading during a
// response to detect a disconnect of the caller, which only shows after all pipelined requests have been read.
constexpr std::size_t MAX_READ_AHEAD_BYTES = 64 * 1024;
constexpr std::size_t MAX_BUFFERS_PER_WRITE = 16;
constexpr Duration LINGER_TIMEOUT { 1000 };
constexpr Duration REJECTION_LOG_INTERVAL { 1000 };
// TCP_USER_TIMEOUT of callers: detects unreachable machines by the lack of acknowledgements.
constexpr Duration CALLER_USER_TIMEOUT { 4000 };

std::string encodeChunk(std::string_view piece)
{
    std::array<char, 16> digits {};
    const auto [end, ec] = std::to_chars(digits.data(), digits.data() + digits.size(), piece.size(), 16);
    std::string out(digits.data(), end);
    return out.append("\r\n").append(piece).append("\r\n");
}

}

void Exchange::sendResponse(const ResponseHead& head, std::string_view body)
{
    sendHead(head, body.size());
    if (!body.empty())
        sendBodyData(body);
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
    connection->m_closeDelimitedResponse = m_closeDelimited;
    m_chunked = !bodyBytes && !m_http10;
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + " ";
    out.append(head.reason.empty() ? reasonPhrase(head.status) : head.reason).append("\r\n");
    for (const HeaderField& it : head.headers.fields())
        out.append(it.name).append(": ").append(it.value).append("\r\n");
    if (bodyBytes)
        out.append("Content-Length: ").append(std::to_string(*bodyBytes)).append("\r\n");
    if (m_chunked)
        out.append("Transfer-Encoding: chunked\r\n");
    const std::string* connectionHeader = m_head.headers.find("connection");
    const bool closeRequested = connectionHeader && equalsIgnoringCase(*connectionHeader, "close");
    if (connection->m_context->closeAfterResponses || closeRequested || m_http10) {
        connection->m_closeAfterFlush = true;
        out.append("Connection: close\r\n");
    }
    connection->write(out.append("\r\n"));
}

void ServerExchange::sendBodyData(std::string_view piece)
{
    const auto connection = m_connection.lock();
    if (!connection || m_ended || piece.empty())
        return;
    connection->write(m_chunked ? encodeChunk(piece) : std::string(piece));
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
    connection->endResponse(!m_closeDelimited);
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

bool ServerExchange::hasCallerLeft() const
{
    const auto connection = m_connection.lock();
    return !connection || connection->hasEnded();
}

void ServerExchange::notifyCallerDisconnected()
{
    m_ended = true;
    if (IExchangeObserver* observer = std::exchange(m_observer, nullptr))
        observer->onCallerDisconnected();
}

void ServerExchange::notifyWritable()
{
    if (m_observer)
        m_observer->onWritable();
}

ServerConnection::ServerConnection(Tcp::socket socket, std::shared_ptr<ServerContext> context)
    : m_socket(std::move(socket))
    , m_context(std::move(context))
    , m_lastProgress(m_context->clock.now())
{
}

ServerConnection::~ServerConnection()
{
    if (m_context->memory)
        m_context->memory->remove(*this);
}

void ServerConnection::start()
{
    IoErrorCode ec;
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
    const bool readsAhead = m_state == State::Responding || isAnswerUnread();
    if (readsAhead && m_buffer.size() >= MAX_READ_AHEAD_BYTES)
        return;
    if (m_buffer.size() == 0 && m_buffer.capacity() > READ_BUFFER_BYTES)
        m_buffer.shrink_to_fit();
    m_reading = true;
    m_socket.async_read_some(m_buffer.prepare(READ_BUFFER_BYTES),
        [self = shared_from_this()](IoErrorCode ec, std::size_t n) { self->onRead(ec, n); });
}

void ServerConnection::onRead(IoErrorCode ec, std::size_t n)
{
    m_reading = false;
    if (m_state == State::Closed)
        return freeBuffers();
    if (ec)
        return close();
    m_buffer.commit(n);
    if (m_state == State::Lingering)
        m_buffer.consume(m_buffer.size());
    // The header timeout starts with the first byte of a request.
    const bool requestBegins = m_state == State::ReadingHead && !m_parser;
    if (requestBegins || m_state == State::ReadingBody)
        m_lastProgress = m_context->clock.now();
    const bool receives = m_state == State::ReadingHead || m_state == State::ReadingBody;
    if (receives && !isAnswerUnread())
        parse();
    reportMemory();
    read();
}

void ServerConnection::parse()
{
    if (!m_parser) {
        m_parser.emplace(m_context->limits.maxHeaderBytes, m_context->limits.maxBodyBytes);
        m_state = State::ReadingHead;
    }
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        IoErrorCode ec;
        const std::size_t n = m_parser->put(m_buffer.data(), ec);
        m_buffer.consume(n);
        if (ec == boost::beast::http::error::need_more)
            break;
        if (ec == boost::beast::http::error::header_limit)
            return reject(STATUS_HEADERS_TOO_LARGE);
        if (ec == boost::beast::http::error::body_limit)
            return reject(STATUS_CONTENT_TOO_LARGE);
        if (ec)
            return reject(STATUS_BAD_REQUEST);
    }
    if (m_parser->is_done())
        return dispatch();
    // Trailers, or the extension of a chunk.
    if (m_buffer.size() > m_context->limits.maxHeaderBytes)
        return reject(STATUS_HEADERS_TOO_LARGE);
    if (m_state == State::ReadingHead && m_parser->is_header_done()) {
        m_state = State::ReadingBody;
        m_lastProgress = m_context->clock.now();
        if (m_parser->expectsContinue())
            write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void ServerConnection::reject(int status)
{
    logRejection(status);
    m_parser.reset();
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out.append(reasonPhrase(status)).append("\r\nContent-Length: 0\r\nConnection: close\r\n");
    if (status == STATUS_UNAVAILABLE)
        out.append("Retry-After: 1\r\n");
    out.append("\r\n");
    write(std::move(out));
    endResponse(false);
}

void ServerConnection::logRejection(int status)
{
    const TimePoint now = m_context->clock.now();
    if (now - m_context->rejectionLoggedAt < REJECTION_LOG_INTERVAL) {
        ++m_context->unloggedRejections;
        return;
    }
    m_context->rejectionLoggedAt = now;
    spdlog::info("request from {} rejected with status {}; {} others since the last such line", m_peer, status,
        std::exchange(m_context->unloggedRejections, 0));
}

void ServerConnection::reportMemory()
{
    if (!m_context->memory || m_state == State::Closed)
        return;
    MemoryUse use { .unsent = m_unsentBytes };
    if (m_state == State::ReadingHead || m_state == State::ReadingBody)
        use.incomplete = m_buffer.capacity() + (m_parser ? m_parser->heldBytes() : 0);
    else
        use.served = m_buffer.capacity() + (m_exchange ? m_requestBytes : 0);
    m_context->memory->update(*this, use);
}

// The request was not passed on, so that the refusal holds.
void ServerConnection::refuseIncomplete()
{
    if (m_state == State::ReadingHead || m_state == State::ReadingBody)
        reject(STATUS_UNAVAILABLE);
}

void ServerConnection::endUnsent()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->close(); });
}

ServerConnection::Unread ServerConnection::unread()
{
    char byte = 0;
    const auto n = ::recv(m_socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0)
        return Unread::Bytes;
    return n == 0 ? Unread::End : Unread::Nothing;
}

bool ServerConnection::hasEnded()
{
    return m_state == State::Closed || (m_buffer.size() == 0 && unread() == Unread::End);
}

void ServerConnection::dispatch()
{
    // The caller of a request that waited unread, as after a freeze, may be gone.
    if (hasEnded())
        return close();
    const auto self = shared_from_this();
    const bool http10 = m_parser->isHttp10();
    m_requestBytes = m_parser->heldBytes();
    m_exchange = std::make_shared<ServerExchange>(
        self, std::move(m_parser->head()), std::move(m_parser->body()), m_peer, http10);
    m_parser.reset();
    m_state = State::Responding;
    m_lastProgress = m_context->clock.now();
    ++m_context->openExchanges;
    reportMemory();
    m_context->handler(m_exchange);
}

void ServerConnection::write(std::string data)
{
    if (m_state == State::Closed)
        return;
    m_unsentBytes += data.size();
    m_unsent.push_back(std::move(data));
    flush();
    reportMemory();
}

void ServerConnection::flush()
{
    if (m_buffersInWrite > 0 || m_unsent.empty() || m_state == State::Closed)
        return;
    std::vector<boost::asio::const_buffer> buffers;
    for (std::size_t n = 0; n < std::min(m_unsent.size(), MAX_BUFFERS_PER_WRITE); ++n)
        buffers.emplace_back(m_unsent[n].data(), m_unsent[n].size());
    m_buffersInWrite = buffers.size();
    m_lastProgress = m_context->clock.now();
    m_socket.async_write_some(
        buffers, [self = shared_from_this()](IoErrorCode ec, std::size_t n) { self->onWritten(ec, n); });
}

void ServerConnection::onWritten(IoErrorCode ec, std::size_t n)
{
    m_buffersInWrite = 0;
    if (m_state == State::Closed)
        return freeBuffers();
    if (ec)
        return close();
    const bool wasFull = isAnswerUnread();
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
    reportMemory();
    if (wasFull && !isAnswerUnread() && m_exchange)
        m_exchange->notifyWritable();
    if (wasFull && !isAnswerUnread() && m_state == State::ReadingHead)
        parseNext();
    if (m_state == State::Lingering && m_unsent.empty())
        linger();
}

void ServerConnection::endResponse(bool keepAlive)
{
    if (m_exchange)
        --m_context->openExchanges;
    m_exchange.reset();
    m_lastProgress = m_context->clock.now();
    if (!keepAlive || m_closeAfterFlush) {
        m_state = State::Lingering;
        reportMemory();
        if (m_unsent.empty())
            linger();
        read();
        return;
    }
    m_state = State::ReadingHead;
    reportMemory();
    parseNext();
}

// The next request may already be in the buffer. Posting avoids a nested call of the handler.
void ServerConnection::parseNext()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_state == State::ReadingHead && self->m_buffer.size() > 0 && !self->isAnswerUnread())
            self->parse();
        self->read();
    });
}

// Shuts down the sending side before the close: closing a socket with unread data resets the connection, and the caller
// may lose the response.
void ServerConnection::linger()
{
    IoErrorCode ec;
    m_socket.shutdown(Tcp::socket::shutdown_send, ec);
    m_buffer.consume(m_buffer.size());
    if (ec)
        close();
}

Duration ServerConnection::currentTimeout() const
{
    if (m_state == State::Lingering)
        return LINGER_TIMEOUT;
    const bool receivingHead = m_state == State::ReadingHead && m_parser;
    return receivingHead ? m_context->limits.headerTimeout : m_context->limits.idleTimeout;
}

void ServerConnection::enforceTimeouts()
{
    // No timeout applies while the connection waits for the handler: the deadline of the request limits that time.
    const bool awaitingHandler = m_state == State::Responding && m_unsent.empty();
    if (m_state == State::Closed || awaitingHandler || m_context->clock.now() - m_lastProgress < currentTimeout())
        return;
    // The caller is not late if the process was.
    const bool receiving = m_state == State::ReadingHead || m_state == State::ReadingBody;
    if (receiving && unread() == Unread::Bytes)
        return;
    if (m_state == State::ReadingHead && m_parser)
        return reject(STATUS_REQUEST_TIMEOUT);
    close();
}

void ServerConnection::closeIfIdle()
{
    const bool idle = m_state == State::ReadingHead && !m_parser && m_buffer.size() == 0 && m_unsent.empty();
    if (idle && unread() != Unread::Bytes)
        close();
}

// The server still holds a closed connection for a moment.
void ServerConnection::freeBuffers()
{
    if (m_reading || m_buffersInWrite > 0)
        return;
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_unsent.clear();
}

void ServerConnection::close()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    if (m_context->memory)
        m_context->memory->remove(*this);
    IoErrorCode ec;
    // A regular end would make the part that was sent look complete.
    const bool isResponseIncomplete = m_exchange || m_unsentBytes > 0;
    if (m_closeDelimitedResponse && isResponseIncomplete)
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    m_socket.close(ec);
    m_parser.reset();
    if (const auto exchange = std::exchange(m_exchange, nullptr)) {
        --m_context->openExchanges;
        exchange->notifyCallerDisconnected();
    }
}

}
