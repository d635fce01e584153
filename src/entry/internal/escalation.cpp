#include "fireflyhaven/entry/escalation.h"

#include <algorithm>

namespace fireflyhaven::entry {

namespace {

// Whether the service's upstreams have too much pending prefill to take a larger model's prompt as well.
bool isCongested(const FlowContext& context, const RequestTarget& target, const catalog::Route& route,
    const balancing::LatencyEstimate& estimate)
{
    if (estimate.queueingTime <= context.options.uncongestedWait)
        return false;
    const Duration latencyTarget = context.catalog.minTargetLatency(target.service()).value_or(route.targetLatency);
    const Duration backlog = estimate.queueingTime + estimate.processingTime / 2;
    return static_cast<double>(backlog.count())
        > context.options.escalationTargetFraction * static_cast<double>(latencyTarget.count());
}

}

std::optional<Escalation> chooseEscalation(FlowContext& context, const RequestTarget& target,
    const catalog::Route& route, int confidence, TimePoint receivedAt, TimePoint now)
{
    const std::size_t largest = target.models().size() - 1;
    const auto estimate
        = context.balancer.estimateLatency(target.requirements(largest, now), context.host.sendingHostCount(now), now);
    if (!estimate)
        return std::nullopt;
    const Duration slack = receivedAt + route.targetLatency - (now + estimate->timeToFirstToken());
    const bool inTime = slack >= Duration(0) && !isCongested(context, target, route, *estimate);
    const auto next
        = context.escalationPolicy.next(target.service(), target.models(), target.modelIndex(), confidence, inTime);
    if (!next)
        return std::nullopt;
    return Escalation {
        .model = *next, .expected = estimate->timeToFirstToken(), .slack = std::max(Duration(0), slack)
    };
}

}
