#include "fireflyhaven/config/configfold.h"
#include "fireflyhaven/ownership/ownertable.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::ownership;

namespace {

const RegionId REGION("r");

config::Lists listsOf(int dataCentres, int upstreams)
{
    nlohmann::json document { { "versions",
        { { "m@1", { { "state", "active" }, { "input_price", 1 }, { "output_price", 1 } } } } } };
    for (int n = 0; n < dataCentres; ++n)
        document["data_centres"]["dc" + std::to_string(n)] = { { "region", "r" } };
    for (int n = 0; n < upstreams; ++n) {
        document["upstreams"]["u" + std::to_string(n)]
            = { { "address", "10.0.0.1:80" }, { "data_centre", "dc" + std::to_string(n % dataCentres) },
                  { "kind", "engine" }, { "versions", { "m@1" } }, { "cold_limit", 1 }, { "limit", 2 } };
    }
    std::vector<config::ValidationError> errors;
    return config::parseLists(document, errors);
}

membership::JoinEntry joinOf(int n, int dataCentres)
{
    return { .host = HostId("h" + std::to_string(n)),
        .dataCentre = DataCentreId("dc" + std::to_string(n % dataCentres)),
        .region = REGION };
}

membership::MembershipFold membersOf(int hosts, int dataCentres)
{
    membership::MembershipFold members;
    for (int n = 0; n < hosts; ++n) {
        members.apply(joinOf(n, dataCentres), Offset(static_cast<std::uint64_t>(n) + 1));
        if (n == 0)
            continue;
        const auto proof = [&] {
            const auto& voters = members.voters(REGION);
            return membership::VotersProof { .region = REGION,
                .votersChangedAt = voters.changedAt,
                .witnesses = { voters.current.begin(), voters.current.end() } };
        };
        const HostId id("h" + std::to_string(n));
        cr_assert(members.apply(
            membership::AdmitEntry { .proof = proof(), .learners = { { id, members.find(id)->incarnation } } },
            Offset(1000 + 2 * static_cast<std::uint64_t>(n))));
        cr_assert(members.apply(
            membership::ConfirmEntry { .proof = proof() }, Offset(1001 + 2 * static_cast<std::uint64_t>(n))));
    }
    return members;
}

}

Test(ownership, upstreamsAreOwnedInTheirDataCentreWithinBound)
{
    const config::Lists lists = listsOf(3, 300);
    const membership::MembershipFold members = membersOf(9, 3);
    const Assignment assignment = assignOwners(lists, members);
    cr_assert_eq(assignment.size(), 300);
    std::map<HostId, int> owned;
    for (const auto& [upstream, owner] : assignment) {
        ++owned[owner];
        cr_assert(members.find(owner)->dataCentre == lists.upstreams.at(upstream).value.dataCentre);
    }
    for (const auto& [host, n] : owned)
        cr_assert_leq(n, 42, "the even share is 33.3 and the bound 1.25 times that, rounded up");
}

Test(ownership, fewUpstreamsMoveWhenHostLeaves)
{
    const config::Lists lists = listsOf(3, 300);
    membership::MembershipFold members = membersOf(9, 3);
    const Assignment before = assignOwners(lists, members);
    members.apply(membership::LeaveEntry { { HostId("h4"), members.find(HostId("h4"))->incarnation } }, Offset(5000));
    const Assignment after = assignOwners(lists, members);
    int moved = 0;
    int minMoved = 0;
    for (const auto& [upstream, owner] : before) {
        moved += after.at(upstream) != owner ? 1 : 0;
        minMoved += owner == HostId("h4") ? 1 : 0;
    }
    // Target: at most twice the minimum, which is the number of upstreams of the removed host.
    cr_assert_leq(moved, 2 * minMoved);
}

Test(ownership, upstreamsFallBackToOtherDataCentresOfRegion)
{
    membership::MembershipFold members = membersOf(3, 3);
    members.apply(membership::LeaveEntry { { HostId("h1"), members.find(HostId("h1"))->incarnation } }, Offset(5000));
    cr_assert_eq(assignOwners(listsOf(3, 30), members).size(), 30);
    cr_assert(assignOwners(listsOf(3, 30), membership::MembershipFold()).empty());
}

Test(ownertable, rejoinedOwnerGetsNewOwnershipOffset)
{
    const config::Lists lists = listsOf(1, 1);
    const UpstreamId upstream("u0");
    membership::MembershipFold members = membersOf(1, 1);
    OwnerTable table;
    table.update(lists, members, Offset(10));
    cr_assert_eq(table.ownerSince(upstream).value(), 10);
    table.update(lists, members, Offset(11));
    cr_assert_eq(table.ownerSince(upstream).value(), 10, "the owner is unchanged");
    members.apply(joinOf(0, 1), Offset(12));
    table.update(lists, members, Offset(12));
    cr_assert_eq(table.ownerSince(upstream).value(), 12, "the host has a new incarnation");
    table.reset(lists, members, Offset(13));
    cr_assert_eq(table.ownerSince(upstream).value(), 13, "reset discards earlier owners");
}
