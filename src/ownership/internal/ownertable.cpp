#include "fireflyhaven/ownership/ownertable.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::ownership {

namespace {

struct Candidate {
    HostId host;
    std::uint64_t hash = 0;
    std::size_t owned = 0;
};

// Upstreams that share one set of candidate owners.
struct CandidateGroup {
    std::vector<Candidate> candidates;
    std::vector<UpstreamId> upstreams;
};

bool inService(const config::Lists& lists, const DataCentreId& id)
{
    const auto* item = config::findItem(lists.dataCentres, id);
    return item && item->value.inService;
}

std::vector<Candidate> votersWhere(
    const membership::MembershipFold& members, const RegionId& region, const auto& accept)
{
    std::vector<Candidate> candidates;
    for (const HostId& id : members.voters(region).current) {
        if (accept(*members.find(id)))
            candidates.push_back({ .host = id, .hash = stableHash(id.value()) });
    }
    return candidates;
}

std::vector<Candidate> candidatesFor(
    const config::Lists& lists, const membership::MembershipFold& members, const DataCentreId& dataCentre)
{
    const RegionId& region = lists.dataCentres.at(dataCentre).value.region;
    std::vector<Candidate> candidates
        = votersWhere(members, region, [&](const membership::Member& it) { return it.dataCentre == dataCentre; });
    if (candidates.empty())
        candidates = votersWhere(
            members, region, [&](const membership::Member& it) { return inService(lists, it.dataCentre); });
    if (candidates.empty())
        candidates = votersWhere(members, region, [](const membership::Member&) { return true; });
    return candidates;
}

// Assigns the upstream to the candidate with the highest score among those below the bound (rendezvous hashing with
// bounded load).
void assignUpstream(
    Assignment& assignment, std::vector<Candidate>& candidates, const UpstreamId& upstream, std::size_t maxUpstreams)
{
    const std::uint64_t hash = stableHash(upstream.value());
    Candidate* best = nullptr;
    std::uint64_t bestScore = 0;
    for (Candidate& it : candidates) {
        const std::uint64_t score = combineHashes(it.hash, hash);
        if (it.owned < maxUpstreams && (!best || score > bestScore)) {
            best = &it;
            bestScore = score;
        }
    }
    if (!best)
        return;
    ++best->owned;
    assignment[upstream] = best->host;
}

}

Assignment assignOwners(
    const config::Lists& lists, const membership::MembershipFold& members, const AssignOptions& options)
{
    std::map<DataCentreId, CandidateGroup> groups;
    for (const auto& [id, item] : lists.upstreams)
        groups[item.value.dataCentre].upstreams.push_back(id);
    Assignment assignment;
    for (auto& [dataCentre, group] : groups) {
        group.candidates = candidatesFor(lists, members, dataCentre);
        if (group.candidates.empty())
            continue;
        const double evenShare
            = static_cast<double>(group.upstreams.size()) / static_cast<double>(group.candidates.size());
        const auto maxUpstreams = static_cast<std::size_t>(std::ceil(evenShare * options.maxLoadFactor));
        for (const UpstreamId& id : group.upstreams)
            assignUpstream(assignment, group.candidates, id, maxUpstreams);
    }
    return assignment;
}

void OwnerTable::update(const config::Lists& lists, const membership::MembershipFold& members, Offset governing)
{
    Assignment next = assignOwners(lists, members, m_options);
    for (const auto& [upstream, owner] : next) {
        const auto it = m_assignment.find(upstream);
        const membership::Member* member = members.find(owner);
        const bool sameIncarnation
            = member && m_incarnations.count(owner) > 0 && m_incarnations[owner] == member->incarnation;
        if (it == m_assignment.end() || it->second != owner || !sameIncarnation)
            m_ownerSince[upstream] = governing;
    }
    std::erase_if(m_ownerSince, [&](const auto& it) { return !next.count(it.first); });
    m_assignment = std::move(next);
    m_incarnations.clear();
    for (const auto& [id, member] : members.members())
        m_incarnations[id] = member.incarnation;
}

void OwnerTable::reset(const config::Lists& lists, const membership::MembershipFold& members, Offset governing)
{
    m_assignment.clear();
    m_ownerSince.clear();
    update(lists, members, governing);
}

const HostId* OwnerTable::ownerOf(const UpstreamId& upstream) const
{
    const auto it = m_assignment.find(upstream);
    return it == m_assignment.end() ? nullptr : &it->second;
}

Offset OwnerTable::ownerSince(const UpstreamId& upstream) const
{
    const auto it = m_ownerSince.find(upstream);
    return it == m_ownerSince.end() ? Offset(0) : it->second;
}

std::vector<UpstreamId> OwnerTable::ownedBy(const HostId& host) const
{
    std::vector<UpstreamId> upstreams;
    for (const auto& [upstream, owner] : m_assignment) {
        if (owner == host)
            upstreams.push_back(upstream);
    }
    return upstreams;
}

}
