#pragma once

#include "fireflyhaven/entry/flowcontext.h"

namespace fireflyhaven::entry {

// Takes what a response says of its upstream's request limit. Returns the step to report; no value if nothing changed.
std::optional<FlowStep> applyLimitNotice(
    FlowContext& context, const balancing::Ticket& ticket, const ResponseInfo& response, TimePoint now);

}
