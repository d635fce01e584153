#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/fleet/hosttable.h"

#include <map>

namespace fireflyhaven::store {

struct ReadSourceOptions {
    // After a failed read from another host, this host does not select it again for this time, and reads the store
    // directly; in a layered fleet only as `substitutes` and `maxFailedSources` allow.
    Duration directReadPeriod { 2000 };
    // A host whose last call to the store failed retries the store after this time at the latest. The time differs by
    // host and attempt, so that hosts which lose the store together do not call it together when it is back.
    Duration storeRetry { 1000 };
    // In a layered fleet, the first `substitutes` hosts of each data centre read the store directly as soon as one
    // source fails, the others after `maxFailedSources`.
    std::size_t substitutes = 2;
    std::size_t maxFailedSources = 2;
    // After its start, a host waits this long for a report of another host before it reads the store.
    Duration startupPeerWait { 400 };
    // For this long after its start, a host tolerates failed reads from other hosts, which may have read nothing yet.
    Duration startupReadGrace { 1200 };
};

// Chooses the source from which a host reads the topics of the store. One host reads the store for all: the first by
// rendezvous hash among those that reach it. The others read from that host, and from the store where such a read
// fails. In a layered fleet, a host reads from the first host of its data centre, by rank, that reaches the store. One
// of these first hosts, by rendezvous hash, reads the store, and the others read from it. A failed source is replaced
// by the next host, so that the loss of a reader or of the store does not make all hosts call the store. Without a way
// to the store, a host returns to the sources that failed rather than to none. Does no I/O.
class ReadSourceSelector {
public:
    explicit ReadSourceSelector(ReadSourceOptions options = {});

    // The host to read from; no value for the store itself.
    std::optional<HostId> source(const fleet::HostTable& hosts, TimePoint now) const;
    // Begins the two waiting times after a start; they are longer where all hosts start `together`.
    void onStart(bool together, TimePoint now);
    // Whether a host without another source should not read the store yet: after its start, until another host has
    // reported or `startupPeerWait` is over; in a layered fleet also until it may retry a failed call.
    bool mustWait(const fleet::HostTable& hosts, TimePoint now) const;
    void onStoreRead(bool succeeded, TimePoint now);
    // A read from this other host failed.
    void onPeerFailed(const fleet::HostTable& hosts, const HostId& source, TimePoint now);
    // Whether this host is among those of its data centre that read the store as soon as one source fails.
    bool isSubstitute(const fleet::HostTable& hosts, TimePoint now) const;
    // Whether a read from this other host failed a short time ago.
    bool hasFailed(const HostId& source, TimePoint now) const;
    // Whether this host reads the store directly because of failed reads from other hosts.
    bool readsDirectly(TimePoint now) const { return now < m_directReadUntil; }
    // Whether this host's last call to the store succeeded; true before the first one.
    bool reachesStore() const { return m_reachesStore; }

private:
    std::optional<HostId> flatSource(const fleet::HostTable& hosts, TimePoint now) const;
    std::optional<HostId> layeredSource(const fleet::HostTable& hosts, TimePoint now) const;
    // Of the live hosts that reach the store, the one whose failure is the longest ago.
    std::optional<HostId> earliestFailedSource(const fleet::HostTable& hosts, TimePoint now) const;
    bool haveSourcesFailed(TimePoint now) const;
    // Whether enough time has passed since this host's last call to the store.
    bool mayTryStore(const fleet::HostTable& hosts, TimePoint now) const;

    const ReadSourceOptions m_options;
    bool m_reachesStore = true;
    TimePoint m_peerWaitUntil {};
    TimePoint m_readGraceUntil {};
    TimePoint m_lastStoreReadAt {};
    // Counts the calls to the store.
    std::uint64_t m_storeReads = 0;
    TimePoint m_directReadUntil {};
    // Hosts from which a read failed, and until when they are not selected again.
    std::map<HostId, TimePoint> m_failedSources;
};

}
