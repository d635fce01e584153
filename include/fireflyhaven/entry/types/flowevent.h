#pragma once

#include "fireflyhaven/catalog/types/configuration.h"
#include "fireflyhaven/entry/types/request.h"
#include "fireflyhaven/poison/poisonguard.h"

#include <string_view>

namespace fireflyhaven::entry {

// A decision or an observation in the processing of a request.
enum class FlowStep {
    // The request matches no route or carries no valid API key.
    Rejected,
    // Placed in a service queue until an upstream can take it.
    Queued,
    Sent,
    // The head of a successful response arrived.
    FirstToken,
    // Sent to a larger model because the response's confidence was too low.
    Escalated,
    // Sent again after a failed attempt.
    Retried,
    // A partly delivered stream is continued by a new attempt.
    Resumed,
    // An attempt failed or was cancelled without progress.
    AttemptFailed,
    // An upstream's complete response was forwarded; it may be an error response.
    Answered,
    // This host responded that the request has not run.
    Refused,
    // This host responded with an error, and the request may have run.
    Failed,
    // The response was broken off after part of it was sent.
    Aborted,
    CallerLeft,
    // A response names a request limit of its upstream that this host did not know.
    LimitNamed,
    // A response shows that its upstream no longer has a request limit.
    LimitEnded,
    // A response names a request limit that cannot be read; what was known of it stays in force.
    LimitUnreadable,
    // A response holds a load figure that cannot be read; the other figures are used.
    LoadUnreadable,
};

struct FlowEvent {
    FlowStep step = FlowStep::Sent;
    const CallerRequest& request;
    const catalog::Route* route = nullptr;
    // Time since the request was received.
    Duration elapsed {};
    std::optional<UpstreamId> upstream;
    catalog::ModelName model;
    int status = 0;
    // Cause of the step, as a short text for the log.
    std::string_view reason;
    // Confidence of the response that the step is based on, 0 to 100.
    std::optional<int> confidence;
    // Predicted time from the send to the first token.
    std::optional<Duration> expected;
    // Measured time from the send to the response head.
    std::optional<Duration> observed;
    std::optional<Duration> retryAfter;
    // Time since the head of the attempt's response arrived; no value if none has. Set for failed attempts.
    std::optional<Duration> sinceHead;
    // Request limit of the upstream, as far as this host knows it.
    std::optional<RequestRate> limit;
    // Set where the request is refused because it, or a part of its prompt, crashes upstreams.
    std::optional<poison::Refusal> refusal;
    int sends = 0;
    catalog::ConfigurationVersion configuration;
    // Time since this host last confirmed the operator's records; negative if it never did.
    Duration configurationAge {};
};

const char* flowStepName(FlowStep step);

// Receives every step of every request.
class IFlowObserver {
public:
    virtual ~IFlowObserver() = default;
    virtual void onFlowEvent(const FlowEvent& event) = 0;
};

}
