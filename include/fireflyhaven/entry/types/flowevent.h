#pragma once

#include "fireflyhaven/catalog/types/configuration.h"
#include "fireflyhaven/entry/types/request.h"

#include <string_view>

namespace fireflyhaven::entry {

// A decision or an observation on the way of a request.
enum class FlowStep {
    // It found no route, no key, or no configuration.
    Rejected,
    // It waits until an upstream can take it.
    Queued,
    Sent,
    // The head of a good answer came.
    FirstToken,
    // A larger model is asked, since the answer's confidence was too low.
    Escalated,
    // Another upstream is asked after a failure.
    Retried,
    // A stream goes on at another upstream.
    Resumed,
    // An attempt failed, or was given up.
    AttemptFailed,
    // An upstream's answer was passed on as a whole, a failure of the upstream's own included.
    Answered,
    // The system answered in its own name that the request has not run.
    Refused,
    // The system answered in its own name, and the request may have run.
    Failed,
    // The answer was broken off midway.
    Aborted,
    CallerLeft,
};

struct FlowEvent {
    FlowStep step = FlowStep::Sent;
    const CallerRequest& request;
    const catalog::Route* route = nullptr;
    // Since the request was received.
    Duration elapsed {};
    std::optional<UpstreamId> upstream;
    catalog::ModelName model;
    int status = 0;
    // What decided it, in a few words.
    std::string_view reason;
    // Figures that decided it, where there are any.
    std::optional<int> confidence;
    std::optional<Duration> expected;
    // Time from the send to the head of the answer.
    std::optional<Duration> observed;
    std::optional<Duration> retryAfter;
    int sends = 0;
    catalog::ConfigurationVersion configuration;
    // Age of what the host knows of the operator's records.
    Duration configurationAge {};
};

const char* flowStepName(FlowStep step);

// Told of each step of each request.
class IFlowObserver {
public:
    virtual ~IFlowObserver() = default;
    virtual void onFlowEvent(const FlowEvent& event) = 0;
};

}
