#include "fireflyhaven/store/readtiming.h"

#include <algorithm>

namespace fireflyhaven::store {

namespace {

constexpr Duration MAX_OPERATOR_WAIT { 700 };
constexpr double OPERATOR_WAIT_FRACTION = 0.25;
constexpr Duration MAX_UPSTREAM_INTERVAL { 700 };
constexpr double UPSTREAM_INTERVAL_FRACTION = 0.3;
constexpr Duration UPSTREAM_INTERVAL_TWO_HOPS { 400 };
constexpr Duration STATUS_INTERVAL { 3000 };
constexpr Duration HOST_WAIT { 600 };
constexpr Duration HOST_WAIT_TWO_HOPS { 1000 };
// A read from another host waits longer than that host waits for the store, so that it is answered with a confirmation.
constexpr Duration HOST_WAIT_MARGIN { 400 };
constexpr double DRAIN_WAIT_FRACTION = 0.2;
// Fraction of a bound at which a host gives up its source. What is left of the bound is for reading elsewhere.
constexpr double SOURCE_AGE_FRACTION = 0.45;
constexpr double HEAD_START_FRACTION = 0.125;
// The status topic is read at a long interval, so that its data is older.
constexpr Duration MAX_STATUS_SOURCE_AGE { 9000 };

Duration fractionOf(Duration whole, double fraction)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(whole.count()) * fraction));
}

}

Duration ReadTiming::bound(Topic topic) const
{
    if (topic == Topic::Upstreams)
        return m_bounds.upstreamDrain;
    return std::min({ m_bounds.configuration, m_bounds.revocation, m_bounds.evacuation });
}

FeedOptions ReadTiming::fromStore(Topic topic, bool overTwoHops) const
{
    switch (topic) {
    case Topic::Operator:
        return { .wait = std::min(MAX_OPERATOR_WAIT, fractionOf(bound(topic), OPERATOR_WAIT_FRACTION)),
            .maxTailAge = bound(topic) };
    case Topic::Upstreams:
        return { .interval = overTwoHops
                ? UPSTREAM_INTERVAL_TWO_HOPS
                : std::min(MAX_UPSTREAM_INTERVAL, fractionOf(bound(topic), UPSTREAM_INTERVAL_FRACTION)),
            .maxTailAge = bound(topic) };
    default:
        return { .interval = STATUS_INTERVAL };
    }
}

FeedOptions ReadTiming::fromHost(Topic topic, bool overTwoHops) const
{
    if (topic == Topic::Operator)
        return { .wait = fromStore(topic, overTwoHops).wait + HOST_WAIT_MARGIN };
    if (topic == Topic::Upstreams && overTwoHops)
        return { .wait = fractionOf(bound(topic), DRAIN_WAIT_FRACTION) };
    if (topic == Topic::Upstreams)
        return { .wait = fromStore(topic, overTwoHops).interval + HOST_WAIT_MARGIN };
    return { .wait = overTwoHops ? HOST_WAIT_TWO_HOPS : HOST_WAIT };
}

Duration ReadTiming::substituteHeadStart(Topic topic) const
{
    return std::min(SUBSTITUTE_HEAD_START, fractionOf(bound(topic), HEAD_START_FRACTION));
}

Duration ReadTiming::maxSourceAge(Topic topic, bool /*overTwoHops*/) const
{
    return topic == Topic::Status ? MAX_STATUS_SOURCE_AGE : fractionOf(bound(topic), SOURCE_AGE_FRACTION);
}

}
