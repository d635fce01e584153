#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/fleet/hosttable.h"

#include <map>

namespace fireflyhaven::store {

struct ReaderChoiceOptions {
    // After a failed read from another host this one reads for itself for this long.
    Duration ownReading { 2000 };
    // A host whose own calls to the store fail tries one again after this time.
    Duration storeRetry { 1500 };
    // Where hosts are many, the first of each data centre that read for themselves as soon as their source fails. The
    // others do so after this many failed sources, and share their tries of the store among them.
    std::size_t substitutes = 2;
    std::size_t mostFailedSources = 2;
    std::size_t hostsTrying = 4;
    // A host that has just started waits so long to hear another one before it reads for itself,
    Duration startAlone { 400 };
    // and so long for what the other one has read. Longer where all hosts start together.
    Duration startPatience { 1200 };
};

// Chooses where a host reads what the store holds: one host reads the store for all, the first by rendezvous hash among
// those that reach it; the others read from that host, and for themselves where it fails them. Where the hosts are
// many, each reads from the first one of its data centre, and of these all but one read from that one; a source that
// fails is replaced by the next one, so that a lost reader or a lost store is not answered by calls of all. Does no
// I/O.
class ReaderChoice {
public:
    explicit ReaderChoice(ReaderChoiceOptions options = {});

    // The host to read from; no value for the store itself.
    std::optional<HostId> source(const fleet::HostTable& hosts, TimePoint now) const;
    // This host starts, with others where `together`.
    void onStart(bool together, TimePoint now);
    // Whether this host should not read the store yet, since another one may be about to.
    bool mustWait(const fleet::HostTable& hosts, TimePoint now) const;
    void onStoreRead(bool succeeded, TimePoint now);
    // A read from this other host failed.
    void onPeerFailed(const fleet::HostTable& hosts, const HostId& source, TimePoint now);
    // Whether a failed read from another host makes this one read for itself.
    bool readsOwn(TimePoint now) const { return now < m_readOwnUntil; }
    // Whether this host's own calls to the store succeed, as far as it knows.
    bool reachesStore() const { return m_reachesStore; }

private:
    std::optional<HostId> sourceOfMany(const fleet::HostTable& hosts, TimePoint now) const;
    bool hasFailed(const HostId& source, TimePoint now) const;
    bool haveSourcesFailed(TimePoint now) const;
    bool isSubstitute(const fleet::HostTable& hosts, TimePoint now) const;
    // Whether this host's turn to try the store has come, some time after its last call there.
    bool mayTryStore(const fleet::HostTable& hosts, TimePoint now) const;

    const ReaderChoiceOptions m_options;
    bool m_reachesStore = true;
    TimePoint m_aloneUntil {};
    TimePoint m_patientUntil {};
    TimePoint m_triedAt {};
    TimePoint m_readOwnUntil {};
    // Other hosts whose answers failed, and until when they are not asked.
    std::map<HostId, TimePoint> m_failedSources;
};

}
