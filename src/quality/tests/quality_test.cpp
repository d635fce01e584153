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
constexpr int LONGEST_RUN = 5000;

// Ratings until suspension for a version whose answers are good with the chance given; LONGEST_RUN where there was
// none.
int ratingsUntilSuspension(std::uint64_t seed, double goodShare)
{
    std::mt19937_64 random(seed);
    BadVersionDetector detector;
    for (int n = 1; n < LONGEST_RUN; ++n) {
        const bool good = std::uniform_real_distribution<double>(0, 1)(random) < goodShare;
        if (detector.onRatings(KEY, good ? 1 : 0, good ? 0 : 1, TARGET))
            return n;
    }
    return LONGEST_RUN;
}

}

Test(detector, findsABadVersionSoonAndSeldomAGoodOne)
{
    int suspendedInTime = 0;
    int falselySuspended = 0;
    constexpr int SEEDS = 400;
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        suspendedInTime += ratingsUntilSuspension(seed, 0.6) <= 60 ? 1 : 0;
        falselySuspended += ratingsUntilSuspension(seed, 0.95) < LONGEST_RUN ? 1 : 0;
    }
    // Targets: 99 in 100 bad versions within 60 ratings, at most 1 in 100 good ones within 5,000.
    cr_assert_geq(suspendedInTime, SEEDS * 99 / 100);
    cr_assert_leq(falselySuspended, SEEDS / 100);
}

Test(detector, longGoodPastDoesNotHideAVersionThatTurnsBad)
{
    BadVersionDetector detector;
    cr_assert_not(detector.onRatings(KEY, 10'000, 0, TARGET));
    int n = 0;
    while (!detector.onRatings(KEY, 0, 1, TARGET))
        cr_assert_lt(++n, 20);
    detector.forget(KEY.version);
    cr_assert_eq(detector.evidence(KEY), 0);
}

Test(estimator, boundRisesWithRatingsAndOldOnesFade)
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

Test(qualityfold, suspensionHoldsUntilTheListItemChanges)
{
    QualityFold fold;
    cr_assert(fold.apply(SuspendEntry { .version = KEY.version, .versionRevision = Offset(5) }));
    cr_assert_not(fold.apply(SuspendEntry { .version = KEY.version, .versionRevision = Offset(5) }));
    cr_assert(fold.isSuspended(KEY.version, Offset(5)));
    cr_assert_not(fold.isSuspended(KEY.version, Offset(9)));
    fold.apply(RatingsEntry { .key = KEY, .good = 4, .bad = 1 });
    cr_assert(QualityFold::fromSnapshot(fold.snapshot()).snapshot() == fold.snapshot());
}
