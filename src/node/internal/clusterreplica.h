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

// State replicated through the log, this host's view of the other members, and the owners of upstreams that follow from
// the lists and members. Guarded by the replica's lock.
struct ReplicaState {
    cluster::ClusterFold fold;
    membership::MembershipTracker tracker;
    ownership::OwnerTable owners;
};

// Callbacks by which the replica uses the other services of the process.
struct ReplicaHooks {
    // Builds the report that heartbeats carry; the replica and the tracker add their own fields.
    std::function<membership::HostReport()> report;
    // A peer's heartbeat carried suspensions. Called without the lock.
    std::function<void(const std::vector<quality::SuspendEntry>&)> onSuspensions;
    // A log record with another host's ratings was applied. Called with the lock held.
    std::function<void(const quality::RatingsEntry&)> onPeerRatings;
    // A governing record or a snapshot was applied: lists, members or suspensions may have changed, and with them the
    // owners of upstreams. Called with the lock held.
    std::function<void(const ReplicaState&)> onGoverningChange;
    // An incarnation of a host is no longer a member: it has left, was evicted or has joined anew. Called with the lock
    // held.
    std::function<void(const HostId&)> onMemberLeft;
    // Fetches records from a peer that has applied more of the log. Returns no records on failure.
    std::function<std::vector<adapters::LogRecord>(const membership::HostAddress&, Offset)> fetchFromPeer;
};

// Replica of the cluster state: reads the platform's log, exchanges heartbeats with the members of the region, and
// writes records to the log. Owns the threads that do this.
class ClusterReplica {
public:
    ClusterReplica(const NodeSettings& settings, const IClock& clock, telemetry::Metrics& metrics,
        std::unique_ptr<peer::HeartbeatSocket> socket, ReplicaHooks hooks);
    ~ClusterReplica();
    ClusterReplica(const ClusterReplica&) = delete;
    ClusterReplica& operator=(const ClusterReplica&) = delete;

    void start();
    // Stops and joins the threads. No hook is called afterwards.
    void stop();

    // The configuration lists accepted last; never null.
    std::shared_ptr<const config::Lists> lists() const;
    template <typename Read> auto read(Read&& reader) const
    {
        absl::MutexLock lock(&m_mutex);
        return reader(m_state);
    }

    // Called with an outcome that arrives after `write` has timed out. Returns an entry to write in response, if any.
    using LateOutcomeHandler = std::function<std::optional<cluster::Entry>(const cluster::TicketOutcome&)>;

    // Writes an entry and waits until it is read back from the log and applied; returns the outcome. Fails with
    // Unavailable if the entry was certainly not written, and with OutcomeUnknown if it may have been or may still be;
    // `onLateOutcome` then receives a late outcome.
    Result<cluster::TicketOutcome> write(cluster::Entry entry, Duration wait, LateOutcomeHandler onLateOutcome = {});
    // Queues an entry to be written. Returns false if the queue is full.
    bool writeAsync(cluster::Entry entry);
    // Waits until the condition on the state holds. Returns false on a timeout.
    template <typename Condition> bool await(Condition&& condition, Duration wait) const
    {
        absl::MutexLock lock(&m_mutex);
        const auto conditionHolds = [&]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return condition(m_state); };
        return m_mutex.AwaitWithTimeout(absl::Condition(&conditionHolds), absl::Milliseconds(wait.count()));
    }

    // Returns recent records from `from` on, for a peer that can't read the log. Returns none if `from` is no longer
    // buffered.
    std::vector<adapters::LogRecord> recentRecords(Offset from) const;
    bool logReachable() const { return m_logReachable; }
    // Whether the lists may be older than the configured limit: for that long, neither the log could be read nor did
    // heartbeats of a majority of the region confirm that no member is ahead.
    bool isStale() const;
    bool writesPending() const;
    // Stops acknowledging and sending heartbeats, and writes to the log that this host leaves the membership.
    void leave(Duration wait);
    nlohmann::json dump() const;

private:
    void readLoop();
    void writeLoop();
    void membershipLoop();
    void hostListLoop();
    bool bootstrap();
    bool restoreSnapshot(Offset first, Offset next);
    void readOnce();
    void catchUpFromPeers();
    void applyRecord(const adapters::LogRecord& logRecord) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void applyGoverningChange(const std::map<HostId, Incarnation>& previousIncarnations)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void deliverOutcome(const cluster::TicketOutcome& outcome) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void performActions(const std::vector<membership::TrackerAction>& actions);
    void propose(cluster::Entry entry);
    void writeSnapshotIfDue();
    bool waitForStop(Duration timeout) const;

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
    std::deque<adapters::LogRecord> m_recentRecords ABSL_GUARDED_BY(m_mutex);
    // Outcomes of the tickets that a call of `write` waits for; empty until the outcome arrives.
    std::map<cluster::Ticket, std::optional<cluster::TicketOutcome>> m_ticketOutcomes ABSL_GUARDED_BY(m_mutex);
    std::map<cluster::Ticket, LateOutcomeHandler> m_lateOutcomeHandlers ABSL_GUARDED_BY(m_mutex);
    std::optional<cluster::Ticket> m_pendingProposal ABSL_GUARDED_BY(m_mutex);
    std::optional<TimePoint> m_snapshotDueSince ABSL_GUARDED_BY(m_mutex);
    TimePoint m_lastFreshAt ABSL_GUARDED_BY(m_mutex) {};
    bool m_caughtUp ABSL_GUARDED_BY(m_mutex) = false;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::atomic<bool> m_logReachable { false };
    std::atomic<bool> m_leaving { false };
    std::vector<std::thread> m_threads;
};

}
