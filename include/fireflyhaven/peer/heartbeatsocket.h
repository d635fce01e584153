#pragma once

#include "fireflyhaven/common/crypto.h"
#include "fireflyhaven/membership/types/heartbeat.h"

#include <atomic>
#include <optional>

namespace fireflyhaven::peer {

// Maximum size of a sent datagram. The loads and demands of the report are shortened until the datagram fits; other
// fields are never cut.
constexpr std::size_t MAX_DATAGRAM_BYTES = 1400;

// Encodes a heartbeat and appends a MAC computed with the cluster key.
std::string encodeHeartbeat(const SecretKey& key, const membership::Heartbeat& heartbeat);
// Returns nothing if the MAC does not match the key or the datagram can't be decoded.
std::optional<membership::Heartbeat> decodeHeartbeat(const SecretKey& key, const std::string& datagram);

// UDP socket for heartbeats.
class HeartbeatSocket {
public:
    static Result<std::unique_ptr<HeartbeatSocket>> open(const std::string& ip, std::uint16_t port, SecretKey key);
    explicit HeartbeatSocket(int fd, SecretKey key);
    ~HeartbeatSocket();
    HeartbeatSocket(const HeartbeatSocket&) = delete;
    HeartbeatSocket& operator=(const HeartbeatSocket&) = delete;

    void send(const membership::HostAddress& to, const membership::Heartbeat& heartbeat);
    // Waits up to `waitMs` for a datagram; returns nothing on a timeout or if the datagram was rejected.
    std::optional<membership::Heartbeat> receive(int waitMs);

    // Datagrams with a wrong MAC or an invalid encoding.
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
