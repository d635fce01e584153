#pragma once

#include "fireflyhaven/common/crypto.h"
#include "fireflyhaven/membership/types/heartbeat.h"

#include <atomic>
#include <optional>

namespace fireflyhaven::peer {

// Largest datagram that is sent; what does not fit is cut from the report's loads and demands.
constexpr std::size_t MAX_DATAGRAM_BYTES = 1400;

// Encodes a heartbeat and seals it with the cluster key.
std::string sealHeartbeat(const SecretKey& key, const membership::Heartbeat& heartbeat);
// Returns no heartbeat where the datagram was not sealed with the key or can't be read.
std::optional<membership::Heartbeat> openHeartbeat(const SecretKey& key, const std::string& datagram);

// UDP socket for heartbeats.
class HeartbeatSocket {
public:
    static Result<std::unique_ptr<HeartbeatSocket>> open(const std::string& ip, std::uint16_t port, SecretKey key);
    explicit HeartbeatSocket(int fd, SecretKey key);
    ~HeartbeatSocket();
    HeartbeatSocket(const HeartbeatSocket&) = delete;
    HeartbeatSocket& operator=(const HeartbeatSocket&) = delete;

    void send(const membership::HostAddress& to, const membership::Heartbeat& heartbeat);
    // Waits up to `wait` for a heartbeat.
    std::optional<membership::Heartbeat> receive(int waitMs);

    std::uint64_t rejected() const { return m_rejected; }
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    const int m_fd;
    const SecretKey m_key;
    std::atomic<std::uint64_t> m_rejected { 0 };
    std::atomic<std::uint64_t> m_bytesSent { 0 };
    std::atomic<std::uint64_t> m_bytesReceived { 0 };
};

}
