#pragma once

#include "fireflyhaven/common/crypto.h"
#include "fireflyhaven/peer/types/frame.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <optional>

namespace fireflyhaven::peer {

// TCP connection that carries frames. Each frame has a MAC over its body, the nonces of both ends, the sender's side
// and a sequence number, computed with the cluster key, which exposes forged, replayed and reordered frames.
class PeerConnection {
public:
    enum class Side : char { Client = 'c', Server = 's' };

    // Takes ownership of the socket.
    PeerConnection(int fd, SecretKey key, Side side);
    ~PeerConnection();
    PeerConnection(const PeerConnection&) = delete;
    PeerConnection& operator=(const PeerConnection&) = delete;

    // Exchanges nonces; returns false if the other end does not answer in time.
    bool handshake();
    // Returns false if the frame could not be written completely.
    bool send(const Frame& frame);
    // Waits for the next frame; returns nothing if the connection is broken or a frame has a wrong MAC or encoding.
    std::optional<Frame> receive();
    void shutdown();

private:
    std::string frameMac(Side sender, std::uint64_t sequence, const std::string& body) const;
    bool readAll(char* data, std::size_t n) const;
    bool writeAll(const char* data, std::size_t n) const;

    const int m_fd;
    const SecretKey m_key;
    const Side m_side;
    std::string m_nonces;
    std::uint64_t m_framesReceived = 0;
    absl::Mutex m_writeMutex;
    std::uint64_t m_framesSent ABSL_GUARDED_BY(m_writeMutex) = 0;
};

// Returns a connected blocking socket, or -1 if the connection fails or is not established within the timeout.
int connectTo(const std::string& ip, std::uint16_t port, int timeoutMs);

}
