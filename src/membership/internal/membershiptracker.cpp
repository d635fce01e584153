#include "fireflyhaven/membership/membershiptracker.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>

namespace fireflyhaven::membership {

namespace {
// Heartbeats sent longer ago than this many leases can no longer extend a lease.
constexpr int KEPT_LEASES = 2;
// Ticks further apart than this many heartbeat intervals mean that this process was paused.
constexpr int PAUSE_INTERVALS = 2;
// Parts of a report that one heartbeat carries, so that its size does not grow with what a host owns.
constexpr std::size_t LOADS_PER_HEARTBEAT = 4;
constexpr std::size_t DEMANDS_PER_HEARTBEAT = 2;

// Keeps `count` elements; which ones moves on with each turn.
template <typename T> void keepPart(std::vector<T>& items, std::size_t count, std::uint64_t turn)
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

void MembershipTracker::onFold(const MembershipFold& fold, Offset folded, Offset governing, TimePoint now)
{
    m_fold = &fold;
    m_folded = folded;
    m_governing = governing;
    const RegionVoters& voters = fold.voters(m_options.region);
    if (voters.changedAt != m_votersChangedAt) {
        m_votersChangedAt = voters.changedAt;
        m_earlierVotersFoldedAt = m_votersFoldedAt;
        m_votersFoldedAt = now;
    }
    if (selfLife().incarnation != m_ownIncarnation)
        beginNewLife(now);
    for (const auto& [id, member] : fold.members()) {
        if (id == m_options.self || member.region != m_options.region)
            continue;
        Peer& peer = m_peers[id];
        if (peer.incarnation != member.incarnation) {
            peer = Peer {};
            peer.incarnation = member.incarnation;
            peer.acknowledgeableAt = now;
            peer.hearsUsAt = now;
        }
    }
    std::erase_if(m_peers, [&](const auto& it) { return !fold.find(it.first); });
    std::erase_if(m_endorsed, [&](const HostLife& it) { return !fold.isLive(it); });
    noteProgress(now);
}

// The endorsements of an earlier life count no more: the change of voters by the join invalidates every eviction record
// that names them.
void MembershipTracker::beginNewLife(TimePoint now)
{
    m_ownIncarnation = selfLife().incarnation;
    m_endorsed.clear();
    forgiveSilence(now);
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
    peer.heardAt = now;
    peer.report = heartbeat.report;
    recordAcknowledgement(peer, heartbeat);
    if (heartbeat.report.governing >= m_governing && !endorses(heartbeat.sender) && !isDeaf(peer, now)) {
        peer.acknowledgeable = heartbeat.sequence;
        peer.acknowledgeableAt = now;
    }
    noteProgress(now);
}

void MembershipTracker::recordAcknowledgement(Peer& peer, const Heartbeat& heartbeat)
{
    if (heartbeat.acknowledgedSequence == 0 || heartbeat.acknowledgedIncarnation != selfLife().incarnation)
        return;
    for (const SentHeartbeat& it : m_sent) {
        if (it.sequence != heartbeat.acknowledgedSequence)
            continue;
        if (!peer.acknowledgedSentAt || *peer.acknowledgedSentAt < it.sentAt)
            peer.acknowledgedSentAt = it.sentAt;
        peer.hearsUsAt = std::max(peer.hearsUsAt, it.sentAt);
    }
}

void MembershipTracker::onHostList(const std::set<HostId>& listed, TimePoint now)
{
    m_seenOnList.insert(listed.begin(), listed.end());
    for (const HostId& id : m_seenOnList) {
        if (listed.count(id))
            m_missingFromList.erase(id);
        else
            m_missingFromList.emplace(id, now);
    }
}

std::vector<TrackerAction> MembershipTracker::tick(HostReport report, TimePoint now)
{
    std::vector<TrackerAction> actions;
    if (m_lastTick && now - *m_lastTick > m_options.heartbeatInterval * PAUSE_INTERVALS)
        forgiveSilence(now);
    m_lastTick = now;
    if (!m_fold)
        return actions;
    endorseEvictions(now);
    sendHeartbeats(actions, std::move(report), now);
    if (!m_lastProposal || now - *m_lastProposal >= m_options.heartbeatInterval) {
        const std::size_t before = actions.size();
        proposeRejoin(actions, now);
        proposeHostListEvict(actions, now);
        proposeConfirm(actions, now);
        proposeEvict(actions, now);
        proposeAdmit(actions, now);
        if (actions.size() > before)
            m_lastProposal = now;
    }
    return actions;
}

HostLife MembershipTracker::selfLife() const
{
    const Member* self = m_fold ? m_fold->find(m_options.self) : nullptr;
    return { .host = m_options.self, .incarnation = self ? self->incarnation : Incarnation(0) };
}

bool MembershipTracker::isVoter() const
{
    return m_fold && m_fold->voters(m_options.region).current.count(m_options.self) > 0;
}

bool MembershipTracker::heardRecently(const Peer& peer, TimePoint now) const
{
    return peer.heardAt && now - *peer.heardAt < m_options.lease;
}

bool MembershipTracker::mayAct(TimePoint now) const
{
    if (!isVoter() || selfLife().incarnation == m_abandoned)
        return false;
    const std::set<HostId>& voters = m_fold->voters(m_options.region).current;
    std::size_t acknowledging = 1;
    for (const HostId& id : voters) {
        const auto it = m_peers.find(id);
        if (it == m_peers.end() || !it->second.acknowledgedSentAt)
            continue;
        if (now - *it->second.acknowledgedSentAt < m_options.lease)
            ++acknowledging;
    }
    return acknowledging * 2 > voters.size();
}

bool MembershipTracker::hearsMajority(TimePoint now) const
{
    if (!m_fold)
        return false;
    std::set<HostId> heard { m_options.self };
    for (const auto& [id, peer] : m_peers) {
        if (heardRecently(peer, now))
            heard.insert(id);
    }
    return isMajority(heard, m_fold->voters(m_options.region).current);
}

// Largest offset that a joint majority has reported to have folded, as far as this host has folded itself.
Offset MembershipTracker::majorityOffset() const
{
    const RegionVoters& voters = m_fold->voters(m_options.region);
    std::set<Offset> candidates { m_governing };
    for (const auto& [id, peer] : m_peers)
        candidates.insert(std::min(peer.report.governing, m_governing));
    for (auto it = candidates.rbegin(); it != candidates.rend(); ++it) {
        std::set<HostId> reached { m_options.self };
        for (const auto& [id, peer] : m_peers) {
            if (peer.report.governing >= *it)
                reached.insert(id);
        }
        if (isJointMajority(reached, voters))
            return *it;
    }
    return Offset(0);
}

void MembershipTracker::noteProgress(TimePoint now)
{
    m_settledBefore = settledOffset(now);
    if (!m_settled.empty() && m_settled.back().offset >= m_governing)
        return;
    const Offset reached = majorityOffset();
    if (reached == Offset(0) || (!m_settled.empty() && m_settled.back().offset >= reached))
        return;
    m_settled.push_back({ .offset = reached, .reachedAt = now });
    while (m_settled.size() > 1 && now - m_settled[1].reachedAt >= m_options.lease)
        m_settled.pop_front();
}

Offset MembershipTracker::settledOffset(TimePoint now) const { return std::max(m_settledBefore, settledNow(now)); }

Offset MembershipTracker::settledNow(TimePoint now) const
{
    if (!m_fold)
        return Offset(0);
    Offset everyone = m_governing;
    // An evicted host that counts by voters of two changes ago may act until a lease after the change between.
    if (now - m_earlierVotersFoldedAt < m_options.lease)
        everyone = Offset(0);
    for (const HostId& id : m_fold->voters(m_options.region).current) {
        const auto it = m_peers.find(id);
        if (id != m_options.self)
            everyone = std::min(everyone, it == m_peers.end() ? Offset(0) : it->second.report.governing);
    }
    Offset waited;
    for (const SettledStep& it : m_settled) {
        if (now - it.reachedAt >= m_options.lease)
            waited = std::max(waited, it.offset);
    }
    return std::max(everyone, waited);
}

std::vector<HostId> MembershipTracker::hostsAhead(TimePoint now) const
{
    std::vector<std::pair<Offset, HostId>> ahead;
    for (const auto& [id, peer] : m_peers) {
        if (heardRecently(peer, now) && peer.report.folded > m_folded)
            ahead.emplace_back(peer.report.folded, id);
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
    return it != m_peers.end() && heardRecently(it->second, now) ? &it->second.report : nullptr;
}

std::vector<HostId> MembershipTracker::heardHosts(TimePoint now) const
{
    std::vector<HostId> hosts;
    for (const auto& [id, peer] : m_peers) {
        if (heardRecently(peer, now))
            hosts.push_back(id);
    }
    return hosts;
}

// After a pause of this process the silence was its own, so every peer gets a whole lease again.
void MembershipTracker::forgiveSilence(TimePoint now)
{
    for (auto& [id, peer] : m_peers) {
        peer.acknowledgeableAt = now;
        peer.hearsUsAt = now;
    }
}

bool MembershipTracker::isDeaf(const Peer& peer, TimePoint now) const
{
    // A peer that is ahead of this host acknowledges it only once this host has caught up.
    if (peer.report.governing > m_governing)
        return false;
    return now - peer.hearsUsAt >= (m_options.lease + m_options.suspicionMargin) * 2;
}

bool MembershipTracker::isSuspect(const Peer& peer, TimePoint now) const
{
    return now - peer.acknowledgeableAt >= m_options.lease + m_options.suspicionMargin;
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
        if (peer.report.governing >= m_votersChangedAt)
            proof.witnesses.push_back(id);
    }
    return proof;
}

bool MembershipTracker::holds(const VotersProof& proof) const
{
    const std::set<HostId> hosts(proof.witnesses.begin(), proof.witnesses.end());
    return isVoter() && isJointMajority(hosts, m_fold->voters(m_options.region));
}

std::vector<HostId> MembershipTracker::endorsersOf(const HostLife& life, TimePoint now) const
{
    std::vector<HostId> hosts;
    if (endorses(life))
        hosts.push_back(m_options.self);
    for (const auto& [id, peer] : m_peers) {
        const auto& endorsed = peer.report.endorsedEvictions;
        if (heardRecently(peer, now) && std::count(endorsed.begin(), endorsed.end(), life) > 0)
            hosts.push_back(id);
    }
    return hosts;
}

bool MembershipTracker::isTurn(TimePoint since, TimePoint now) const
{
    const std::uint64_t seed = m_votersChangedAt.value();
    const std::uint64_t own = stableHash(m_options.self.value(), seed);
    Duration delay { 0 };
    for (const auto& [id, peer] : m_peers) {
        if (heardRecently(peer, now) && stableHash(id.value(), seed) < own)
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
        if (member && !member->voter && heardRecently(peer, now) && peer.report.governing >= peer.incarnation)
            entry.learners.push_back({ .host = id, .incarnation = peer.incarnation });
    }
    const bool confirmed = m_fold->voters(m_options.region).isConfirmed();
    if (isTurnFor(!entry.learners.empty() && confirmed && holds(entry.proof), m_admitWantedSince, now))
        actions.emplace_back(WriteAdmit { .entry = std::move(entry) });
}

void MembershipTracker::proposeConfirm(std::vector<TrackerAction>& actions, TimePoint now)
{
    ConfirmEntry entry { .proof = proof() };
    const bool confirmed = m_fold->voters(m_options.region).isConfirmed();
    if (isTurnFor(!confirmed && holds(entry.proof), m_confirmWantedSince, now))
        actions.emplace_back(WriteConfirm { .entry = std::move(entry) });
}

void MembershipTracker::proposeEvict(std::vector<TrackerAction>& actions, TimePoint now)
{
    const RegionVoters& voters = m_fold->voters(m_options.region);
    EvictEntry entry { .proof = proof(), .lives = {}, .evidence = EvictEvidence::Endorsed, .endorsers = {} };
    std::optional<std::set<HostId>> common;
    for (const auto& [id, peer] : m_peers) {
        const HostLife life { .host = id, .incarnation = peer.incarnation };
        const std::vector<HostId> endorsers = endorsersOf(life, now);
        std::set<HostId> joined(endorsers.begin(), endorsers.end());
        if (common)
            std::erase_if(joined, [&](const HostId& it) { return !common->count(it); });
        if (!isMajority(joined, voters.current))
            continue;
        entry.lives.push_back(life);
        common = joined;
    }
    if (!isTurnFor(common && voters.isConfirmed() && holds(entry.proof), m_evictWantedSince, now))
        return;
    entry.endorsers.assign(common->begin(), common->end());
    actions.emplace_back(WriteEvict { .entry = std::move(entry) });
}

void MembershipTracker::proposeHostListEvict(std::vector<TrackerAction>& actions, TimePoint now)
{
    for (const auto& [id, missingSince] : m_missingFromList) {
        const Member* member = m_fold->find(id);
        if (!member || member->region != m_options.region || id == m_options.self)
            continue;
        const auto peer = m_peers.find(id);
        const bool heard = peer != m_peers.end() && heardRecently(peer->second, now);
        const TimePoint due = missingSince + m_options.hostListPatience;
        if (heard || now < due || !isTurn(due, now))
            continue;
        actions.emplace_back(WriteEvict { .entry = { .proof = proof(),
                                              .lives = { { .host = id, .incarnation = member->incarnation } },
                                              .evidence = EvictEvidence::HostList,
                                              .endorsers = {} } });
    }
}

void MembershipTracker::proposeRejoin(std::vector<TrackerAction>& actions, TimePoint now)
{
    const HostLife self = selfLife();
    if (self.incarnation == Incarnation(0)) {
        actions.emplace_back(WriteJoin {});
        return;
    }
    // Refused by so many that too few are left to act with.
    const bool refused = isVoter() && hearsMajority(now) && !mayAct(now);
    if (!refused) {
        m_refusedSince.reset();
        return;
    }
    if (!m_refusedSince)
        m_refusedSince = now;
    if (now - *m_refusedSince < m_options.rejoinAfter)
        return;
    m_refusedSince.reset();
    m_abandoned = self.incarnation;
    actions.emplace_back(WriteJoin {});
}

void MembershipTracker::sendHeartbeats(std::vector<TrackerAction>& actions, HostReport report, TimePoint now)
{
    const HostLife self = selfLife();
    if (self.incarnation == Incarnation(0) || (m_lastSend && now - *m_lastSend < m_options.heartbeatInterval))
        return;
    m_lastSend = now;
    ++m_sequence;
    m_sent.push_back({ .sequence = m_sequence, .sentAt = now });
    while (now - m_sent.front().sentAt > m_options.lease * KEPT_LEASES)
        m_sent.pop_front();
    report.folded = m_folded;
    report.governing = m_governing;
    report.endorsedEvictions.assign(m_endorsed.begin(), m_endorsed.end());
    keepPart(report.loads, LOADS_PER_HEARTBEAT, m_sequence);
    keepPart(report.demands, DEMANDS_PER_HEARTBEAT, m_sequence);
    const bool abandoned = self.incarnation == m_abandoned;
    for (const auto& [id, peer] : m_peers) {
        Heartbeat heartbeat { .sender = self,
            .sequence = m_sequence,
            .acknowledgedIncarnation = peer.incarnation,
            .acknowledgedSequence = abandoned ? 0 : peer.acknowledgeable,
            .report = report };
        actions.emplace_back(SendHeartbeat { .to = m_fold->find(id)->address, .heartbeat = std::move(heartbeat) });
    }
}

}
