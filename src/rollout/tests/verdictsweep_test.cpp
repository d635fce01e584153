#include "loadedservice.h"
#include "rolloutrun.h"

#include <criterion/criterion.h>

// Properties of verdicts over many seeds: the bounds hold for each seed, what is statistical holds at a stated rate.
using namespace fireflyhaven;
using namespace fireflyhaven::rollout;
using namespace fireflyhaven::rollout::test;

namespace {

constexpr std::uint64_t SEEDS = 200;
constexpr int HOSTS = 8;
constexpr Duration REJECTION_TIME { 5000 };
constexpr double EXPOSURE_RATIO = 0.15;
constexpr int EXPOSURE_SLACK = 30;

// Counts the seeds of which the property holds, and logs it.
template <typename Property> int countSeeds(const char* what, Property holds)
{
    int n = 0;
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed)
        n += holds(seed) ? 1 : 0;
    cr_log_info("%s: %d of %d seeds", what, n, static_cast<int>(SEEDS));
    return n;
}

bool keepsExposureBound(int onNew, int all) { return onNew < EXPOSURE_RATIO * all + EXPOSURE_SLACK; }

int perHundred(int share) { return share * static_cast<int>(SEEDS) / 100; }

}

// Guards against verdicts that depend on the luck of one seed: two fifths of the answers fail from some age on.
Test(verdict_sweep, failingVersionIsRejectedInTime, .timeout = 120)
{
    for (const int from : { 0, 4000, 9000, 14'500, 16'000 }) {
        int overBound = 0;
        const int inTime = countSeeds("rejected in time", [&](std::uint64_t seed) {
            Deployment it(HOSTS, seed);
            const Outcome outcome
                = runRollout(it, HOSTS, [from](Duration age) { return age >= Duration(from) ? 0.4 : 0.0; });
            overBound += keepsExposureBound(outcome.newVersionRequests, outcome.requests) ? 0 : 1;
            return outcome.rejectedAt && *outcome.rejectedAt - START < Duration(from) + REJECTION_TIME;
        });
        cr_expect_geq(
            inTime, perHundred(99), "fails from %d ms on: %d of %d in time", from, inTime, static_cast<int>(SEEDS));
        cr_expect_eq(overBound, 0, "fails from %d ms on: %d over the exposure bound", from, overBound);
    }
}

// Guards against versions that are found only if their first answers happen to be slow enough.
Test(verdict_sweep, slowerVersionIsRejected, .timeout = 120)
{
    int overBound = 0;
    const int rejected = countSeeds("rejected", [&](std::uint64_t seed) {
        Deployment it(HOSTS, seed);
        const Outcome outcome = runRollout(
            it, HOSTS, [](Duration) { return 1.0; }, Answer::TwiceAsSlow);
        overBound += keepsExposureBound(outcome.newVersionRequests, outcome.requests) ? 0 : 1;
        return outcome.rejectedAt.has_value();
    });
    cr_expect_geq(rejected, perHundred(99), "%d of %d", rejected, static_cast<int>(SEEDS));
    cr_expect_eq(overBound, 0, "%d over the exposure bound", overBound);
}

// Guards against versions that fail above half of their load and are found on some seeds only.
Test(verdict_sweep, versionThatFailsUnderLoadIsRolledBack, .timeout = 120)
{
    int overBound = 0;
    const int rolledBack = countSeeds("rolled back", [&](std::uint64_t seed) {
        Deployment it(LoadedService::HOSTS, seed);
        const LoadedService service = runRolloutUnderLoad(it, 0.48);
        overBound += keepsExposureBound(service.onNewCount, service.count) ? 0 : 1;
        return it.controller(0).stageOf(SERVICE, START + ORDER_TIME) == Stage::RolledBack;
    });
    cr_expect_geq(rolledBack, perHundred(95), "%d of %d", rolledBack, static_cast<int>(SEEDS));
    cr_expect_eq(overBound, 0, "%d over the exposure bound", overBound);
}

// Guards against a bound on exposure that is bought with the end of good versions: too few requests to prove the
// version, and enough of them.
Test(verdict_sweep, goodVersionIsCompletedInTime, .timeout = 120)
{
    constexpr double NEVER_FAILS = 2;
    const TimePoint end = START + ORDER_TIME;
    for (const int slots : { 24, 64, 2000 }) {
        int rolledBack = 0;
        const int completed = countSeeds("completed in time", [&](std::uint64_t seed) {
            Deployment it(LoadedService::HOSTS, seed);
            runRolloutUnderLoad(it, NEVER_FAILS, slots);
            rolledBack += it.controller(0).stageOf(SERVICE, end) == Stage::RolledBack ? 1 : 0;
            const auto status = it.controller(0).statusDue(SERVICE, 1, end - Duration(1000));
            return status && status->phase == RolloutPhase::Completed;
        });
        cr_expect_geq(completed, perHundred(99), "%d slots: %d of %d", slots, completed, static_cast<int>(SEEDS));
        cr_expect_leq(rolledBack, perHundred(1), "%d slots: %d rolled back", slots, rolledBack);
    }
}
