#include "fireflyhaven/store/readtiming.h"

#include <algorithm>

namespace fireflyhaven::store {

namespace {

// A read of the operator's records waits for new ones no longer than this time and this fraction of the revocation
// bound: its result is confirmed only as of the start of the read.
constexpr Duration MAX_OPERATOR_WAIT { 700 };
constexpr double REVOCATION_WAIT_FRACTION = 1.0 / 6;
constexpr Duration UPSTREAM_INTERVAL { 700 };
constexpr Duration UPSTREAM_INTERVAL_TWO_HOPS { 400 };
constexpr Duration STATUS_INTERVAL { 3000 };
constexpr Duration HOST_WAIT { 600 };
constexpr Duration HOST_WAIT_TWO_HOPS { 1000 };
// Fractions of the drain bound. A host whose wait for another host ends without an answer, and that then reads the
// store directly, still meets the bound.
constexpr double DRAIN_WAIT_FRACTION = 0.2;
constexpr double DRAIN_AGE_FRACTION = 0.45;
constexpr Duration MAX_SOURCE_AGE { 2500 };
// The status topic is read at a long interval, so that its data is older.
constexpr Duration MAX_STATUS_SOURCE_AGE { 9000 };

Duration fractionOf(Duration whole, double fraction)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(whole.count()) * fraction));
}

}

FeedOptions ReadTiming::fromStore(Topic topic, bool overTwoHops) const
{
    switch (topic) {
    case Topic::Operator:
        return { .wait = std::min(MAX_OPERATOR_WAIT, fractionOf(m_bounds.revocation, REVOCATION_WAIT_FRACTION)) };
    case Topic::Upstreams:
        return { .interval = overTwoHops ? UPSTREAM_INTERVAL_TWO_HOPS : UPSTREAM_INTERVAL };
    default:
        return { .interval = STATUS_INTERVAL };
    }
}

FeedOptions ReadTiming::fromHost(Topic topic, bool overTwoHops) const
{
    const Duration wait = overTwoHops ? HOST_WAIT_TWO_HOPS : HOST_WAIT;
    if (topic == Topic::Operator)
        return { .wait = std::min(wait, fractionOf(m_bounds.revocation, REVOCATION_WAIT_FRACTION)) };
    if (topic == Topic::Upstreams && overTwoHops)
        return { .wait = fractionOf(m_bounds.upstreamDrain, DRAIN_WAIT_FRACTION) };
    return { .wait = wait };
}

Duration ReadTiming::maxSourceAge(Topic topic, bool overTwoHops) const
{
    if (topic == Topic::Status)
        return MAX_STATUS_SOURCE_AGE;
    if (topic == Topic::Upstreams && overTwoHops)
        return fractionOf(m_bounds.upstreamDrain, DRAIN_AGE_FRACTION);
    return MAX_SOURCE_AGE;
}

}
