#pragma once

#include "fireflyhaven/store/keyedfeed.h"

namespace fireflyhaven::store {

// Maximum times from a change in the store until every host acts on it.
struct PropagationBounds {
    // A revoked API key is no longer accepted.
    Duration revocation { 5000 };
    // A draining upstream receives no new requests.
    Duration upstreamDrain { 2000 };
};

// A read from another host fails where the answer takes longer than the wait of the read plus this time.
constexpr Duration RELAY_TIMEOUT { 400 };
// Time-out of a read from another host that does not wait for new records. Such reads follow the failure of another
// source.
constexpr Duration FALLBACK_SOURCE_TIMEOUT { 200 };

// Timing of the reads of each topic, from the store or from another host: the interval between reads, the time for
// which a read waits for new records, and the maximum age of another host's data. Where hosts read over two hops, the
// delays of both hops add up, so that each has to be shorter. Does no I/O.
class ReadTiming {
public:
    explicit ReadTiming(const PropagationBounds& bounds)
        : m_bounds(bounds)
    {
    }

    FeedOptions fromStore(Topic topic, bool overTwoHops) const;
    FeedOptions fromHost(Topic topic, bool overTwoHops) const;
    // Maximum age of another host's data. Older data counts as a failed read, and another source is selected.
    Duration maxSourceAge(Topic topic, bool overTwoHops) const;

private:
    PropagationBounds m_bounds;
};

}
