#pragma once

#include "fireflyhaven/store/keyedfeed.h"

namespace fireflyhaven::store {

// Maximum times from a change in the store until every host acts on it.
struct PropagationBounds {
    // A configuration is in force.
    Duration configuration { 2000 };
    // A revoked API key is no longer accepted.
    Duration revocation { 5000 };
    // A draining upstream receives no new requests.
    Duration upstreamDrain { 2000 };
    // An evacuated data centre receives no new requests.
    Duration evacuation { 5000 };
    // A host whose way to the store comes back is current again, and a host that starts is current.
    Duration reachable { 3000 };
};

// A read from another host fails where the answer takes longer than the wait of the read plus this time.
constexpr Duration RELAY_TIMEOUT { 400 };
// Time-out of a read from another host that does not wait for new records. Such reads follow the failure of another
// source.
constexpr Duration FALLBACK_SOURCE_TIMEOUT { 200 };
// The store answers a call within this time, beyond the wait of the read; otherwise the read counts as failed.
constexpr Duration STORE_ANSWER_TIME { 300 };
// The same after several reads without an answer, so that a slow store is read at all.
constexpr Duration MAX_STORE_ANSWER_TIME = STORE_ANSWER_TIME * 4;
// An answer that has begun to arrive counts as failed when no more of it arrives for this long: large records take
// longer to transfer on a slow link than a source has to begin its answer.
constexpr Duration ANSWER_SILENCE { 400 };
// In a layered fleet, hosts that are not substitutes give up a source at most this much later.
constexpr Duration SUBSTITUTE_HEAD_START { 250 };

// Timing of the reads of each topic, from the store or from another host: the interval between reads, the time for
// which a read waits for new records, and the maximum age of another host's data. All follow from the topic's
// propagation bound, which holds also where a source fails:
//
//   a host gives up its source      at an age of `maxSourceAge` (others than substitutes `SUBSTITUTE_HEAD_START` later)
//   it asks another host            `FALLBACK_SOURCE_TIMEOUT`, in a layered fleet, or where it fails to read the store
//   it reads the store              `STORE_ANSWER_TIME`
//
// While nothing fails, a reading host passes each confirmation on at once, so that the ages of all hosts stay at the
// interval or wait of the read of the store. Does no I/O.
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
    // In a layered fleet, hosts that are not substitutes give up a source this much later than those that are.
    Duration substituteHeadStart(Topic topic) const;
    // Maximum time until a change of the topic is in force.
    Duration bound(Topic topic) const;

private:
    PropagationBounds m_bounds;
};

}
