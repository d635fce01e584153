#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/result.h"
#include "fireflyhaven/http/exchange.h"
#include "fireflyhaven/http/types/endpoint.h"

#include <boost/asio/io_context.hpp>

namespace fireflyhaven::http {

// What a caller may send, and how long it may take.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    // Longest time from the first byte of a request to the end of its head.
    Duration headerTimeout { 3000 };
    // Longest time without progress: between requests, within a body, and while an answer is being taken.
    Duration idleTimeout { 15000 };
};

struct EventServerOptions {
    Endpoint listen;
    std::size_t maxConnections = 2000;
    CallerLimits limits;
};

// HTTP/1.1 server on one event loop. Hands over whole requests; requests on one connection are handled in turn.
class EventServer {
public:
    static Result<std::unique_ptr<EventServer>> start(
        boost::asio::io_context& loop, const IClock& clock, EventServerOptions options, ExchangeHandler handler);
    virtual ~EventServer() = default;

    // Holds for requests whose head has not been read yet.
    virtual void setLimits(const CallerLimits& limits) = 0;
    // From now on answers close their connection.
    virtual void closeAfterAnswers() = 0;
    // Closes the connections on which no request is under way.
    virtual void closeIdle() = 0;
    // Takes no new connections; those open go on.
    virtual void stopListening() = 0;
    virtual std::size_t openConnections() const = 0;
    // Requests handed over and not answered yet.
    virtual std::size_t openExchanges() const = 0;
};

}
