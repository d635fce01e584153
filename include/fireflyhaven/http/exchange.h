#pragma once

#include "fireflyhaven/http/types/head.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace fireflyhaven::http {

// Receives connection events of the caller while its request is being processed.
class IExchangeObserver {
public:
    virtual ~IExchangeObserver() = default;
    // The connection to the caller is closed. Data sent after this is discarded.
    virtual void onCallerDisconnected() = 0;
    // The number of unsent bytes dropped below Exchange::MAX_UNSENT_BYTES.
    virtual void onWritable() = 0;
};

// One request and its response. Not thread-safe: use it on the thread of its event loop only.
class Exchange {
public:
    // Number of unsent bytes from which the sender should pause until `onWritable`.
    static constexpr std::size_t MAX_UNSENT_BYTES = 64 * 1024;

    virtual ~Exchange() = default;

    virtual const RequestHead& head() const = 0;
    // Shared, so that the body can still be sent to an upstream after the caller disconnected.
    virtual std::shared_ptr<const std::string> body() const = 0;
    // Address of the caller as "IP:port".
    virtual const std::string& peer() const = 0;

    // The observer must outlive the exchange, or be replaced by null before the observer is destroyed.
    virtual void setObserver(IExchangeObserver* observer) = 0;
    // Without a length the body is sent with chunked encoding; for HTTP/1.0 callers the end of the connection ends it.
    virtual void sendHead(const ResponseHead& head, std::optional<std::uint64_t> bodyBytes) = 0;
    virtual void sendBodyData(std::string_view piece) = 0;
    // Marks the response as complete.
    virtual void finish() = 0;
    // Closes the connection without a regular end of the response, so that the caller detects the truncation.
    virtual void abort() = 0;
    virtual std::size_t unsentBytes() const = 0;
    // Whether the caller has closed its connection, also if no handler has run for that yet, as after a freeze.
    virtual bool hasCallerLeft() const = 0;

    // Sends a complete response.
    void sendResponse(const ResponseHead& head, std::string_view body);
};

using ExchangeHandler = std::function<void(std::shared_ptr<Exchange>)>;

}
