#pragma once

#include "fireflyhaven/membership/types/entries.h"

#include <map>

namespace fireflyhaven::membership {

// Voters of one region. During a change of the voters, `previous` is the set before the change, which a host that has
// not applied the change may still use to count majorities. Without a change in progress both sets are equal.
struct RegionVoters {
    std::set<HostId> current;
    std::set<HostId> previous;
    // Offset of the last record that changed either set.
    Offset changedAt;

    bool isConfirmed() const { return current == previous; }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RegionVoters, current, previous, changedAt)

// True if `hosts` contains more than half of `voters`.
bool isMajority(const std::set<HostId>& hosts, const std::set<HostId>& voters);
// True if `hosts` contains more than half of the current and more than half of the previous voters. The previous voters
// don't count if there are none left.
bool isJointMajority(const std::set<HostId>& hosts, const RegionVoters& voters);

// Replicated state of the members and voters; membership records are applied in the order of the log.
//
// The voters change by joint consensus. A change (admit, or evict by endorsement) is accepted only while no other
// change is in progress. It ends with a confirm record, which proves that majorities of the voters before and after the
// change have applied it. A host that still counts by the older voters has therefore lost its majority by the time of
// the confirm record.
class MembershipFold {
public:
    // Each overload returns whether the entry was accepted.
    bool apply(const JoinEntry& entry, Offset offset);
    bool apply(const AdmitEntry& entry, Offset offset);
    bool apply(const ConfirmEntry& entry, Offset offset);
    bool apply(const LeaveEntry& entry, Offset offset);
    bool apply(const EvictEntry& entry, Offset offset);

    const std::map<HostId, Member>& members() const { return m_members; }
    const Member* find(const HostId& id) const;
    // Voters of the region; both sets are empty for an unknown region.
    const RegionVoters& voters(const RegionId& region) const;
    bool isCurrentIncarnation(const HostIncarnation& target) const;

    nlohmann::json snapshot() const;
    static MembershipFold fromSnapshot(const nlohmann::json& document);

private:
    bool isValidProof(const VotersProof& proof) const;
    bool evictByHostList(const EvictEntry& entry, Offset offset);
    void removeMember(const HostIncarnation& target, Offset offset);

    std::map<HostId, Member> m_members;
    std::map<RegionId, RegionVoters> m_voters;
};

}
