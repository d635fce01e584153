#include "fireflyhaven/quality/badversiondetector.h"
#include "fireflyhaven/quality/estimator.h"

#include <deque>
#include <random>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::quality;

namespace {

const RatingKey KEY { TaskName("chat"), { "m", "2" } };
constexpr double TARGET = 0.9;
constexpr int MAX_RATINGS = 5000;

// Number of ratings until a version with the given share of good answers is suspended; MAX_RATINGS where it is not.
int ratingsUntilSuspension(std::uint64_t seed, double goodShare)
{
    std::mt19937_64 random(seed);
    BadVersionDetector detector;
    for (int n = 1; n < MAX_RATINGS; ++n) {
        const bool good = std::uniform_real_distribution<double>(0, 1)(random) < goodShare;
        if (detector.onRatings(KEY, good ? 1 : 0, good ? 0 : 1, TARGET))
            return n;
    }
    return MAX_RATINGS;
}

}

Test(detector, suspendsBadVersionsSoonAndRarelyGoodOnes)
{
    int suspendedInTime = 0;
    int falselySuspended = 0;
    constexpr int SEEDS = 400;
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        suspendedInTime += ratingsUntilSuspension(seed, 0.6) <= 60 ? 1 : 0;
        falselySuspended += ratingsUntilSuspension(seed, 0.95) < MAX_RATINGS ? 1 : 0;
    }
    // Targets: 99 % of the bad versions within 60 ratings, at most 1 % of the good ones within 5,000.
    cr_assert_geq(suspendedInTime, SEEDS * 99 / 100);
    cr_assert_leq(falselySuspended, SEEDS / 100);
}

Test(detector, goodHistoryDoesNotDelayDetection)
{
    BadVersionDetector detector;
    cr_assert_not(detector.onRatings(KEY, 10'000, 0, TARGET));
    int n = 0;
    while (!detector.onRatings(KEY, 0, 1, TARGET))
        cr_assert_lt(++n, 20);
    detector.discardEvidence(KEY.version);
    cr_assert_eq(detector.evidence(KEY), 0);
}

Test(estimator, boundRisesWithRatingsAndOldRatingsDecay)
{
    RatingCounts counts;
    const double prior = estimateQuality(counts, 0.9).lowerBound;
    counts.add(200, 5);
    cr_assert_gt(estimateQuality(counts, 0.9).lowerBound, prior);
    cr_assert_lt(estimateQuality(counts, 0.9).lowerBound, estimateQuality(counts, 0.9).mean);
    for (int n = 0; n < 1000; ++n)
        counts.add(0, 1);
    cr_assert_lt(estimateQuality(counts, 0.9).mean, 0.2);
}

Test(qualityfold, suspensionHoldsUntilListItemChanges)
{
    QualityFold fold;
    cr_assert(fold.apply(SuspendEntry { .version = KEY.version, .versionRevision = Offset(5) }));
    cr_assert_not(fold.apply(SuspendEntry { .version = KEY.version, .versionRevision = Offset(5) }));
    cr_assert(fold.isSuspended(KEY.version, Offset(5)));
    cr_assert_not(fold.isSuspended(KEY.version, Offset(9)));
    fold.apply(RatingsEntry { .key = KEY, .good = 4, .bad = 1 });
    cr_assert(QualityFold::fromSnapshot(fold.snapshot()).snapshot() == fold.snapshot());
}
