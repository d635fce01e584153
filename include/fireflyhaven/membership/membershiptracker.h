#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/membership/membershipfold.h"
#include "fireflyhaven/membership/types/heartbeat.h"

#include <deque>
#include <optional>
#include <variant>

namespace fireflyhaven::membership {

struct TrackerOptions {
    HostId self;
    RegionId region;
    Duration heartbeatInterval { 1000 };
    // Validity of the lease that an acknowledged heartbeat grants its sender, counted from the send time of the
    // heartbeat.
    Duration lease { 4000 };
    // Additional time without an acknowledgeable heartbeat, after the lease, before this host endorses the eviction of
    // a peer.
    Duration suspicionMargin { 500 };
    // How long a host that no majority acknowledges waits before it rejoins under a new incarnation.
    Duration rejoinDelay { 10000 };
    // Delay between the turns of the hosts that may write the same record, so that usually only one of them writes it.
    Duration writerStagger { 400 };
    // How long a host must be missing from the platform's host list, after it was listed once, before its eviction is
    // proposed.
    Duration hostListGracePeriod { 10000 };
};

struct SendHeartbeat {
    HostAddress to;
    Heartbeat heartbeat;
};
struct WriteAdmit {
    AdmitEntry entry;
};
struct WriteConfirm {
    ConfirmEntry entry;
};
struct WriteEvict {
    EvictEntry entry;
};
// Write a join entry, which starts a new incarnation of this host.
struct WriteJoin { };
using TrackerAction = std::variant<SendHeartbeat, WriteAdmit, WriteConfirm, WriteEvict, WriteJoin>;

// Failure detector and lease holder for one host: follows the members of its region by heartbeats, decides whether the
// host may act as owner, and proposes changes of the voters. Does no I/O: takes events and the time, returns actions. A
// governing record is one that changes the configuration lists, the membership or the suspensions of versions.
//
// Rules that prevent two hosts from acting as owner of the same upstream:
// - A host acts as owner only while a majority of the voters has acknowledged a heartbeat that it sent less than a
//   lease ago.
// - A voter acknowledges a heartbeat only if its sender has applied every governing record that the voter has applied.
// - A voter endorses an eviction only after it has acknowledged none of the host's heartbeats for a whole lease. From
//   then on it never acknowledges that incarnation of the host again.
// - A host that rejoins stops acknowledging heartbeats before it writes its join entry.
class MembershipTracker {
public:
    explicit MembershipTracker(TrackerOptions options);

    // A record was applied to the replicated state. `fold` must stay valid until the next call. `appliedOffset` is the
    // offset of the last record applied, and `governingOffset` the offset of the last governing record.
    void onFoldUpdated(const MembershipFold& fold, Offset appliedOffset, Offset governingOffset, TimePoint now);
    void onHeartbeat(const Heartbeat& heartbeat, TimePoint now);
    // `listed` is the platform's current list of live and leaving hosts.
    void onHostList(const std::set<HostId>& listed, TimePoint now);
    // Must be called at least four times per heartbeat interval. The tracker fills in the offsets and endorsed
    // evictions of `report` and sends a part of its loads and demands.
    std::vector<TrackerAction> tick(HostReport report, TimePoint now);

    // Whether this host is a voter, holds a valid lease from a majority of the voters and has not begun to rejoin.
    bool mayActAsOwner(TimePoint now) const;
    // Largest governing offset such that every host that has not applied it no longer holds a lease to act as owner.
    Offset settledOffset(TimePoint now) const;
    // Whether heartbeats from a majority of the region's voters, including this host, arrived within the last lease.
    bool hasMajorityContact(TimePoint now) const;
    // Members from which a heartbeat arrived within the last lease and that have applied more records than this host,
    // the most advanced first.
    std::vector<HostId> hostsAhead(TimePoint now) const;
    // Last report of the host, or null if no heartbeat of the host arrived within the last lease.
    const HostReport* reportOf(const HostId& host, TimePoint now) const;
    // Members from which a heartbeat arrived within the last lease.
    std::vector<HostId> reachableHosts(TimePoint now) const;
    HostIncarnation selfIncarnation() const;

private:
    struct Peer {
        Incarnation incarnation;
        std::optional<TimePoint> lastHeartbeatAt;
        // Sequence number and arrival time of the last heartbeat that this host may acknowledge.
        std::uint64_t lastAcknowledgeableSequence = 0;
        TimePoint lastAcknowledgeableAt {};
        // Send time of this host's latest heartbeat that the peer has acknowledged.
        std::optional<TimePoint> lastAcknowledgedSentAt;
        // Latest time at which the peer is known or assumed to have received a heartbeat of this host.
        TimePoint ownHeartbeatReceivedAt {};
        HostReport report;
        std::uint64_t lastSequence = 0;
    };
    struct SentHeartbeat {
        std::uint64_t sequence = 0;
        TimePoint sentAt;
    };
    struct MajorityOffset {
        Offset offset;
        TimePoint reachedAt;
    };

