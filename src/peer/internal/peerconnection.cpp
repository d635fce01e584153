#include "peerconnection.h"

#include <cereal/archives/portable_binary.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sstream>

namespace fireflyhaven::peer {

namespace {

constexpr std::size_t NONCE_BYTES = 16;
constexpr std::uint32_t MAX_FRAME_BYTES = 16 * 1024 * 1024;
constexpr int SEND_TIMEOUT_SECONDS = 10;
constexpr int HANDSHAKE_TIMEOUT_MS = 2000;

std::string encode(const Frame& frame)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(frame);
    }
    return out.str();
}

std::optional<Frame> decode(const std::string& body)
{
    try {
        Frame frame;
        std::istringstream in(body);
        cereal::PortableBinaryInputArchive archive(in);
        archive(frame);
        return frame;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string makeNonce()
{
    const std::uint64_t halves[2] = { randomNumber(), randomNumber() };
    return { reinterpret_cast<const char*>(halves), sizeof(halves) };
}

}

PeerConnection::PeerConnection(int fd, SecretKey key, Side side)
    : m_fd(fd)
    , m_key(key)
    , m_side(side)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    const timeval timeout { .tv_sec = SEND_TIMEOUT_SECONDS, .tv_usec = 0 };
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    const int userTimeoutMs = SEND_TIMEOUT_SECONDS * 1000;
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof(userTimeoutMs));
}

PeerConnection::~PeerConnection() { close(m_fd); }

bool PeerConnection::handshake()
{
    const std::string ownNonce = makeNonce();
    std::string peerNonce(NONCE_BYTES, '\0');
    if (!writeAll(ownNonce.data(), ownNonce.size()))
        return false;
    pollfd pollEntry { .fd = m_fd, .events = POLLIN, .revents = 0 };
    if (poll(&pollEntry, 1, HANDSHAKE_TIMEOUT_MS) <= 0 || !readAll(peerNonce.data(), peerNonce.size()))
        return false;
    m_nonces = m_side == Side::Client ? ownNonce + peerNonce : peerNonce + ownNonce;
    return true;
}

std::string PeerConnection::frameMac(Side sender, std::uint64_t sequence, const std::string& body) const
{
    std::string message = m_nonces;
    message.push_back(static_cast<char>(sender));
    message.append(reinterpret_cast<const char*>(&sequence), sizeof(sequence));
    message += body;
    return computeMac(m_key, message);
}

bool PeerConnection::send(const Frame& frame)
{
    const std::string body = encode(frame);
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(body.size() + MAC_BYTES));
    std::string wire(reinterpret_cast<const char*>(&length), sizeof(length));
    absl::MutexLock lock(&m_writeMutex);
    wire += body;
    wire += frameMac(m_side, m_framesSent++, body);
    return writeAll(wire.data(), wire.size());
}

std::optional<Frame> PeerConnection::receive()
{
    std::uint32_t length = 0;
    if (!readAll(reinterpret_cast<char*>(&length), sizeof(length)))
        return std::nullopt;
    length = ntohl(length);
    if (length <= MAC_BYTES || length > MAX_FRAME_BYTES)
        return std::nullopt;
    std::string wire(length, '\0');
    if (!readAll(wire.data(), wire.size()))
        return std::nullopt;
    const std::string body = wire.substr(0, length - MAC_BYTES);
    const Side sender = m_side == Side::Client ? Side::Server : Side::Client;
    if (frameMac(sender, m_framesReceived++, body) != wire.substr(body.size()))
        return std::nullopt;
    return decode(body);
}

void PeerConnection::shutdown() { ::shutdown(m_fd, SHUT_RDWR); }

bool PeerConnection::readAll(char* data, std::size_t n) const
{
    while (n > 0) {
        const ssize_t received = recv(m_fd, data, n, 0);
        if (received < 0 && errno == EINTR)
            continue;
        if (received <= 0)
            return false;
        data += received;
        n -= static_cast<std::size_t>(received);
    }
    return true;
}

bool PeerConnection::writeAll(const char* data, std::size_t n) const
{
    while (n > 0) {
        const ssize_t sent = ::send(m_fd, data, n, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent <= 0)
            return false;
        data += sent;
        n -= static_cast<std::size_t>(sent);
    }
    return true;
}

int connectTo(const std::string& ip, std::uint16_t port, int timeoutMs)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1)
        return -1;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0)
        return -1;
    int error = 0;
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        pollfd pollEntry { .fd = fd, .events = POLLOUT, .revents = 0 };
        socklen_t size = sizeof(error);
        const bool ready = errno == EINPROGRESS && poll(&pollEntry, 1, timeoutMs) > 0
            && getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0;
        if (!ready || error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

}
