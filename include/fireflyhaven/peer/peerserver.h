#pragma once

#include "fireflyhaven/common/crypto.h"
#include "fireflyhaven/common/workerpool.h"
#include "fireflyhaven/peer/types/frame.h"

#include <atomic>
#include <functional>
#include <memory>

namespace fireflyhaven::peer {

// Receives the answer of a call piece by piece.
class IPieceSink {
public:
    virtual ~IPieceSink() = default;
    // Blocks while the channel has no credit. Returns false if the caller cancelled or the connection broke.
    virtual bool write(std::string piece) = 0;
    virtual bool cancelled() const = 0;
};

// Runs a call; returns false to refuse it.
using CallHandler = std::function<bool(const std::string& payload, IPieceSink& sink)>;

struct PeerServerOptions {
    std::string ip;
    std::uint16_t port = 0;
    // Maximum number of calls running at once; further ones are refused.
    std::size_t maxCalls = 2048;
};

// Serves calls of other hosts over TCP.
class PeerServer {
public:
    static Result<std::unique_ptr<PeerServer>> start(
        const PeerServerOptions& options, SecretKey key, CallHandler handler);
    virtual ~PeerServer() = default;
    virtual std::size_t runningCalls() const = 0;
};

}
