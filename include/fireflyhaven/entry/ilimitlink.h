#pragma once

#include "fireflyhaven/admission/admissionqueue.h"
#include "fireflyhaven/balancing/balancer.h"
#include "fireflyhaven/ratelimit/types/permit.h"

namespace fireflyhaven::entry {

// A host's link to the others in matters of the request limits of upstreams.
class ILimitLink {
public:
    virtual ~ILimitLink() = default;
    // Asks for the permit to send a request to a limited upstream. `request` identifies the flow that asks. The answer
    // arrives later, as a call of `RequestFlow::onPermitDecision`, or never.
    virtual void requestPermit(admission::TicketId request, const balancing::PermitNeed& need) = 0;
    // Tells the other hosts what an answer has changed in the table of limits.
    virtual void announceLimits() = 0;
};

}
