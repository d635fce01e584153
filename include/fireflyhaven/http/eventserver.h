#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/result.h"
#include "fireflyhaven/http/exchange.h"
#include "fireflyhaven/http/memorybudget.h"
#include "fireflyhaven/http/types/endpoint.h"

#include <boost/asio/io_context.hpp>

namespace fireflyhaven::http {

// Limits on the size of a request and on the time that a caller may take.
struct RequestLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    // Maximum time from the first byte of a request to the end of its head.
    Duration headerTimeout { 3000 };
    // Maximum time without progress: between requests, within a request body, and while the caller reads a response.
    Duration idleTimeout { 15000 };
};

struct EventServerOptions {
    Endpoint listen;
    std::size_t maxConnections = 2000;
    RequestLimits limits;
    // Shared by all servers of a process; not limited where null.
    std::shared_ptr<MemoryBudget> memory;
};

// HTTP/1.1 server on one event loop. Passes complete requests to the handler; the requests of one connection are
// processed one at a time, in order.
class EventServer {
public:
    static Result<std::unique_ptr<EventServer>> start(
        boost::asio::io_context& loop, const IClock& clock, EventServerOptions options, ExchangeHandler handler);
    virtual ~EventServer() = default;

    // Size limits apply to requests that begin after this call, timeouts to open connections as well.
    virtual void setLimits(const RequestLimits& limits) = 0;
    // Each response whose head is sent after this call has the header "Connection: close" and ends its connection.
    virtual void closeAfterResponses() = 0;
    // Closes the connections that have neither a request in progress nor unsent data.
    virtual void closeIdleConnections() = 0;
    // Accepts no further connections; open connections are not affected.
    virtual void stopListening() = 0;
    virtual std::size_t openConnections() const = 0;
    // Number of requests that were passed to the handler and whose responses are not finished.
    virtual std::size_t openExchanges() const = 0;
};

}
