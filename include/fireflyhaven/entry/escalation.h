#pragma once

#include "fireflyhaven/entry/requesttarget.h"

namespace fireflyhaven::entry {

// Replacement of a response of low confidence by one of a larger model.
struct Escalation {
    std::size_t model = 0;
    // Expected time to the first token of the larger model.
    Duration expected {};
    // Time for which the escalation can be delayed without missing the route's target latency.
    Duration slack {};
};

// Returns no value if the response is good enough, or if the larger model would answer too late or hold up other
// requests. `receivedAt` is the receipt of the caller's request.
std::optional<Escalation> chooseEscalation(FlowContext& context, const RequestTarget& target,
    const catalog::Route& route, int confidence, TimePoint receivedAt, TimePoint now);

}
