#pragma once

#include "fireflyhaven/config/types/lists.h"
#include "fireflyhaven/membership/membershipfold.h"

namespace fireflyhaven::ownership {

struct AssignOptions {
    // Upper bound on the upstreams of one data centre per owner, as a multiple of the even share.
    double maxLoadFactor = 1.25;
};

using Assignment = std::map<UpstreamId, HostId>;

// Assigns each upstream to one voter of its region by rendezvous hashing with bounded load. Pure function of the lists
// and members. The candidates are the voters in the upstream's data centre; if there are none, the voters in the data
// centres that are in service; if there are none either, all voters of the region. An upstream in a region without
// voters has no owner.
Assignment assignOwners(
    const config::Lists& lists, const membership::MembershipFold& members, const AssignOptions& options = {});

// Current assignment, and the offset since which each upstream has its current owner. Must be updated after every
// governing record (a change of the configuration lists, the membership or the suspensions of versions): an upstream
// that is removed and added again, and an owner that rejoins, count as a new ownership.
class OwnerTable {
public:
    explicit OwnerTable(AssignOptions options = {})
        : m_options(options)
    {
    }

    // Recomputes the assignment after the governing record at offset `governing`.
    void update(const config::Lists& lists, const membership::MembershipFold& members, Offset governing);
    // Recomputes the assignment as if every upstream had got its owner at offset `governing`. Used after a start from a
    // snapshot, where the earlier owners are unknown.
    void reset(const config::Lists& lists, const membership::MembershipFold& members, Offset governing);

    // Null if the upstream has no owner.
    const HostId* ownerOf(const UpstreamId& upstream) const;
    // Offset of the governing record that gave the upstream its current owner. Also the fencing token of the owner's
    // requests.
    Offset ownerSince(const UpstreamId& upstream) const;
    std::vector<UpstreamId> ownedBy(const HostId& host) const;
    const Assignment& assignment() const { return m_assignment; }

private:
    AssignOptions m_options;
    Assignment m_assignment;
    std::map<UpstreamId, Offset> m_ownerSince;
    std::map<HostId, Incarnation> m_incarnations;
};

}
