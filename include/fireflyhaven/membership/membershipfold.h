#pragma once

#include "fireflyhaven/membership/types/entries.h"

#include <map>

namespace fireflyhaven::membership {

// Voters of one region: the present set, and the set before a change that is not confirmed yet, by which a late host
// may still count. Both are the same while no change is under way.
struct RegionVoters {
    std::set<HostId> current;
    std::set<HostId> previous;
    // Offset of the last record that changed either set.
    Offset changedAt;

    bool isConfirmed() const { return current == previous; }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RegionVoters, current, previous, changedAt)

// True where `hosts` contains more than half of `voters`.
bool isMajority(const std::set<HostId>& hosts, const std::set<HostId>& voters);
// True where `hosts` contains more than half of the present and of the previous voters.
bool isJointMajority(const std::set<HostId>& hosts, const RegionVoters& voters);

// Folds membership records, in the order of the log, into members and voters.
//
// Voters change in steps. A step (admit, or evict by endorsement) is accepted only while no other is under way, and is
// ended by a confirm record, which shows that majorities of the voters before and after the step have folded it. So
// whoever still counts by older voters has lost its majority by the time of the confirm record.
class MembershipFold {
public:
    // Each returns whether the record was accepted.
    bool apply(const JoinEntry& entry, Offset offset);
    bool apply(const AdmitEntry& entry, Offset offset);
    bool apply(const ConfirmEntry& entry, Offset offset);
    bool apply(const LeaveEntry& entry, Offset offset);
    bool apply(const EvictEntry& entry, Offset offset);

    const std::map<HostId, Member>& members() const { return m_members; }
    const Member* find(const HostId& id) const;
    // Voters of the region; empty sets for a region without voters.
    const RegionVoters& voters(const RegionId& region) const;
    bool isLive(const HostLife& life) const;

    nlohmann::json snapshot() const;
    static MembershipFold fromSnapshot(const nlohmann::json& document);

private:
    bool holds(const VotersProof& proof) const;
    bool evictGone(const EvictEntry& entry, Offset offset);
    void removeGone(const HostLife& life, Offset offset);

    std::map<HostId, Member> m_members;
    std::map<RegionId, RegionVoters> m_voters;
};

}
