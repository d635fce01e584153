#pragma once

#include "fireflyhaven/common/result.h"
#include "fireflyhaven/http/types/message.h"

#include <string_view>

namespace fireflyhaven::http {

struct Call {
    std::string method = "GET";
    // Form: "http://IP:port/path".
    std::string url;
    Headers headers;
    std::string body;
    Duration connectTimeout { 1000 };
    Duration timeout { 10000 };
};

// How far a call got.
enum class CallProgress {
    // No part of the request was sent.
    NotSent,
    // The call failed after the request may have reached the peer.
    MaybeReceived,
    // The complete response was received.
    Answered,
};

struct CallOutcome {
    CallProgress progress = CallProgress::NotSent;
    // Complete only if `progress` is Answered; the status is 0 where no response began.
    Response response;
    // Reason of the failure; empty where `progress` is Answered.
    std::string error;
    bool timedOut = false;
    // The response began and is incomplete, or the receiver or the cancellation check stopped the call.
    bool interrupted = false;
};

// Receives the body of the response in pieces, in order; returns false to stop the call.
using BodyReceiver = std::function<bool(int status, std::string_view piece)>;
// Polled several times a second during the call; returns true to stop the call.
using CancellationCheck = std::function<bool()>;

// Performs the call synchronously. Connections are kept alive and reused by later calls of the same thread.
CallOutcome perform(const Call& call);
// As `perform`, but passes the body to `receiver` as it arrives; `CallOutcome::response` has no body.
CallOutcome performStreaming(const Call& call, const BodyReceiver& receiver, const CancellationCheck& isCancelled);

// Performs the call and returns the body of a 2xx response. Fails with ErrorCode::Timeout after a time-out, and with
// ErrorCode::Unavailable after any other error or status.
Result<std::string> fetch(const Call& call);

}
