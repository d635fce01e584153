#include "fireflyhaven/store/readtiming.h"

#include <algorithm>

namespace fireflyhaven::store {

namespace {

// A read of the operator's records may wait this long for news, and no longer than this part of the bound for keys that
// were taken away: what it shows is as old as its beginning.
constexpr Duration OPERATOR_WAIT { 700 };
constexpr double REVOCATION_PART = 1.0 / 6;
constexpr Duration UPSTREAM_INTERVAL { 700 };
constexpr Duration UPSTREAM_INTERVAL_OF_TWO_STEPS { 400 };
constexpr Duration STATUS_INTERVAL { 3000 };
constexpr Duration HOST_WAIT { 600 };
constexpr Duration HOST_WAIT_OF_TWO_STEPS { 1000 };
// Parts of the time within which a leaving upstream is to be left: a host that waited and then reads for itself is
// still in time.
constexpr double DRAIN_PART_WAITED = 0.2;
constexpr double DRAIN_PART_OLD = 0.45;
constexpr Duration OLDEST { 2500 };
// Statuses are read seldom.
constexpr Duration OLDEST_STATUS { 9000 };

Duration part(Duration whole, double share)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(whole.count()) * share));
}

}

FeedOptions ReadTiming::fromStore(Topic topic, bool overTwoSteps) const
{
    switch (topic) {
    case Topic::Operator:
        return { .wait = std::min(OPERATOR_WAIT, part(m_bounds.revocation, REVOCATION_PART)) };
    case Topic::Upstreams:
        return { .interval = overTwoSteps ? UPSTREAM_INTERVAL_OF_TWO_STEPS : UPSTREAM_INTERVAL };
    default:
        return { .interval = STATUS_INTERVAL };
    }
}

FeedOptions ReadTiming::fromHost(Topic topic, bool overTwoSteps) const
{
    const Duration wait = overTwoSteps ? HOST_WAIT_OF_TWO_STEPS : HOST_WAIT;
    if (topic == Topic::Operator)
        return { .wait = std::min(wait, part(m_bounds.revocation, REVOCATION_PART)) };
    if (topic == Topic::Upstreams && overTwoSteps)
        return { .wait = part(m_bounds.upstreamDrain, DRAIN_PART_WAITED) };
    return { .wait = wait };
}

Duration ReadTiming::oldestFromHost(Topic topic, bool overTwoSteps) const
{
    if (topic == Topic::Status)
        return OLDEST_STATUS;
    if (topic == Topic::Upstreams && overTwoSteps)
        return part(m_bounds.upstreamDrain, DRAIN_PART_OLD);
    return OLDEST;
}

}
