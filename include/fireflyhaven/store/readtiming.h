#pragma once

#include "fireflyhaven/store/keyedfeed.h"

namespace fireflyhaven::store {

// Times within which news of the store have to be known.
struct ReadBounds {
    // Keys that were taken away open nothing any more.
    Duration revocation { 5000 };
    // A leaving upstream gets no new request.
    Duration upstreamDrain { 2000 };
};

// A read from another host that is not answered within its wait and this time has failed.
constexpr Duration RELAY_TIMEOUT { 400 };
// One that waits for no news, after another source has failed, has failed after this time.
constexpr Duration SUBSTITUTE_TIMEOUT { 200 };

// How the topics of the store are read: how often and how long a read waits for news, from the store itself or from
// another host, and how old another host's knowledge may be. Where many hosts follow over two steps, the delays of both
// add up, so that each is shorter. Does no I/O.
class ReadTiming {
public:
    explicit ReadTiming(const ReadBounds& bounds)
        : m_bounds(bounds)
    {
    }

    FeedOptions fromStore(Topic topic, bool overTwoSteps) const;
    FeedOptions fromHost(Topic topic, bool overTwoSteps) const;
    // Older knowledge of another host is not taken; this one reads for itself instead.
    Duration oldestFromHost(Topic topic, bool overTwoSteps) const;

private:
    ReadBounds m_bounds;
};

}
