#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/fleet/hosttable.h"

namespace fireflyhaven::store {

struct ReaderChoiceOptions {
    // After a failed read from another host this one reads for itself for this long.
    Duration ownReading { 2000 };
    // A host whose own calls to the store fail tries one again after this time.
    Duration storeRetry { 1500 };
};

// Chooses where a host reads what the store holds: one host reads the store for all, the first by rendezvous hash among
// those that reach it; the others read from that host, and for themselves where it fails them. Does no I/O.
class ReaderChoice {
public:
    explicit ReaderChoice(ReaderChoiceOptions options = {});

    // The host to read from; no value for the store itself.
    std::optional<HostId> source(const fleet::HostTable& hosts, TimePoint now) const;
    void onStoreRead(bool succeeded, TimePoint now);
    void onPeerFailed(TimePoint now);
    // Whether this host's own calls to the store succeed, as far as it knows.
    bool reachesStore() const { return m_reachesStore; }

private:
    const ReaderChoiceOptions m_options;
    bool m_reachesStore = true;
    TimePoint m_triedAt {};
    TimePoint m_readOwnUntil {};
};

}
