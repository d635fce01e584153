#pragma once

#include "fireflyhaven/http/types/head.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace fireflyhaven::http {

// Told of what happens to a request's caller while the request is being answered.
class IExchangeObserver {
public:
    virtual ~IExchangeObserver() = default;
    // The caller closed or lost its connection; nothing more can be sent.
    virtual void onCallerGone() = 0;
    // Fewer bytes wait to be sent than Exchange::MAX_UNSENT_BYTES again.
    virtual void onWritable() = 0;
};

// One request of a caller and the way to answer it. Belongs to the thread of its event loop.
class Exchange {
public:
    // Number of bytes that may wait for the caller before the sender should pause.
    static constexpr std::size_t MAX_UNSENT_BYTES = 64 * 1024;

    virtual ~Exchange() = default;

    virtual const RequestHead& head() const = 0;
    // Shared, so that a request can be sent upstream while its caller is already gone.
    virtual std::shared_ptr<const std::string> body() const = 0;
    // Address of the caller, "IP:port".
    virtual const std::string& peer() const = 0;

    // The observer must outlive the exchange or be reset to null.
    virtual void observe(IExchangeObserver* observer) = 0;
    // Sends the head. Without a length the body is sent in chunks.
    virtual void sendHead(const ResponseHead& head, std::optional<std::uint64_t> bodyBytes) = 0;
    virtual void sendPiece(std::string_view piece) = 0;
    // Ends the answer as complete.
    virtual void finish() = 0;
    // Breaks the connection, so that the answer can't be taken for a complete one.
    virtual void abort() = 0;
    virtual std::size_t unsentBytes() const = 0;

    // Sends a whole answer.
    void answer(const ResponseHead& head, std::string_view body);
};

using ExchangeHandler = std::function<void(std::shared_ptr<Exchange>)>;

}
