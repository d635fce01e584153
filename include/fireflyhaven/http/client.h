#pragma once

#include "fireflyhaven/common/result.h"
#include "fireflyhaven/http/types/message.h"

#include <string_view>

namespace fireflyhaven::http {

struct Call {
    std::string method = "GET";
    // "http://IP:port/path"
    std::string url;
    Headers headers;
    std::string body;
    Duration connectTimeout { 1000 };
    Duration timeout { 10000 };
};

// How far a call got before it failed.
enum class Reached {
    // The request was certainly not sent.
    NotSent,
    // The request may have been received.
    MaybeReceived,
    Answered,
};

struct CallOutcome {
    Reached reached = Reached::NotSent;
    // Set where `reached` is Answered.
    Response response;
    // Set where the call failed.
    std::string error;
    bool timedOut = false;
    // The answer began and was cut off, or the receiver stopped it.
    bool cut = false;
};

// Receives the pieces of an answer's body; returns false to stop the call.
using PieceReceiver = std::function<bool(int status, std::string_view piece)>;
// Asked several times a second; returns true to stop the call.
using Cancelled = std::function<bool()>;

// Performs the call on this thread. Connections are kept open and used again by later calls of the same thread.
CallOutcome perform(const Call& call);
// Streams the body to `receiver` instead of collecting it.
CallOutcome performStreaming(const Call& call, const PieceReceiver& receiver, const Cancelled& cancelled);

// Calls `perform` and turns everything but an answer with status 2xx into a failure.
Result<std::string> fetch(const Call& call);

}
