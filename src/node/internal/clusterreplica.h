#pragma once

#include "fireflyhaven/cluster/clusterfold.h"
#include "fireflyhaven/cluster/groupwriter.h"
#include "fireflyhaven/membership/membershiptracker.h"
#include "fireflyhaven/node/settings.h"
#include "fireflyhaven/ownership/ownertable.h"
#include "fireflyhaven/peer/heartbeatsocket.h"
#include "fireflyhaven/adapters/logservice.h"
#include "fireflyhaven/telemetry/metrics.h"

#include <thread>

namespace fireflyhaven::node {

// State that this host shares with all others, for use under the replica's lock.
struct ReplicaState {
    cluster::ClusterFold fold;
    membership::MembershipTracker tracker;
    ownership::OwnerTable owners;
};

// What the rest of the process adds to the replica.
struct ReplicaHooks {
    // Completes the report that heartbeats carry.
    std::function<membership::HostReport()> report;
    // Suspensions that a peer's heartbeat told.
    std::function<void(const std::vector<quality::SuspendEntry>&)> onSuspensions;
    // Another host's ratings were folded; called with the lock held.
    std::function<void(const quality::RatingsEntry&)> onPeerRatings;
    // Members or owners have changed; called with the lock held.
    std::function<void(const ReplicaState&)> onGoverning;
    // A member has left the members, however; called with the lock held.
    std::function<void(const HostId&)> onMemberGone;
    // Fetches records from a peer that is ahead; empty where that fails.
    std::function<std::vector<adapters::LogItem>(const membership::HostAddress&, Offset)> fetchFromPeer;
};

// Follows the platform's log, takes part in the membership, and writes records. Owns the threads that do so.
class ClusterReplica {
public:
    ClusterReplica(const NodeSettings& settings, const IClock& clock, telemetry::Metrics& metrics,
        std::unique_ptr<peer::HeartbeatSocket> socket, ReplicaHooks hooks);
    ~ClusterReplica();
    ClusterReplica(const ClusterReplica&) = delete;
    ClusterReplica& operator=(const ClusterReplica&) = delete;

    void start();
    // Ends the threads; no hook is called afterwards.
    void stop();

    // Lists as last accepted; never null.
    std::shared_ptr<const config::Lists> lists() const;
    template <typename Read> auto read(Read&& reader) const
    {
        absl::MutexLock lock(&m_mutex);
        return reader(m_state);
    }

    // Entry to write where a verdict arrives after its waiter has given up.
    using LateFollowUp = std::function<std::optional<cluster::Entry>(const cluster::TicketOutcome&)>;

    // Writes an entry and waits for the fold's verdict on it. Fails with Unavailable where the entry has certainly not
    // been written, and with OutcomeUnknown where it may be; `followUp` then sees the verdict when it comes.
    Result<cluster::TicketOutcome> write(cluster::Entry entry, Duration wait, LateFollowUp followUp = {});
    // Writes an entry without waiting; false where too much waits already.
    bool writeLater(cluster::Entry entry);
    // Waits until the condition on the state holds.
    template <typename Condition> bool await(Condition&& condition, Duration wait) const
    {
        absl::MutexLock lock(&m_mutex);
        const auto holds = [&]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return condition(m_state); };
        return m_mutex.AwaitWithTimeout(absl::Condition(&holds), absl::Milliseconds(wait.count()));
    }

    // Records from `from` on, for a peer that can't read the log.
    std::vector<adapters::LogItem> recentRecords(Offset from) const;
    bool logReachable() const { return m_logReachable; }
    // Whether the lists may be older than the limit: neither the log nor a majority of the region has been heard.
    bool isStale() const;
    bool writesPending() const;
    // Stops acknowledging and sending heartbeats, and leaves the members.
    void leave(Duration wait);
    nlohmann::json dump() const;

private:
    void followLoop();
    void writeLoop();
    void membershipLoop();
    void hostListLoop();
    bool bootstrap();
    bool findSnapshot(Offset first, Offset next);
    void readOnce();
    void catchUpFromPeers();
    void applyItem(const adapters::LogItem& item) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void afterGoverning(const std::map<HostId, Incarnation>& before) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void settle(const cluster::TicketOutcome& verdict) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void perform(const std::vector<membership::TrackerAction>& actions);
    void propose(cluster::Entry entry);
    void maybeSnapshot();
    bool sleepOrStop(Duration time) const;

    const NodeSettings& m_settings;
    const IClock& m_clock;
    telemetry::Metrics& m_metrics;
    const ReplicaHooks m_hooks;
    std::unique_ptr<peer::HeartbeatSocket> m_socket;
    adapters::HttpLogService m_readLog;
    adapters::HttpLogService m_writeLog;
    mutable absl::Mutex m_mutex;
    ReplicaState m_state ABSL_GUARDED_BY(m_mutex);
    cluster::GroupWriter m_writer ABSL_GUARDED_BY(m_mutex);
    const WriterId m_writerId;
    std::shared_ptr<const config::Lists> m_lists ABSL_GUARDED_BY(m_mutex);
    std::deque<adapters::LogItem> m_recent ABSL_GUARDED_BY(m_mutex);
    // Verdicts of tickets that somebody waits for.
    std::map<cluster::Ticket, std::optional<cluster::TicketOutcome>> m_verdicts ABSL_GUARDED_BY(m_mutex);
    std::map<cluster::Ticket, LateFollowUp> m_followUps ABSL_GUARDED_BY(m_mutex);
    std::optional<cluster::Ticket> m_proposal ABSL_GUARDED_BY(m_mutex);
    std::optional<TimePoint> m_snapshotWantedSince ABSL_GUARDED_BY(m_mutex);
    TimePoint m_freshAt ABSL_GUARDED_BY(m_mutex) {};
    bool m_caughtUp ABSL_GUARDED_BY(m_mutex) = false;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::atomic<bool> m_logReachable { false };
    std::atomic<bool> m_leaving { false };
    std::vector<std::thread> m_threads;
};

}
