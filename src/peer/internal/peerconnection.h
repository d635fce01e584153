#pragma once

#include "fireflyhaven/common/crypto.h"
#include "fireflyhaven/peer/types/frame.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <optional>

namespace fireflyhaven::peer {

// TCP connection that carries frames, each sealed with the cluster key, the nonces of both ends and a running number.
class PeerConnection {
public:
    enum class Side : char { Client = 'c', Server = 's' };

    // Takes over the socket.
    PeerConnection(int fd, SecretKey key, Side side);
    ~PeerConnection();
    PeerConnection(const PeerConnection&) = delete;
    PeerConnection& operator=(const PeerConnection&) = delete;

    // Exchanges nonces; false where the other end does not answer.
    bool handshake();
    // False where the connection is broken.
    bool send(const Frame& frame);
    // Waits for the next frame; none where the connection is broken or a frame was not sealed properly.
    std::optional<Frame> receive();
    void shutdown();

private:
    std::string seal(Side sender, std::uint64_t number, const std::string& body) const;
    bool readAll(char* data, std::size_t n) const;
    bool writeAll(const char* data, std::size_t n) const;

    const int m_fd;
    const SecretKey m_key;
    const Side m_side;
    std::string m_nonces;
    std::uint64_t m_received = 0;
    absl::Mutex m_writeMutex;
    std::uint64_t m_sent ABSL_GUARDED_BY(m_writeMutex) = 0;
};

// Connects to "ip:port"; -1 where that fails within the timeout.
int connectTo(const std::string& ip, std::uint16_t port, int timeoutMs);

}
