#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/http/types/endpoint.h"
#include "fireflyhaven/http/types/head.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace fireflyhaven::http {

// How the attempt to open a connection ended.
enum class ConnectionResult {
    Connected,
    // The peer's machine answered that nothing listens there, or reset the connection.
    Refused,
    // No answer in time.
    TimedOut,
};

// Whether the peer may have received any part of a failed request.
enum class SendState { NothingSent, MaybeReceived };

// What to do with a response whose head has arrived.
enum class HeadVerdict {
    Accept,
    // The response belongs to another request. It is discarded, and the connection is closed after the next response.
    Skip,
};

// Receives one response. The last callback is either `onComplete` or `onFailed`; there are no callbacks after the call
// is destroyed.
class IResponseObserver {
public:
    virtual ~IResponseObserver() = default;
    virtual HeadVerdict onHead(const ResponseHead& head) = 0;
    virtual void onBodyData(std::string_view piece) = 0;
    virtual void onComplete() = 0;
    virtual void onFailed(SendState state, const std::string& reason) = 0;
};

// A call in progress. Its destruction cancels the call and closes the connection, so that the peer can stop processing
// the request.
class ClientCall {
public:
    virtual ~ClientCall() = default;
    // Suspends reading from the connection, which applies backpressure to the peer.
    virtual void pause() = 0;
    virtual void resume() = 0;
    // Whether any byte of the request was passed to the network stack of the operating system. False once the call has
    // ended; `onFailed` reports the state of a failed call.
    virtual bool anythingSent() const = 0;
};

struct OutgoingRequest {
    RequestHead head;
    std::shared_ptr<const std::string> body;
    Duration connectTimeout { 1000 };
    // Maximum idle time of a connection that may be reused for this request; unlimited where not set.
    std::optional<Duration> maxIdleTime;
};

struct EventClientOptions {
    // TCP_USER_TIMEOUT: a connection fails after this time without an acknowledgement by the peer.
    Duration userTimeout { 1000 };
    // Idle time after which a connection is no longer reused, for peers that send no Keep-Alive timeout.
    Duration idleTimeout { 4000 };
    // Fraction of the Keep-Alive timeout sent by the peer during which an idle connection may be reused.
    double idleTimeoutFraction = 0.6;
};

// HTTP/1.1 client on one event loop. Keeps a pool of idle connections for each peer; never retries a request.
class EventClient {
public:
    static std::unique_ptr<EventClient> create(
        boost::asio::io_context& loop, const IClock& clock, EventClientOptions options = {});
    virtual ~EventClient() = default;

    // The observer must outlive the call. It is not called from within `start`.
    virtual std::unique_ptr<ClientCall> start(
        const Endpoint& peer, OutgoingRequest request, IResponseObserver& observer)
        = 0;
    // Opens a connection to the peer and closes it at once. `done` gets how that ended; it is not called from
    // within this call, nor after the client is destroyed.
    virtual void checkConnection(const Endpoint& peer, Duration timeout, std::function<void(ConnectionResult)> done)
        = 0;
    // Number of connections to the peer, idle ones included.
    virtual std::size_t connectionsTo(const Endpoint& peer) const = 0;
    virtual std::size_t idleConnectionsTo(const Endpoint& peer) const = 0;
    // For peers that are no longer in use; calls in progress continue.
    virtual void closeIdleConnectionsTo(const Endpoint& peer) = 0;
    // Number of connections opened since the client was created.
    virtual std::uint64_t connectionsOpened() const = 0;
};

}
