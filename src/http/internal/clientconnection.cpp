#include "clientconnection.h"

#include "socketoptions.h"

#include <poll.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>

namespace fireflyhaven::http {

namespace {

constexpr std::size_t READ_BUFFER_BYTES = 8 * 1024;
// Heads, framing, interim responses and responses to other requests, which no caller bounds.
constexpr std::size_t MAX_BYTES_BESIDE_BODY = 1024 * 1024;

// Value of the "timeout" parameter of the Keep-Alive header; no value where there is none.
std::optional<Duration> keepAliveTimeout(const ResponseHead& head)
{
    const std::string* value = head.headers.find("keep-alive");
    const std::string_view parameter = "timeout=";
    const auto position = value ? value->find(parameter) : std::string::npos;
    if (position == std::string::npos)
        return std::nullopt;
    long seconds = 0;
    const char* first = value->data() + position + parameter.size();
    const auto [end, ec] = std::from_chars(first, value->data() + value->size(), seconds);
    return ec == std::errc() ? std::optional(Duration(std::chrono::seconds(seconds))) : std::nullopt;
}

// Whether the connection has failed. Leaves the error, if it is still unreported, to the next call on the socket.
bool hasFailed(int socket)
{
    pollfd it { .fd = socket, .events = 0, .revents = 0 };
    return ::poll(&it, 1, 0) > 0 && (it.revents & (POLLERR | POLLHUP)) != 0;
}

}

ClientConnection::ClientConnection(
    boost::asio::io_context& loop, const IClock& clock, Endpoint peer, const EventClientOptions& options)
    : m_clock(clock)
    , m_peer(std::move(peer))
    , m_options(options)
    , m_socket(loop)
    , m_connectTimer(loop)
    , m_idleTimeout(options.idleTimeout)
{
}

void ClientConnection::send(OutgoingRequest request, IResponseObserver& observer)
{
    m_request = std::move(request);
    m_serializedHead = serializeHead(m_request.head, m_peer.text(), bodySize());
    m_sentBytes = 0;
    m_writeError = {};
    m_bytesBesideBody = 0;
    m_paused = false;
    m_discardingResponse = false;
    m_observer = &observer;
    resetParser();
    if (m_state == State::New)
        return connect(m_request.connectTimeout);
    m_state = State::Busy;
    beginRequest();
}

bool ClientConnection::isQuiet()
{
    char byte = 0;
    const ssize_t n = ::recv(m_socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void ClientConnection::connect(Duration timeout)
{
    m_state = State::Connecting;
    IoErrorCode ec;
    const auto address = boost::asio::ip::make_address(m_peer.ip, ec);
    if (!ec)
        m_socket.open(Tcp::v4(), ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (ec) {
        boost::asio::post(m_socket.get_executor(),
            [self = shared_from_this(), ec] { self->fail("cannot open a socket: " + ec.message()); });
        return;
    }
    setSocketOptions(m_socket.native_handle(), m_options.userTimeout);
    m_connectTimer.expires_after(timeout);
    m_connectTimer.async_wait([weak = weak_from_this()](IoErrorCode error) {
        const auto self = weak.lock();
        if (!error && self && self->m_state == State::Connecting)
            self->fail("connect timeout");
    });
    m_socket.async_connect(
        { address, m_peer.port }, [self = shared_from_this()](IoErrorCode error) { self->onConnected(error); });
}

void ClientConnection::onConnected(IoErrorCode ec)
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
    if (m_sentBytes < m_serializedHead.size()) {
        buffers[0] = boost::asio::buffer(m_serializedHead) + m_sentBytes;
        if (m_request.body)
            buffers[1] = boost::asio::buffer(*m_request.body);
    } else {
        buffers[0] = boost::asio::buffer(*m_request.body) + (m_sentBytes - m_serializedHead.size());
    }
    IoErrorCode ec;
    m_sentBytes += m_socket.write_some(buffers, ec);
    if (ec && ec != boost::asio::error::would_block) {
        // A broken pipe is a reset after the peer had ended its sending side regularly.
        if (ec != boost::asio::error::broken_pipe)
            m_writeError = ec;
        // The peer may have sent an early response that is still unread.
        return;
    }
    if (!isRequestWritten())
        awaitWritable();
}

void ClientConnection::awaitWritable()
{
    m_socket.async_wait(Tcp::socket::wait_write, [self = shared_from_this()](IoErrorCode) { self->onWritable(); });
}

// The kernel reports the failure of a connection to one call, and a regular end to all reads after it. The failure is
// left to the read, which gets the peer's regular end in its place if there was one.
void ClientConnection::onWritable()
{
    if (m_state == State::Busy && !hasFailed(m_socket.native_handle()))
        writeSome();
}

void ClientConnection::read()
{
    if (m_reading || m_paused || m_state == State::Closed)
        return;
    m_reading = true;
    m_socket.async_read_some(m_buffer.prepare(READ_BUFFER_BYTES),
        [self = shared_from_this()](IoErrorCode ec, std::size_t n) { self->onRead(ec, n); });
}

void ClientConnection::onRead(IoErrorCode ec, std::size_t n)
{
    m_reading = false;
    if (m_state == State::Closed)
        return;
    m_buffer.commit(n);
    if (m_state == State::Idle) {
        // The peer closed the idle connection, or sent data without a request.
        if (!ec)
            spdlog::info("upstream {} sent {} bytes on an idle connection; closing the connection", m_peer.text(), n);
        return close();
    }
    if (ec == boost::asio::error::eof && m_writeError)
        ec = m_writeError;
    if (ec == boost::asio::error::eof && m_parser->is_header_done() && m_parser->need_eof()) {
        if (m_discardingResponse)
            return fail("connection closed by the peer after a response to another request");
        m_closeAfterResponse = true;
        m_parser->put_eof(ec);
        return ec ? fail("response truncated: " + ec.message()) : finishResponse();
    }
    if (ec)
        return fail("connection lost: " + ec.message());
    m_bytesBesideBody += n;
    parse();
    if (m_state == State::Busy && m_bytesBesideBody > MAX_BYTES_BESIDE_BODY)
        return fail("over 1 MiB received that is no part of the response's body");
    read();
}

void ClientConnection::resetParser()
{
    m_parser.emplace(
        m_request.head.method == "HEAD", [this](const ResponseHead& head) { onParsedHead(head); },
        [this](std::string_view piece) {
            if (!m_observer || m_discardingResponse)
                return;
            m_bytesBesideBody -= std::min(m_bytesBesideBody, piece.size());
            m_observer->onBodyData(piece);
        });
}

void ClientConnection::parse()
{
    while (m_state == State::Busy && m_buffer.size() > 0) {
        IoErrorCode ec;
        const std::size_t n = m_parser->put(m_buffer.data(), ec);
        m_buffer.consume(n);
        if (m_state != State::Busy)
            return;
        if (ec == boost::beast::http::error::need_more) {
            const auto rest = m_buffer.data();
            if (!m_parser->mayContinueWith({ static_cast<const char*>(rest.data()), rest.size() }))
                fail("invalid HTTP response: no status line");
            return;
        }
        if (ec)
            return fail("invalid HTTP response: " + ec.message());
        if (m_parser->is_done())
            return finishResponse();
    }
}

void ClientConnection::onParsedHead(const ResponseHead& head)
{
    m_discardingResponse = m_parser->isInterim();
    if (m_discardingResponse || !m_observer)
        return;
    applyKeepAlive(head);
    if (m_observer->onHead(head) != HeadVerdict::Skip)
        return;
    m_discardingResponse = true;
    m_closeAfterResponse = true;
}

void ClientConnection::applyKeepAlive(const ResponseHead& head)
{
    if (!m_parser->keep_alive())
        m_closeAfterResponse = true;
    if (const auto timeout = keepAliveTimeout(head))
        m_idleTimeout = Duration(
            static_cast<Duration::rep>(static_cast<double>(timeout->count()) * m_options.idleTimeoutFraction));
}

void ClientConnection::finishResponse()
{
    if (m_discardingResponse) {
        m_discardingResponse = false;
        resetParser();
        return parse();
    }
    IResponseObserver* observer = std::exchange(m_observer, nullptr);
    const bool reusable = !m_closeAfterResponse && m_buffer.size() == 0 && isRequestWritten();
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
        observer->onComplete();
}

void ClientConnection::fail(const std::string& reason)
{
    IResponseObserver* observer = std::exchange(m_observer, nullptr);
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
    IoErrorCode ec;
    m_socket.close(ec);
    if (m_owner)
        m_owner->onClosed(shared_from_this());
}

}
