#include "fireflyhaven/membership/membershiptracker.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>

namespace fireflyhaven::membership {

namespace {
// Sent heartbeats are kept for this many leases; older ones can no longer extend a lease.
constexpr int SENT_HISTORY_LEASES = 2;
// A gap between ticks of more than this many heartbeat intervals means that this process was paused.
constexpr int PAUSE_THRESHOLD_INTERVALS = 2;
// Upper bounds per heartbeat, so that its size does not grow with the number of upstreams and workspaces of a host.
constexpr std::size_t MAX_LOADS_PER_HEARTBEAT = 4;
constexpr std::size_t MAX_DEMANDS_PER_HEARTBEAT = 2;

// Keeps `count` elements; consecutive values of `turn` select consecutive parts of the list.
template <typename T> void rotateAndTruncate(std::vector<T>& items, std::size_t count, std::uint64_t turn)
{
    if (items.size() <= count)
        return;
    std::rotate(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(turn * count % items.size()), items.end());
    items.resize(count);
}

}

MembershipTracker::MembershipTracker(TrackerOptions options)
    : m_options(std::move(options))
{
}

void MembershipTracker::onFoldUpdated(
    const MembershipFold& fold, Offset appliedOffset, Offset governingOffset, TimePoint now)
{
    m_fold = &fold;
    m_appliedOffset = appliedOffset;
    m_governingOffset = governingOffset;
    const RegionVoters& voters = fold.voters(m_options.region);
    if (voters.changedAt != m_votersChangedAt) {
        m_votersChangedAt = voters.changedAt;
        m_previousVotersAppliedAt = m_votersAppliedAt;
        m_votersAppliedAt = now;
    }
    if (selfIncarnation().incarnation != m_ownIncarnation)
        onNewIncarnation(now);
    for (const auto& [id, member] : fold.members()) {
        if (id == m_options.self || member.region != m_options.region)
            continue;
        Peer& peer = m_peers[id];
        if (peer.incarnation != member.incarnation) {
            peer = Peer {};
            peer.incarnation = member.incarnation;
            peer.lastAcknowledgeableAt = now;
            peer.ownHeartbeatReceivedAt = now;
        }
    }
    std::erase_if(m_peers, [&](const auto& it) { return !fold.find(it.first); });
    std::erase_if(m_endorsed, [&](const HostIncarnation& it) { return !fold.isCurrentIncarnation(it); });
    updateSettledOffset(now);
}

// Dropping the endorsements of the earlier incarnation is safe: the join changes the voters, which invalidates every
// pending eviction entry that lists this host as an endorser.
void MembershipTracker::onNewIncarnation(TimePoint now)
{
    m_ownIncarnation = selfIncarnation().incarnation;
    m_endorsed.clear();
    restartSuspicionTimers(now);
}

void MembershipTracker::onHeartbeat(const Heartbeat& heartbeat, TimePoint now)
{
    const auto it = m_peers.find(heartbeat.sender.host);
    if (it == m_peers.end() || it->second.incarnation != heartbeat.sender.incarnation)
        return;
    Peer& peer = it->second;
    if (heartbeat.sequence <= peer.lastSequence)
        return;
    peer.lastSequence = heartbeat.sequence;
    peer.lastHeartbeatAt = now;
    peer.report = heartbeat.report;
    recordAcknowledgement(peer, heartbeat);
    if (heartbeat.report.governingOffset >= m_governingOffset && !endorses(heartbeat.sender) && !isOneWay(peer, now)) {
        peer.lastAcknowledgeableSequence = heartbeat.sequence;
        peer.lastAcknowledgeableAt = now;
    }
    updateSettledOffset(now);
}

void MembershipTracker::recordAcknowledgement(Peer& peer, const Heartbeat& heartbeat)
{
    if (heartbeat.acknowledgedSequence == 0 || heartbeat.acknowledgedIncarnation != selfIncarnation().incarnation)
        return;
    for (const SentHeartbeat& it : m_sentHeartbeats) {
        if (it.sequence != heartbeat.acknowledgedSequence)
            continue;
        if (!peer.lastAcknowledgedSentAt || *peer.lastAcknowledgedSentAt < it.sentAt)
            peer.lastAcknowledgedSentAt = it.sentAt;
        peer.ownHeartbeatReceivedAt = std::max(peer.ownHeartbeatReceivedAt, it.sentAt);
    }
}

void MembershipTracker::onHostList(const std::set<HostId>& listed, TimePoint now)
{
    m_seenOnHostList.insert(listed.begin(), listed.end());
    for (const HostId& id : m_seenOnHostList) {
        if (listed.count(id))
            m_missingFromHostList.erase(id);
        else
            m_missingFromHostList.emplace(id, now);
    }
}

std::vector<TrackerAction> MembershipTracker::tick(HostReport report, TimePoint now)
{
    std::vector<TrackerAction> actions;
    if (m_lastTickAt && now - *m_lastTickAt > m_options.heartbeatInterval * PAUSE_THRESHOLD_INTERVALS)
        restartSuspicionTimers(now);
    m_lastTickAt = now;
    if (!m_fold)
        return actions;
    endorseEvictions(now);
    sendHeartbeats(actions, std::move(report), now);
    if (!m_lastProposalAt || now - *m_lastProposalAt >= m_options.heartbeatInterval) {
        const std::size_t before = actions.size();
        proposeRejoin(actions, now);
        proposeHostListEvict(actions, now);
        proposeConfirm(actions, now);
        proposeEvict(actions, now);
        proposeAdmit(actions, now);
        if (actions.size() > before)
            m_lastProposalAt = now;
    }
    return actions;
}

HostIncarnation MembershipTracker::selfIncarnation() const
{
    const Member* self = m_fold ? m_fold->find(m_options.self) : nullptr;
    return { .host = m_options.self, .incarnation = self ? self->incarnation : Incarnation(0) };
}

bool MembershipTracker::isVoter() const
{
    return m_fold && m_fold->voters(m_options.region).current.count(m_options.self) > 0;
}

bool MembershipTracker::isAlive(const Peer& peer, TimePoint now) const
{
    return peer.lastHeartbeatAt && now - *peer.lastHeartbeatAt < m_options.lease;
}

bool MembershipTracker::mayActAsOwner(TimePoint now) const
{
    if (!isVoter() || selfIncarnation().incarnation == m_abandonedIncarnation)
        return false;
    const std::set<HostId>& voters = m_fold->voters(m_options.region).current;
    std::size_t acknowledging = 1;
    for (const HostId& id : voters) {
        const auto it = m_peers.find(id);
        if (it == m_peers.end() || !it->second.lastAcknowledgedSentAt)
            continue;
        if (now - *it->second.lastAcknowledgedSentAt < m_options.lease)
            ++acknowledging;
    }
    return acknowledging * 2 > voters.size();
}

bool MembershipTracker::hasMajorityContact(TimePoint now) const
{
    if (!m_fold)
        return false;
    std::set<HostId> alive { m_options.self };
    for (const auto& [id, peer] : m_peers) {
        if (isAlive(peer, now))
            alive.insert(id);
    }
    return isMajority(alive, m_fold->voters(m_options.region).current);
}

// Largest governing offset that a joint majority reports as applied, limited to the governing offset of this host.
Offset MembershipTracker::majorityOffset() const
{
    const RegionVoters& voters = m_fold->voters(m_options.region);
    std::set<Offset> candidates { m_governingOffset };
    for (const auto& [id, peer] : m_peers)
        candidates.insert(std::min(peer.report.governingOffset, m_governingOffset));
    for (auto it = candidates.rbegin(); it != candidates.rend(); ++it) {
        std::set<HostId> reached { m_options.self };
        for (const auto& [id, peer] : m_peers) {
            if (peer.report.governingOffset >= *it)
                reached.insert(id);
        }
        if (isJointMajority(reached, voters))
            return *it;
    }
    return Offset(0);
}

void MembershipTracker::updateSettledOffset(TimePoint now)
{
    m_lastSettledOffset = settledOffset(now);
    if (!m_majorityOffsets.empty() && m_majorityOffsets.back().offset >= m_governingOffset)
        return;
    const Offset reached = majorityOffset();
    if (reached == Offset(0) || (!m_majorityOffsets.empty() && m_majorityOffsets.back().offset >= reached))
        return;
    m_majorityOffsets.push_back({ .offset = reached, .reachedAt = now });
    while (m_majorityOffsets.size() > 1 && now - m_majorityOffsets[1].reachedAt >= m_options.lease)
        m_majorityOffsets.pop_front();
}

Offset MembershipTracker::settledOffset(TimePoint now) const
{
    return std::max(m_lastSettledOffset, computeSettledOffset(now));
}

Offset MembershipTracker::computeSettledOffset(TimePoint now) const
{
    if (!m_fold)
        return Offset(0);
    Offset appliedByAll = m_governingOffset;
    // An evicted host that still counts by the voters of two changes ago may hold a lease until one lease after the
    // change in between, although no current voter is behind.
    if (now - m_previousVotersAppliedAt < m_options.lease)
        appliedByAll = Offset(0);
    for (const HostId& id : m_fold->voters(m_options.region).current) {
        const auto it = m_peers.find(id);
        if (id != m_options.self)
            appliedByAll = std::min(appliedByAll, it == m_peers.end() ? Offset(0) : it->second.report.governingOffset);
    }
    Offset appliedByMajority;
    for (const MajorityOffset& it : m_majorityOffsets) {
        if (now - it.reachedAt >= m_options.lease)
            appliedByMajority = std::max(appliedByMajority, it.offset);
    }
    return std::max(appliedByAll, appliedByMajority);
}

std::vector<HostId> MembershipTracker::hostsAhead(TimePoint now) const
{
    std::vector<std::pair<Offset, HostId>> ahead;
    for (const auto& [id, peer] : m_peers) {
        if (isAlive(peer, now) && peer.report.appliedOffset > m_appliedOffset)
            ahead.emplace_back(peer.report.appliedOffset, id);
    }
    std::sort(ahead.rbegin(), ahead.rend());
    std::vector<HostId> hosts;
    hosts.reserve(ahead.size());
    for (const auto& [offset, id] : ahead)
        hosts.push_back(id);
    return hosts;
}

const HostReport* MembershipTracker::reportOf(const HostId& host, TimePoint now) const
{
    const auto it = m_peers.find(host);
    return it != m_peers.end() && isAlive(it->second, now) ? &it->second.report : nullptr;
}

std::vector<HostId> MembershipTracker::reachableHosts(TimePoint now) const
{
    std::vector<HostId> hosts;
    for (const auto& [id, peer] : m_peers) {
        if (isAlive(peer, now))
            hosts.push_back(id);
    }
    return hosts;
}

// After a pause of this process or a rejoin, missing heartbeats are no evidence against the peers, so every peer gets a
// whole lease again.
void MembershipTracker::restartSuspicionTimers(TimePoint now)
{
    for (auto& [id, peer] : m_peers) {
        peer.lastAcknowledgeableAt = now;
        peer.ownHeartbeatReceivedAt = now;
    }
}

bool MembershipTracker::isOneWay(const Peer& peer, TimePoint now) const
{
    // A peer with a higher governing offset acknowledges this host only after this host has caught up.
    if (peer.report.governingOffset > m_governingOffset)
        return false;
    return now - peer.ownHeartbeatReceivedAt >= (m_options.lease + m_options.suspicionMargin) * 2;
}

bool MembershipTracker::isSuspect(const Peer& peer, TimePoint now) const
{
    return now - peer.lastAcknowledgeableAt >= m_options.lease + m_options.suspicionMargin;
}

void MembershipTracker::endorseEvictions(TimePoint now)
{
    if (!isVoter())
        return;
    for (const auto& [id, peer] : m_peers) {
        if (isSuspect(peer, now))
            m_endorsed.insert({ .host = id, .incarnation = peer.incarnation });
    }
}

VotersProof MembershipTracker::proof() const
{
    VotersProof proof { .region = m_options.region, .votersChangedAt = m_votersChangedAt, .witnesses = {} };
    proof.witnesses.push_back(m_options.self);
    for (const auto& [id, peer] : m_peers) {
        if (peer.report.governingOffset >= m_votersChangedAt)
            proof.witnesses.push_back(id);
    }
    return proof;
}

bool MembershipTracker::isValidProof(const VotersProof& proof) const
{
    const std::set<HostId> hosts(proof.witnesses.begin(), proof.witnesses.end());
    return isVoter() && isJointMajority(hosts, m_fold->voters(m_options.region));
}

std::vector<HostId> MembershipTracker::endorsersOf(const HostIncarnation& target, TimePoint now) const
{
    std::vector<HostId> hosts;
    if (endorses(target))
        hosts.push_back(m_options.self);
    for (const auto& [id, peer] : m_peers) {
        const auto& endorsed = peer.report.endorsedEvictions;
        if (isAlive(peer, now) && std::count(endorsed.begin(), endorsed.end(), target) > 0)
            hosts.push_back(id);
    }
    return hosts;
}

bool MembershipTracker::isTurn(TimePoint since, TimePoint now) const
{
    const std::uint64_t seed = m_votersChangedAt.value();
    const std::uint64_t ownHash = stableHash(m_options.self.value(), seed);
    Duration delay { 0 };
    for (const auto& [id, peer] : m_peers) {
        if (isAlive(peer, now) && stableHash(id.value(), seed) < ownHash)
            delay += m_options.writerStagger;
    }
    return now - since >= delay;
}

bool MembershipTracker::isTurnFor(bool wanted, std::optional<TimePoint>& wantedSince, TimePoint now) const
{
    if (!wanted) {
        wantedSince.reset();
        return false;
    }
    if (!wantedSince)
        wantedSince = now;
    return isTurn(*wantedSince, now);
}

void MembershipTracker::proposeAdmit(std::vector<TrackerAction>& actions, TimePoint now)
{
    AdmitEntry entry { .proof = proof(), .learners = {} };
    for (const auto& [id, peer] : m_peers) {
        const Member* member = m_fold->find(id);
        if (member && !member->voter && isAlive(peer, now) && peer.report.governingOffset >= peer.incarnation)
            entry.learners.push_back({ .host = id, .incarnation = peer.incarnation });
    }
    const bool confirmed = m_fold->voters(m_options.region).isConfirmed();
    if (isTurnFor(!entry.learners.empty() && confirmed && isValidProof(entry.proof), m_admitWantedSince, now))
        actions.emplace_back(WriteAdmit { .entry = std::move(entry) });
}

void MembershipTracker::proposeConfirm(std::vector<TrackerAction>& actions, TimePoint now)
{
    ConfirmEntry entry { .proof = proof() };
    const bool confirmed = m_fold->voters(m_options.region).isConfirmed();
    if (isTurnFor(!confirmed && isValidProof(entry.proof), m_confirmWantedSince, now))
        actions.emplace_back(WriteConfirm { .entry = std::move(entry) });
}

void MembershipTracker::proposeEvict(std::vector<TrackerAction>& actions, TimePoint now)
{
    const RegionVoters& voters = m_fold->voters(m_options.region);
    EvictEntry entry { .proof = proof(), .lives = {}, .evidence = EvictEvidence::Endorsed, .endorsers = {} };
    std::optional<std::set<HostId>> commonEndorsers;
    for (const auto& [id, peer] : m_peers) {
        const HostIncarnation target { .host = id, .incarnation = peer.incarnation };
        const std::vector<HostId> endorsers = endorsersOf(target, now);
        std::set<HostId> candidateEndorsers(endorsers.begin(), endorsers.end());
        if (commonEndorsers)
            std::erase_if(candidateEndorsers, [&](const HostId& it) { return !commonEndorsers->count(it); });
        if (!isMajority(candidateEndorsers, voters.current))
            continue;
        entry.lives.push_back(target);
        commonEndorsers = candidateEndorsers;
    }
    if (!isTurnFor(commonEndorsers && voters.isConfirmed() && isValidProof(entry.proof), m_evictWantedSince, now))
        return;
    entry.endorsers.assign(commonEndorsers->begin(), commonEndorsers->end());
    actions.emplace_back(WriteEvict { .entry = std::move(entry) });
}

void MembershipTracker::proposeHostListEvict(std::vector<TrackerAction>& actions, TimePoint now)
{
    for (const auto& [id, missingSince] : m_missingFromHostList) {
        const Member* member = m_fold->find(id);
        if (!member || member->region != m_options.region || id == m_options.self)
            continue;
        const auto peer = m_peers.find(id);
        const bool alive = peer != m_peers.end() && isAlive(peer->second, now);
        const TimePoint due = missingSince + m_options.hostListGracePeriod;
        if (alive || now < due || !isTurn(due, now))
            continue;
        actions.emplace_back(WriteEvict { .entry = { .proof = proof(),
                                              .lives = { { .host = id, .incarnation = member->incarnation } },
                                              .evidence = EvictEvidence::HostList,
                                              .endorsers = {} } });
    }
}

void MembershipTracker::proposeRejoin(std::vector<TrackerAction>& actions, TimePoint now)
{
    const HostIncarnation self = selfIncarnation();
    if (self.incarnation == Incarnation(0)) {
        actions.emplace_back(WriteJoin {});
        return;
    }
    // Voters are reachable but too few of them acknowledge this host for it to hold a lease.
    const bool unacknowledged = isVoter() && hasMajorityContact(now) && !mayActAsOwner(now);
    if (!unacknowledged) {
        m_unacknowledgedSince.reset();
        return;
    }
    if (!m_unacknowledgedSince)
        m_unacknowledgedSince = now;
    if (now - *m_unacknowledgedSince < m_options.rejoinDelay)
        return;
    m_unacknowledgedSince.reset();
    m_abandonedIncarnation = self.incarnation;
    actions.emplace_back(WriteJoin {});
}

void MembershipTracker::sendHeartbeats(std::vector<TrackerAction>& actions, HostReport report, TimePoint now)
{
    const HostIncarnation self = selfIncarnation();
    if (self.incarnation == Incarnation(0) || (m_lastSendAt && now - *m_lastSendAt < m_options.heartbeatInterval))
        return;
    m_lastSendAt = now;
    ++m_sequence;
    m_sentHeartbeats.push_back({ .sequence = m_sequence, .sentAt = now });
    while (now - m_sentHeartbeats.front().sentAt > m_options.lease * SENT_HISTORY_LEASES)
        m_sentHeartbeats.pop_front();
    report.appliedOffset = m_appliedOffset;
    report.governingOffset = m_governingOffset;
    report.endorsedEvictions.assign(m_endorsed.begin(), m_endorsed.end());
    rotateAndTruncate(report.loads, MAX_LOADS_PER_HEARTBEAT, m_sequence);
    rotateAndTruncate(report.demands, MAX_DEMANDS_PER_HEARTBEAT, m_sequence);
    const bool abandoned = self.incarnation == m_abandonedIncarnation;
    for (const auto& [id, peer] : m_peers) {
        Heartbeat heartbeat { .sender = self,
            .sequence = m_sequence,
            .acknowledgedIncarnation = peer.incarnation,
            .acknowledgedSequence = abandoned ? 0 : peer.lastAcknowledgeableSequence,
            .report = report };
        actions.emplace_back(SendHeartbeat { .to = m_fold->find(id)->address, .heartbeat = std::move(heartbeat) });
    }
}

}
