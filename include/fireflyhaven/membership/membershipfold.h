#pragma once

#include "fireflyhaven/membership/types/entries.h"

#include <map>

namespace fireflyhaven::membership {

// Voters of one region: the present set, and the set before the last change, from which a late host may still count.
struct RegionVoters {
    std::set<HostId> current;
    std::set<HostId> previous;
    // Offset of the last change of the voters.
    Offset changedAt;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RegionVoters, current, previous, changedAt)

// True where `hosts` contains more than half of `voters`.
bool isMajority(const std::set<HostId>& hosts, const std::set<HostId>& voters);
// True where `hosts` contains more than half of the present and of the previous voters.
bool isJointMajority(const std::set<HostId>& hosts, const RegionVoters& voters);

// Folds membership records, in the order of the log, into members and voters.
//
// Voters change in steps: a step is accepted only with witnesses, a majority of the voters before and after the step
// that came before, which have folded that step. So whoever still counts by voters older than `previous` has lost its
// majority already.
class MembershipFold {
public:
    // Each returns whether the record was accepted.
    bool apply(const JoinEntry& entry, Offset offset);
    bool apply(const AdmitEntry& entry, Offset offset);
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
    bool hasWitnesses(const RegionId& region, const std::vector<HostId>& witnesses) const;
    void removeGone(const HostLife& life, Offset offset);

    std::map<HostId, Member> m_members;
    std::map<RegionId, RegionVoters> m_voters;
};

}
