#include "fireflyhaven/peer/heartbeatsocket.h"

#include <cereal/archives/portable_binary.hpp>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sstream>

namespace fireflyhaven::peer {

namespace {

std::string encode(const membership::Heartbeat& heartbeat)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(heartbeat);
    }
    return out.str();
}

}

std::string encodeHeartbeat(const SecretKey& key, const membership::Heartbeat& heartbeat)
{
    std::string body = encode(heartbeat);
    if (body.size() + MAC_BYTES > MAX_DATAGRAM_BYTES) {
        membership::Heartbeat truncated = heartbeat;
        while (body.size() + MAC_BYTES > MAX_DATAGRAM_BYTES
            && !(truncated.report.loads.empty() && truncated.report.demands.empty())) {
            truncated.report.loads.resize(truncated.report.loads.size() / 2);
            truncated.report.demands.resize(truncated.report.demands.size() / 2);
            body = encode(truncated);
        }
    }
    return body + computeMac(key, body);
}

std::optional<membership::Heartbeat> decodeHeartbeat(const SecretKey& key, const std::string& datagram)
{
    if (datagram.size() <= MAC_BYTES)
        return std::nullopt;
    const std::string body = datagram.substr(0, datagram.size() - MAC_BYTES);
    if (!verifyMac(key, body, std::string_view(datagram).substr(body.size())))
        return std::nullopt;
    try {
        membership::Heartbeat heartbeat;
        std::istringstream in(body);
        cereal::PortableBinaryInputArchive archive(in);
        archive(heartbeat);
        return heartbeat;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

Result<std::unique_ptr<HeartbeatSocket>> HeartbeatSocket::open(const std::string& ip, std::uint16_t port, SecretKey key)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const bool bound = fd >= 0 && inet_pton(AF_INET, ip.c_str(), &address.sin_addr) == 1
        && bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    if (!bound) {
        if (fd >= 0)
            close(fd);
        return failure(ErrorCode::Unavailable, "cannot receive heartbeats on " + ip + ":" + std::to_string(port));
    }
    return std::make_unique<HeartbeatSocket>(fd, key);
}

HeartbeatSocket::HeartbeatSocket(int fd, SecretKey key)
    : m_fd(fd)
    , m_key(key)
{
}

HeartbeatSocket::~HeartbeatSocket() { close(m_fd); }

void HeartbeatSocket::send(const membership::HostAddress& to, const membership::Heartbeat& heartbeat)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.peerPort);
    if (inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr) != 1)
        return;
    const std::string datagram = encodeHeartbeat(m_key, heartbeat);
    const ssize_t sent = sendto(
        m_fd, datagram.data(), datagram.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (sent > 0)
        m_bytesSent += static_cast<std::uint64_t>(sent);
}

std::optional<membership::Heartbeat> HeartbeatSocket::receive(int waitMs)
{
    pollfd pollEntry { .fd = m_fd, .events = POLLIN, .revents = 0 };
    if (poll(&pollEntry, 1, waitMs) <= 0)
        return std::nullopt;
    constexpr std::size_t RECEIVE_BUFFER_BYTES = 65536;
    std::string datagram(RECEIVE_BUFFER_BYTES, '\0');
    const ssize_t n = recv(m_fd, datagram.data(), datagram.size(), 0);
    if (n <= 0)
        return std::nullopt;
    m_bytesReceived += static_cast<std::uint64_t>(n);
    datagram.resize(static_cast<std::size_t>(n));
    std::optional<membership::Heartbeat> heartbeat = decodeHeartbeat(m_key, datagram);
    if (!heartbeat)
        ++m_rejected;
    return heartbeat;
}

}
