#include "fireflyhaven/idempotency/calldecision.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::idempotency;

namespace {

constexpr std::int64_t NOW_MS = 1'700'000'000'000;
const WallTime NOW { Duration(NOW_MS) };
const CallKey CALL { WorkspaceId("w"), IdempotencyKey("k") };

ClaimEntry claimOf(const std::string& holder, std::int64_t issuedMs = NOW_MS)
{
    return { .call = CALL, .holder = { HostId(holder), Incarnation(1) }, .bodyDigest = "b", .issuedMs = issuedMs };
}

CallDecision decide(const ClaimFold& fold, const std::string& digest = "b", std::int64_t issuedMs = NOW_MS)
{
    return decideCall(fold.find(CALL), digest, issuedMs, NOW, NOW_MS);
}

ClaimFold foldWith(CallOutcome end)
{
    ClaimFold fold;
    fold.apply(claimOf("a"), Offset(5), NOW_MS);
    fold.apply(ResultEntry { .call = CALL, .claim = Offset(5), .end = end, .status = 200, .body = "answer" });
    return fold;
}

}

Test(calldecision, decisionFollowsClaimState)
{
    ClaimFold fold;
    cr_assert(decide(fold) == CallDecision::Claim);
    fold.apply(claimOf("a"), Offset(5), NOW_MS);
    cr_assert(decide(fold) == CallDecision::Pending);
    cr_assert(decide(fold, "other") == CallDecision::BodyMismatch);
    cr_assert(decide(foldWith(CallOutcome::Answered)) == CallDecision::Replay);
    cr_assert(decide(foldWith(CallOutcome::Unknown)) == CallDecision::OutcomeUnknown);
    cr_assert(decide(foldWith(CallOutcome::NotSent)) == CallDecision::Claim);
}

Test(calldecision, expiredFutureAndMalformedKeysAreRejected)
{
    const ClaimFold fold;
    cr_assert(decide(fold, "b", NOW_MS - KEY_LIFETIME.count() - 1) == CallDecision::Expired);
    cr_assert(decide(fold, "b", NOW_MS + 120'000) == CallDecision::NotYetValid);
    cr_assert_eq(parseIssueTime("1700000000000-abc").value(), NOW_MS);
    for (const char* bad :
        { "", "abc", "1700000000000", "1700000000000-", "17000000000-a", "17000000000000-a", "1x00000000000-a" })
        cr_assert_not(parseIssueTime(bad).has_value(), "%s", bad);
}

Test(claimfold, firstClaimWins)
{
    ClaimFold fold;
    cr_assert(fold.apply(claimOf("a"), Offset(5), NOW_MS) == ClaimOutcome::Granted);
    cr_assert(fold.apply(claimOf("b"), Offset(6), NOW_MS) == ClaimOutcome::Taken);
    cr_assert(fold.find(CALL)->holder.host == HostId("a"));
}

Test(claimfold, resultOfOtherClaimIsRejected)
{
    ClaimFold fold;
    fold.apply(claimOf("a"), Offset(5), NOW_MS);
    cr_assert_not(fold.apply(ResultEntry { .call = CALL, .claim = Offset(4) }));
    cr_assert(fold.apply(ResultEntry { .call = CALL, .claim = Offset(5), .end = CallOutcome::Unknown }));
    cr_assert(fold.apply(ResultEntry { .call = CALL, .claim = Offset(5), .end = CallOutcome::Answered }),
        "an unknown outcome may be resolved later");
    cr_assert_not(fold.apply(ResultEntry { .call = CALL, .claim = Offset(5), .end = CallOutcome::NotSent }));
}

Test(claimfold, keyReclaimableOnlyIfCallNotSent)
{
    ClaimFold notSent = foldWith(CallOutcome::NotSent);
    cr_assert(notSent.apply(claimOf("b"), Offset(9), NOW_MS) == ClaimOutcome::Granted);
    ClaimFold unknown = foldWith(CallOutcome::Unknown);
    cr_assert(unknown.apply(claimOf("b"), Offset(9), NOW_MS) == ClaimOutcome::Taken);
}

Test(claimfold, droppedKeyIsRejectedAsExpired)
{
    ClaimFold fold;
    fold.apply(claimOf("a"), Offset(1), NOW_MS);
    const CallKey other { WorkspaceId("w"), IdempotencyKey("other") };
    ClaimEntry later = claimOf("a", NOW_MS + 3 * KEY_LIFETIME.count());
    later.call = other;
    fold.apply(later, Offset(2), NOW_MS + 3 * KEY_LIFETIME.count());
    cr_assert_null(fold.find(CALL));
    cr_assert(fold.apply(claimOf("b"), Offset(3), NOW_MS + 3 * KEY_LIFETIME.count()) == ClaimOutcome::Expired);
    cr_assert_eq(fold.size(), 1);
}
