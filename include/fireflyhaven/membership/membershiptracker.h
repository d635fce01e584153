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
    // How long an acknowledged heartbeat lets its sender run, counted from when it was sent.
    Duration lease { 4000 };
    // Silence beyond the lease after which an eviction is endorsed.
    Duration suspicionMargin { 500 };
    // How long a host that others refuse to acknowledge waits before it joins anew.
    Duration rejoinAfter { 10000 };
    // Delay between the hosts that may write the same record.
    Duration writerStagger { 400 };
    // How long a host that was on the platform's list must be missing from it.
    Duration hostListPatience { 10000 };
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
// Join anew, as a new life.
struct WriteJoin { };
using TrackerAction = std::variant<SendHeartbeat, WriteAdmit, WriteConfirm, WriteEvict, WriteJoin>;

// Follows the members of this host's region by heartbeats, decides whether this host may act as owner, and proposes
// changes of the voters. Does no I/O: takes events and the time, returns actions.
//
// Rules that keep two owners apart:
// - A host acts only while a majority of the voters has acknowledged a heartbeat that it sent less than a lease ago.
// - A voter acknowledges a heartbeat only where its sender has folded every governing record that the voter has.
// - A voter endorses an eviction only after it has acknowledged none of the host's heartbeats for a whole lease, and
//   acknowledges that life of the host never again.
// - A host that joins anew stops acknowledging before it writes so.
class MembershipTracker {
public:
    explicit MembershipTracker(TrackerOptions options);

    // The fold has changed; `fold` stays valid until the next call.
    void onFold(const MembershipFold& fold, Offset folded, Offset governing, TimePoint now);
    void onHeartbeat(const Heartbeat& heartbeat, TimePoint now);
    // The platform's list of live and leaving hosts was read.
    void onHostList(const std::set<HostId>& listed, TimePoint now);
    // Called at least four times per heartbeat interval. `report` is completed with the tracker's own fields.
    std::vector<TrackerAction> tick(HostReport report, TimePoint now);

    // Whether this host may act as owner now.
    bool mayAct(TimePoint now) const;
    // Largest governing offset such that every host that has not folded it has lost its right to act.
    Offset settledOffset(TimePoint now) const;
    // Whether a majority of the region's voters was heard within the lease.
    bool hearsMajority(TimePoint now) const;
    // Members heard within the lease whose fold is ahead of this host's, the farthest first.
    std::vector<HostId> hostsAhead(TimePoint now) const;
    // Last report of a member heard within the lease, or null.
    const HostReport* reportOf(const HostId& host, TimePoint now) const;
    std::vector<HostId> heardHosts(TimePoint now) const;
    HostLife selfLife() const;

private:
    struct Peer {
        Incarnation incarnation;
        std::optional<TimePoint> heardAt;
        // Last heartbeat that may be acknowledged.
        std::uint64_t acknowledgeable = 0;
        TimePoint acknowledgeableAt {};
        // Send time of our latest heartbeat that the peer has acknowledged.
        std::optional<TimePoint> acknowledgedSentAt;
        // Latest time at which the peer is taken to have heard this host.
        TimePoint hearsUsAt {};
        HostReport report;
        std::uint64_t lastSequence = 0;
    };
    struct SentHeartbeat {
        std::uint64_t sequence = 0;
        TimePoint sentAt;
    };
    struct SettledStep {
        Offset offset;
        TimePoint reachedAt;
    };

    void beginNewLife(TimePoint now);
    bool isVoter() const;
    bool heardRecently(const Peer& peer, TimePoint now) const;
    void recordAcknowledgement(Peer& peer, const Heartbeat& heartbeat);
    void noteProgress(TimePoint now);
    // Largest offset that can be seen to be settled now; `settledOffset` never falls behind an earlier one.
    Offset settledNow(TimePoint now) const;
    Offset majorityOffset() const;
    void forgiveSilence(TimePoint now);
    void endorseEvictions(TimePoint now);
    // Heard, but for long without acknowledging this host: it can't renew its right through this host either.
    bool isDeaf(const Peer& peer, TimePoint now) const;
    bool isSuspect(const Peer& peer, TimePoint now) const;
    bool endorses(const HostLife& life) const { return m_endorsed.count(life) > 0; }
    VotersProof proof() const;
    bool holds(const VotersProof& proof) const;
    std::vector<HostId> endorsersOf(const HostLife& life, TimePoint now) const;
    // Whether it is this host's turn to write a record that any member may write.
    bool isTurn(TimePoint since, TimePoint now) const;
    // Notes since when a record is wanted, and tells whether it is this host's turn to write it.
    bool isTurnFor(bool wanted, std::optional<TimePoint>& wantedSince, TimePoint now) const;
    void proposeAdmit(std::vector<TrackerAction>& actions, TimePoint now);
    void proposeConfirm(std::vector<TrackerAction>& actions, TimePoint now);
    void proposeEvict(std::vector<TrackerAction>& actions, TimePoint now);
    void proposeHostListEvict(std::vector<TrackerAction>& actions, TimePoint now);
    void proposeRejoin(std::vector<TrackerAction>& actions, TimePoint now);
    void sendHeartbeats(std::vector<TrackerAction>& actions, HostReport report, TimePoint now);

    TrackerOptions m_options;
    const MembershipFold* m_fold = nullptr;
    Offset m_folded;
    Offset m_governing;
    Offset m_votersChangedAt;
    // When this host folded the last change of the voters, and the one before it.
    TimePoint m_votersFoldedAt {};
    TimePoint m_earlierVotersFoldedAt {};
    // The life that this host has asked to replace; it acknowledges nothing any more.
    Incarnation m_abandoned;
    Incarnation m_ownIncarnation;
    std::map<HostId, Peer> m_peers;
    std::set<HostLife> m_endorsed;
    std::deque<SentHeartbeat> m_sent;
    std::deque<SettledStep> m_settled;
    Offset m_settledBefore;
    std::map<HostId, TimePoint> m_missingFromList;
    std::set<HostId> m_seenOnList;
    std::uint64_t m_sequence = 0;
    std::optional<TimePoint> m_lastTick;
    std::optional<TimePoint> m_lastSend;
    std::optional<TimePoint> m_admitWantedSince;
    std::optional<TimePoint> m_confirmWantedSince;
    std::optional<TimePoint> m_evictWantedSince;
    std::optional<TimePoint> m_refusedSince;
    std::optional<TimePoint> m_lastProposal;
};

}