    void onNewIncarnation(TimePoint now);
    bool isVoter() const;
    bool isAlive(const Peer& peer, TimePoint now) const;
    void recordAcknowledgement(Peer& peer, const Heartbeat& heartbeat);
    void updateSettledOffset(TimePoint now);
    // Largest offset that is settled according to the current state alone. May go down; `settledOffset` does not.
    Offset computeSettledOffset(TimePoint now) const;
    Offset majorityOffset() const;
    void restartSuspicionTimers(TimePoint now);
    void endorseEvictions(TimePoint now);
    // Whether the peer has not acknowledged this host for so long that the link from this host to it is taken to be
    // broken. This host then stops acknowledging the peer too, so that the peer can't renew its lease through it.
    bool isOneWay(const Peer& peer, TimePoint now) const;
    bool isSuspect(const Peer& peer, TimePoint now) const;
    bool endorses(const HostIncarnation& target) const { return m_endorsed.count(target) > 0; }
    VotersProof proof() const;
    bool isValidProof(const VotersProof& proof) const;
    std::vector<HostId> endorsersOf(const HostIncarnation& target, TimePoint now) const;
    // Whether it is this host's turn to write a record that any member may write, if the record has been needed since
    // `since`.
    bool isTurn(TimePoint since, TimePoint now) const;
    // Updates `wantedSince`, the time since when the record is needed, and returns whether it is this host's turn to
    // write it.
    bool isTurnFor(bool wanted, std::optional<TimePoint>& wantedSince, TimePoint now) const;
    void proposeAdmit(std::vector<TrackerAction>& actions, TimePoint now);
    void proposeConfirm(std::vector<TrackerAction>& actions, TimePoint now);
    void proposeEvict(std::vector<TrackerAction>& actions, TimePoint now);
    void proposeHostListEvict(std::vector<TrackerAction>& actions, TimePoint now);
    void proposeRejoin(std::vector<TrackerAction>& actions, TimePoint now);
    void sendHeartbeats(std::vector<TrackerAction>& actions, HostReport report, TimePoint now);

    TrackerOptions m_options;
    const MembershipFold* m_fold = nullptr;
    Offset m_appliedOffset;
    Offset m_governingOffset;
    Offset m_votersChangedAt;
    // When this host applied the last change of the voters, and the change before it.
    TimePoint m_votersAppliedAt {};
    TimePoint m_previousVotersAppliedAt {};
    // Incarnation of this host that it has asked to replace by a rejoin. It no longer acknowledges heartbeats.
    Incarnation m_abandonedIncarnation;
    Incarnation m_ownIncarnation;
    std::map<HostId, Peer> m_peers;
    std::set<HostIncarnation> m_endorsed;
    std::deque<SentHeartbeat> m_sentHeartbeats;
    std::deque<MajorityOffset> m_majorityOffsets;
    Offset m_lastSettledOffset;
    std::map<HostId, TimePoint> m_missingFromHostList;
    std::set<HostId> m_seenOnHostList;
    std::uint64_t m_sequence = 0;
    std::optional<TimePoint> m_lastTickAt;
    std::optional<TimePoint> m_lastSendAt;
    std::optional<TimePoint> m_admitWantedSince;
    std::optional<TimePoint> m_confirmWantedSince;
    std::optional<TimePoint> m_evictWantedSince;
    std::optional<TimePoint> m_unacknowledgedSince;
    std::optional<TimePoint> m_lastProposalAt;
};

}
