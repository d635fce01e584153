#include "fireflyhaven/membership/membershipfold.h"

#include <algorithm>

namespace fireflyhaven::membership {

bool isMajority(const std::set<HostId>& hosts, const std::set<HostId>& voters)
{
    const auto n = std::count_if(voters.begin(), voters.end(), [&](const HostId& it) { return hosts.count(it) > 0; });
    return static_cast<std::size_t>(n) * 2 > voters.size();
}

bool isJointMajority(const std::set<HostId>& hosts, const RegionVoters& voters)
{
    return isMajority(hosts, voters.current) && (voters.previous.empty() || isMajority(hosts, voters.previous));
}

bool MembershipFold::apply(const JoinEntry& entry, Offset offset)
{
    // The new process listens on the address, so an earlier incarnation of the host no longer receives acknowledgements
    // there and can be removed without endorsement.
    if (const Member* earlier = find(entry.host))
        removeMember({ entry.host, earlier->incarnation }, offset);
    RegionVoters& voters = m_voters[entry.region];
    const bool first = voters.current.empty();
    m_members[entry.host] = { .id = entry.host,
        .incarnation = offset,
        .dataCentre = entry.dataCentre,
        .region = entry.region,
        .address = entry.address,
        .writer = entry.writer,
        .voter = first };
    if (first)
        voters = { .current = { entry.host }, .previous = { entry.host }, .changedAt = offset };
    return true;
}

bool MembershipFold::apply(const AdmitEntry& entry, Offset offset)
{
    const RegionId& region = entry.proof.region;
    if (entry.learners.empty() || !voters(region).isConfirmed() || !isValidProof(entry.proof))
        return false;
    std::vector<Member*> admitted;
    for (const HostIncarnation& it : entry.learners) {
        const auto member = m_members.find(it.host);
        if (!isCurrentIncarnation(it) || member->second.voter || member->second.region != region)
            return false;
        admitted.push_back(&member->second);
    }
    RegionVoters& voters = m_voters[region];
    for (Member* it : admitted) {
        it->voter = true;
        voters.current.insert(it->id);
    }
    voters.changedAt = offset;
    return true;
}

bool MembershipFold::apply(const ConfirmEntry& entry, Offset offset)
{
    if (voters(entry.proof.region).isConfirmed() || !isValidProof(entry.proof))
        return false;
    RegionVoters& voters = m_voters[entry.proof.region];
    voters.previous = voters.current;
    voters.changedAt = offset;
    return true;
}

bool MembershipFold::apply(const LeaveEntry& entry, Offset offset)
{
    if (!isCurrentIncarnation(entry.life))
        return false;
    removeMember(entry.life, offset);
    return true;
}

bool MembershipFold::apply(const EvictEntry& entry, Offset offset)
{
    const RegionId& region = entry.proof.region;
    const auto isInvalid
        = [&](const HostIncarnation& it) { return !isCurrentIncarnation(it) || find(it.host)->region != region; };
    if (entry.lives.empty() || std::any_of(entry.lives.begin(), entry.lives.end(), isInvalid))
        return false;
    if (entry.evidence == EvictEvidence::HostList)
        return evictByHostList(entry, offset);
    const std::set<HostId> endorsers(entry.endorsers.begin(), entry.endorsers.end());
    const bool endorsed = isMajority(endorsers, voters(region).current);
    if (!endorsed || !voters(region).isConfirmed() || !isValidProof(entry.proof))
        return false;
    RegionVoters& voters = m_voters[region];
    for (const HostIncarnation& it : entry.lives) {
        voters.current.erase(it.host);
        m_members.erase(it.host);
    }
    voters.changedAt = offset;
    return true;
}

bool MembershipFold::evictByHostList(const EvictEntry& entry, Offset offset)
{
    for (const HostIncarnation& it : entry.lives)
        removeMember(it, offset);
    return true;
}

const Member* MembershipFold::find(const HostId& id) const
{
    const auto it = m_members.find(id);
    return it == m_members.end() ? nullptr : &it->second;
}

const RegionVoters& MembershipFold::voters(const RegionId& region) const
{
    static const RegionVoters NO_VOTERS;
    const auto it = m_voters.find(region);
    return it == m_voters.end() ? NO_VOTERS : it->second;
}

bool MembershipFold::isCurrentIncarnation(const HostIncarnation& target) const
{
    const Member* it = find(target.host);
    return it && it->incarnation == target.incarnation;
}

bool MembershipFold::isValidProof(const VotersProof& proof) const
{
    const RegionVoters& present = voters(proof.region);
    return proof.votersChangedAt == present.changedAt
        && isJointMajority(std::set<HostId>(proof.witnesses.begin(), proof.witnesses.end()), present);
}

// A host that has certainly stopped acknowledges no heartbeats, so it is removed from the previous voters too.
void MembershipFold::removeMember(const HostIncarnation& target, Offset offset)
{
    const auto it = m_members.find(target.host);
    RegionVoters& voters = m_voters[it->second.region];
    const bool wasVoter = voters.current.erase(target.host) + voters.previous.erase(target.host) > 0;
    if (wasVoter)
        voters.changedAt = offset;
    m_members.erase(it);
}

nlohmann::json MembershipFold::snapshot() const
{
    nlohmann::json members = nlohmann::json::array();
    for (const auto& [id, member] : m_members)
        members.push_back(member);
    nlohmann::json regions = nlohmann::json::object();
    for (const auto& [region, voters] : m_voters)
        regions[region.value()] = voters;
    return { { "members", members }, { "voters", regions } };
}

MembershipFold MembershipFold::fromSnapshot(const nlohmann::json& document)
{
    MembershipFold fold;
    for (const nlohmann::json& node : document.at("members")) {
        Member member = node.get<Member>();
        fold.m_members[member.id] = member;
    }
    for (const auto& [region, node] : document.at("voters").items())
        fold.m_voters[RegionId(region)] = node.get<RegionVoters>();
    return fold;
}

}
