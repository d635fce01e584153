#include "fireflyhaven/membership/membershipfold.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::membership;

namespace {

const RegionId REGION("r");

JoinEntry joinOf(const std::string& host) { return { .host = HostId(host), .region = REGION }; }

VotersProof proofOf(const MembershipFold& fold, std::vector<HostId> witnesses)
{
    return { .region = REGION, .votersChangedAt = fold.voters(REGION).changedAt, .witnesses = std::move(witnesses) };
}

HostIncarnation incarnationOf(const MembershipFold& fold, const std::string& host)
{
    return { HostId(host), fold.find(HostId(host))->incarnation };
}

const HostId A("a");
const HostId B("b");
const HostId C("c");

// Region with the confirmed voters a, b and c.
MembershipFold threeVoters()
{
    MembershipFold fold;
    fold.apply(joinOf("a"), Offset(1));
    fold.apply(joinOf("b"), Offset(2));
    fold.apply(joinOf("c"), Offset(3));
    cr_assert(fold.apply(
        AdmitEntry { proofOf(fold, { A }), { incarnationOf(fold, "b"), incarnationOf(fold, "c") } }, Offset(4)));
    cr_assert(fold.apply(ConfirmEntry { proofOf(fold, { A, B }) }, Offset(5)));
    return fold;
}

EvictEntry evictOf(const MembershipFold& fold, const std::string& host, const std::vector<HostId>& endorsers)
{
    return { .proof = proofOf(fold, endorsers), .lives = { incarnationOf(fold, host) }, .endorsers = endorsers };
}

}

Test(membershipfold, joinedHostIsLearnerUntilAdmitted)
{
    MembershipFold fold = threeVoters();
    fold.apply(joinOf("d"), Offset(6));
    cr_assert_not(fold.find(HostId("d"))->voter);
    cr_assert_eq(fold.voters(REGION).current.size(), 3);
    cr_assert_not(fold.apply(AdmitEntry { proofOf(fold, { A }), { incarnationOf(fold, "d") } }, Offset(7)),
        "one witness out of three is not a majority");
    cr_assert(fold.apply(AdmitEntry { proofOf(fold, { A, C }), { incarnationOf(fold, "d") } }, Offset(8)));
    cr_assert(fold.find(HostId("d"))->voter);
}

Test(membershipfold, evictionRequiresMajorityOfEndorsers)
{
    MembershipFold fold = threeVoters();
    cr_assert_not(fold.apply(evictOf(fold, "c", { A }), Offset(6)));
    cr_assert(fold.apply(evictOf(fold, "c", { A, B }), Offset(7)));
    cr_assert_null(fold.find(C));
}

Test(membershipfold, voterChangeRequiresConfirmationOfPreviousChange)
{
    MembershipFold fold = threeVoters();
    fold.apply(joinOf("d"), Offset(6));
    fold.apply(AdmitEntry { proofOf(fold, { A, B }), { incarnationOf(fold, "d") } }, Offset(7));
    cr_assert_not(fold.apply(evictOf(fold, "c", { A, B, HostId("d") }), Offset(8)));
    cr_assert_not(
        fold.apply(ConfirmEntry { proofOf(fold, { HostId("d"), A }) }, Offset(9)), "two of four are not a majority");
    cr_assert(fold.apply(ConfirmEntry { proofOf(fold, { HostId("d"), A, B }) }, Offset(10)));
    cr_assert(fold.apply(evictOf(fold, "c", { A, B, HostId("d") }), Offset(11)));
}

Test(membershipfold, staleProofIsRejected)
{
    MembershipFold fold = threeVoters();
    fold.apply(joinOf("d"), Offset(6));
    fold.apply(AdmitEntry { proofOf(fold, { A, B }), { incarnationOf(fold, "d") } }, Offset(7));
    fold.apply(ConfirmEntry { proofOf(fold, { A, B, C }) }, Offset(8));
    const EvictEntry stale = evictOf(fold, "d", { A, B, C });
    fold.apply(LeaveEntry { incarnationOf(fold, "c") }, Offset(9));
    // Two of the three remaining voters would be a majority, but the proof precedes the last change of the voters.
    cr_assert_not(fold.apply(stale, Offset(10)));
    cr_assert(fold.apply(evictOf(fold, "d", { A, B }), Offset(11)));
}

Test(membershipfold, evictionOfEarlierIncarnationIsRejected)
{
    MembershipFold fold = threeVoters();
    const EvictEntry stale = evictOf(fold, "c", { A, B });
    fold.apply(joinOf("c"), Offset(6));
    cr_assert_not(fold.apply(stale, Offset(7)));
    cr_assert(fold.isCurrentIncarnation({ C, Incarnation(6) }));
}

Test(membershipfold, hostListEvictionNeedsNoEndorsers)
{
    MembershipFold fold = threeVoters();
    cr_assert(fold.apply(EvictEntry { .proof = { .region = REGION },
                             .lives = { incarnationOf(fold, "b"), incarnationOf(fold, "c") },
                             .evidence = EvictEvidence::HostList },
        Offset(6)));
    cr_assert_eq(fold.voters(REGION).current.size(), 1);
    cr_assert(fold.voters(REGION).isConfirmed(), "evicted hosts are removed from both voter sets");
}

Test(membershipfold, snapshotRoundTripPreservesState)
{
    const MembershipFold fold = threeVoters();
    cr_assert(MembershipFold::fromSnapshot(fold.snapshot()).snapshot() == fold.snapshot());
}
