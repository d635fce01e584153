#include "clientconnection.h"

#include "socketoptions.h"

#include <boost/asio/write.hpp>
#include <spdlog/spdlog.h>

#include <array>
#include <charconv>

namespace fireflyhaven::http {

namespace {

constexpr std::size_t READ_BYTES = 8 * 1024;
constexpr int FIRST_FINAL_STATUS = 200;

// Seconds that a Keep-Alive header names; no value where it names none.
std::optional<Duration> keepAliveTimeout(const ResponseHead& head)
{
    const std::string* value = head.headers.find("keep-alive");
    const std::string_view mark = "timeout=";
    const auto at = value ? value->find(mark) : std::string::npos;
    if (at == std::string::npos)
        return std::nullopt;
    long seconds = 0;
    const char* first = value->data() + at + mark.size();
    const auto [end, ec] = std::from_chars(first, value->data() + value->size(), seconds);
    return ec == std::errc() ? std::optional(Duration(std::chrono::seconds(seconds))) : std::nullopt;
}

}

ClientConnection::ClientConnection(
    boost::asio::io_context& loop, const IClock& clock, Endpoint peer, const EventClientOptions& options)
    : m_clock(clock)
    , m_peer(std::move(peer))
    , m_options(options)
    , m_socket(loop)
    , m_connectTimer(loop)
    , m_idleLimit(options.idleTimeout)
{
}

void ClientConnection::send(OutgoingRequest request, IAnswerObserver& observer)
{
    m_request = std::move(request);
    m_headBytes = serializeHead(m_request.head, m_peer.text(), bodySize());
    m_sentBytes = 0;
    m_paused = false;
    m_skipping = false;
    m_observer = &observer;
    newParser();
    if (m_state == State::New)
        return connect(m_request.connectTimeout);
    m_state = State::Busy;
    beginRequest();
}

void ClientConnection::connect(Duration timeout)
{
    m_state = State::Connecting;
    ErrorCodeOfIo ec;
    const auto address = boost::asio::ip::make_address(m_peer.ip, ec);
    if (!ec)
        m_socket.open(Tcp::v4(), ec);
    if (ec) {
        boost::asio::post(m_socket.get_executor(),
            [self = shared_from_this(), ec] { self->fail("cannot open a socket: " + ec.message()); });
        return;
    }
    setSocketOptions(m_socket.native_handle(), m_options.userTimeout);
    m_connectTimer.expires_after(timeout);
    m_connectTimer.async_wait([weak = weak_from_this()](ErrorCodeOfIo error) {
        const auto self = weak.lock();
        if (!error && self && self->m_state == State::Connecting)
            self->fail("connection not established in time");
    });
    m_socket.async_connect(
        { address, m_peer.port }, [self = shared_from_this()](ErrorCodeOfIo error) { self->onConnected(error); });
}

void ClientConnection::onConnected(ErrorCodeOfIo ec)
{
    if (m_state != State::Connecting)
        return;
    m_connectTimer.cancel();
    if (ec)
        return fail("cannot connect: " + ec.message());
    m_state = State::Busy;
    beginRequest();
}

void ClientConnection::beginRequest()
{
    writeSome();
    read();
}

void ClientConnection::writeSome()
{
    std::array<boost::asio::const_buffer, 2> buffers;
    if (m_sentBytes < m_headBytes.size()) {
        buffers[0] = boost::asio::buffer(m_headBytes) + m_sentBytes;
        if (m_request.body)
            buffers[1] = boost::asio::buffer(*m_request.body);
    } else {
        buffers[0] = boost::asio::buffer(*m_request.body) + (m_sentBytes - m_headBytes.size());
    }
    m_socket.async_write_some(
        buffers, [self = shared_from_this()](ErrorCodeOfIo ec, std::size_t n) { self->onWritten(ec, n); });
}

void ClientConnection::onWritten(ErrorCodeOfIo ec, std::size_t n)
{
    if (m_state != State::Busy)
        return;
    m_sentBytes += n;
    // A failed write is told by the read side, which may still hold an answer that was sent early.
    if (!ec && !isRequestWritten())
        writeSome();
}

void ClientConnection::read()
{
    if (m_reading || m_paused || m_state == State::Closed)
        return;
    m_reading = true;
    m_socket.async_read_some(m_buffer.prepare(READ_BYTES),
        [self = shared_from_this()](ErrorCodeOfIo ec, std::size_t n) { self->onRead(ec, n); });
}

void ClientConnection::onRead(ErrorCodeOfIo ec, std::size_t n)
{
    m_reading = false;
    if (m_state == State::Closed)
        return;
    m_buffer.commit(n);
    if (m_state == State::Idle) {
        // Nothing is due on an idle connection: the peer closed it, or sent bytes that belong to no request.
        if (!ec)
            spdlog::info("upstream {} sent {} bytes that answer no request", m_peer.text(), n);
        return close();
    }
    if (ec == boost::asio::error::eof && m_parser->is_header_done() && m_parser->need_eof()) {
        if (m_skipping)
            return fail("connection ended by an answer to another request");
        m_lastAnswer = true;
        m_parser->put_eof(ec);
        return ec ? fail("answer cut off: " + ec.message()) : finishAnswer();
    }
    if (ec)
        return fail("connection lost: " + ec.message());
    parse();
    read();
}

void ClientConnection::newParser()
{
    m_parser.emplace(
        m_request.head.method == "HEAD", [this](const ResponseHead& head) { onParsedHead(head); },
        [this](std::string_view piece) {
            if (m_observer && !m_skipping)
                m_observer->onPiece(piece);
        });
}

void ClientConnection::parse()
{
    while (m_state == State::Busy && m_buffer.size() > 0) {
        ErrorCodeOfIo ec;
        const std::size_t n = m_parser->put(m_buffer.data(), ec);
        m_buffer.consume(n);
        if (m_state != State::Busy)
            return;
        if (ec == boost::beast::http::error::need_more)
            return;
        if (ec)
            return fail("not a valid answer: " + ec.message());
        if (m_parser->is_done())
            return finishAnswer();
    }
}

void ClientConnection::onParsedHead(const ResponseHead& head)
{
    m_skipping = head.status < FIRST_FINAL_STATUS;
    if (m_skipping || !m_observer)
        return;
    noteKeepAlive(head);
    if (m_observer->onHead(head) != HeadVerdict::Skip)
        return;
    m_skipping = true;
    m_lastAnswer = true;
}

void ClientConnection::noteKeepAlive(const ResponseHead& head)
{
    if (!m_parser->keep_alive())
        m_lastAnswer = true;
    if (const auto timeout = keepAliveTimeout(head))
        m_idleLimit
            = Duration(static_cast<Duration::rep>(static_cast<double>(timeout->count()) * m_options.idleTimeoutShare));
}

void ClientConnection::finishAnswer()
{
    if (m_skipping) {
        m_skipping = false;
        newParser();
        return parse();
    }
    IAnswerObserver* observer = std::exchange(m_observer, nullptr);
    const bool reusable = !m_lastAnswer && m_buffer.size() == 0 && isRequestWritten();
    if (!reusable) {
        close();
    } else {
        m_state = State::Idle;
        m_request = {};
        m_idleSince = m_clock.now();
        if (m_owner)
            m_owner->onIdle(shared_from_this());
    }
    if (observer)
        observer->onEnd();
}

void ClientConnection::fail(const std::string& reason)
{
    IAnswerObserver* observer = std::exchange(m_observer, nullptr);
    const SendState state = sendState();
    close();
    if (observer)
        observer->onFailed(state, reason);
}

void ClientConnection::cancel()
{
    m_observer = nullptr;
    close();
}

void ClientConnection::pause() { m_paused = true; }

void ClientConnection::resume()
{
    m_paused = false;
    read();
}

void ClientConnection::close()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    m_connectTimer.cancel();
    ErrorCodeOfIo ec;
    m_socket.close(ec);
    if (m_owner)
        m_owner->onClosed(shared_from_this());
}

}
