#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/http/types/endpoint.h"
#include "fireflyhaven/http/types/head.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>

namespace fireflyhaven::http {

// Whether the peer can have seen anything of a request that failed.
enum class SendState { NothingSent, MaybeReceived };

// What to do with an answer whose head has arrived.
enum class HeadVerdict {
    Accept,
    // It answers another request: it is discarded, and the connection is not used again after the next answer.
    Skip,
};

// Receives one answer. Either `onEnd` or `onFailed` is called last, and never after the call was destroyed.
class IAnswerObserver {
public:
    virtual ~IAnswerObserver() = default;
    virtual HeadVerdict onHead(const ResponseHead& head) = 0;
    virtual void onPiece(std::string_view piece) = 0;
    // The answer is complete.
    virtual void onEnd() = 0;
    virtual void onFailed(SendState state, const std::string& reason) = 0;
};

// A call in progress. Destroying it cancels it: the connection is closed, so that the peer can stop its work.
class ClientCall {
public:
    virtual ~ClientCall() = default;
    // Stops reading, so that the peer is slowed down, and reads on.
    virtual void pause() = 0;
    virtual void resume() = 0;
    // Whether any byte of the request has been handed to the system's network stack.
    virtual bool anythingSent() const = 0;
};

struct OutgoingRequest {
    RequestHead head;
    std::shared_ptr<const std::string> body;
    Duration connectTimeout { 1000 };
    // Longest idle time of a connection that may be used again; no value for any.
    std::optional<Duration> freshFor;
};

struct EventClientOptions {
    // Time without an acknowledgement after which a connection is taken as dead.
    Duration userTimeout { 1000 };
    // Idle time after which a connection is closed, where the peer names none.
    Duration idleTimeout { 4000 };
    // Part of the idle time that the peer names within which a connection is used again.
    double idleTimeoutShare = 0.6;
};

// HTTP/1.1 client on one event loop. Keeps idle connections for each peer; never sends a request a second time.
class EventClient {
public:
    static std::unique_ptr<EventClient> create(
        boost::asio::io_context& loop, const IClock& clock, EventClientOptions options = {});
    virtual ~EventClient() = default;

    // The observer must outlive the call. No callback comes from within `start` itself.
    virtual std::unique_ptr<ClientCall> start(const Endpoint& peer, OutgoingRequest request, IAnswerObserver& observer)
        = 0;
    // Connections to the peer, idle ones included.
    virtual std::size_t connectionsTo(const Endpoint& peer) const = 0;
    virtual std::size_t idleConnectionsTo(const Endpoint& peer) const = 0;
    // Closes the idle connections to a peer that is not to be used any more.
    virtual void forget(const Endpoint& peer) = 0;
    // Connections opened since the start.
    virtual std::uint64_t connectionsOpened() const = 0;
};

}
