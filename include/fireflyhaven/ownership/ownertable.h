#pragma once

#include "fireflyhaven/config/types/lists.h"
#include "fireflyhaven/membership/membershipfold.h"

namespace fireflyhaven::ownership {

struct AssignOptions {
    // An owner gets at most this many times its even share of the upstreams of a data centre.
    double overload = 1.25;
};

using Assignment = std::map<UpstreamId, HostId>;

// Assigns each upstream to one voter of its region, as a pure function of the lists and members. Hosts in the
// upstream's data centre come first; in-service data centres come before those taken out. An upstream in a region
// without voters gets no owner.
Assignment assignOwners(
    const config::Lists& lists, const membership::MembershipFold& members, const AssignOptions& options = {});

// Keeps the assignment and since when each upstream has its present owner. Has to see every governing record: an
// upstream that goes away and comes back has a new owner as well.
class OwnerTable {
public:
    explicit OwnerTable(AssignOptions options = {})
        : m_options(options)
    {
    }

    // Recomputes after the governing record at `governing`.
    void update(const config::Lists& lists, const membership::MembershipFold& members, Offset governing);
    // Forgets since when owners are known; used after a start from a snapshot, where earlier owners are unknown.
    void reset(const config::Lists& lists, const membership::MembershipFold& members, Offset governing);

    // Null where the upstream has no owner.
    const HostId* ownerOf(const UpstreamId& upstream) const;
    // Offset of the governing record that gave the upstream its owner. Also the fencing number of the owner's orders.
    Offset ownerSince(const UpstreamId& upstream) const;
    std::vector<UpstreamId> ownedBy(const HostId& host) const;
    const Assignment& assignment() const { return m_assignment; }

private:
    AssignOptions m_options;
    Assignment m_assignment;
    std::map<UpstreamId, Offset> m_since;
    std::map<HostId, Incarnation> m_lives;
};

}
