#include "fireflyhaven/dispatch/answerassembler.h"
#include "fireflyhaven/dispatch/concurrencyramp.h"
#include "fireflyhaven/dispatch/retrybudget.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::dispatch;

namespace {

const TimePoint START { Duration(1000) };
constexpr RampOptions OPTIONS { .coldLimit = 2, .limit = 8, .warmAnswers = 0 };

// A ramp that has taken over an idle upstream.
ConcurrencyRamp startedRamp()
{
    ConcurrencyRamp ramp(OPTIONS, START);
    ramp.onLoadReport({ .running = 0, .restarts = 1 }, START + OPTIONS.reportLag);
    return ramp;
}

const TimePoint LATER = START + OPTIONS.reportLag;

void answer(ConcurrencyRamp& ramp, int n, Duration firstToken = Duration(100))
{
    for (int k = 0; k < n; ++k) {
        ramp.onSent();
        ramp.onAnswered(firstToken);
    }
}

}

Test(ramp, sendsNothingUntilAReportShowsWhatTheEarlierOwnerLeft)
{
    ConcurrencyRamp ramp(OPTIONS, START);
    cr_assert_eq(ramp.allowance(START), 0);
    ramp.onLoadReport({ .running = 0, .restarts = 1 }, START + Duration(100));
    cr_assert_eq(ramp.allowance(START + Duration(100)), 0, "a report this early may predate the takeover");
    ramp.onLoadReport({ .running = 1, .restarts = 1 }, LATER);
    cr_assert_eq(ramp.allowance(LATER), 1);
    ramp.onLoadReport({ .running = 0, .restarts = 1 }, LATER + Duration(100));
    cr_assert_eq(ramp.allowance(LATER), 2);
}

Test(ramp, withoutReportsItWaitsForTheLongestRequest)
{
    const ConcurrencyRamp ramp(OPTIONS, START);
    cr_assert_eq(ramp.allowance(START + OPTIONS.longestRequest - Duration(1)), 0);
    cr_assert_eq(ramp.allowance(START + OPTIONS.longestRequest), 2);
}

Test(ramp, opensInRoundsAndFallsBackOnSignsOfCold)
{
    ConcurrencyRamp ramp = startedRamp();
    answer(ramp, 2);
    cr_assert_eq(ramp.currentLimit(), 4);
    answer(ramp, 4);
    cr_assert_eq(ramp.currentLimit(), 8);
    answer(ramp, 40);
    cr_assert_eq(ramp.currentLimit(), 8);
    ramp.onSent();
    ramp.onRefused();
    cr_assert_eq(ramp.currentLimit(), 2, "a refusal");
    answer(ramp, 6);
    cr_assert_eq(ramp.currentLimit(), 8);
    answer(ramp, 1, Duration(1000));
    cr_assert_eq(ramp.currentLimit(), 2, "a first token ten times as late as usual");
    answer(ramp, 6);
    ramp.onLoadReport({ .running = 0, .restarts = 2 }, LATER);
    cr_assert_eq(ramp.currentLimit(), 2, "a restart");
}

Test(ramp, staysAtTheColdLimitUntilEnoughAnswersShowItWarm)
{
    ConcurrencyRamp ramp({ .coldLimit = 2, .limit = 8, .warmAnswers = 50 }, START);
    ramp.onLoadReport({ .running = 0, .restarts = 1 }, LATER);
    answer(ramp, 49);
    cr_assert_eq(ramp.currentLimit(), 2);
    answer(ramp, 10);
    cr_assert_gt(ramp.currentLimit(), 2);
    ramp.onSent();
    ramp.onRefused();
    answer(ramp, 49);
    cr_assert_eq(ramp.currentLimit(), 2, "the count starts anew");
}

Test(ramp, lateReportsNeverRaiseTheAllowance)
{
    ConcurrencyRamp ramp = startedRamp();
    ramp.onSent();
    ramp.onSent();
    cr_assert_eq(ramp.allowance(LATER), 0);
    ramp.onLoadReport({ .running = 0, .restarts = 1 }, LATER);
    cr_assert_eq(ramp.allowance(LATER), 0);
}

Test(ramp, newTakeoverStartsFromTheColdLimitAgain)
{
    ConcurrencyRamp ramp = startedRamp();
    answer(ramp, 6);
    ramp.onTakeover(LATER);
    cr_assert_eq(ramp.allowance(LATER), 0);
    ramp.onLoadReport({ .running = 2, .restarts = 1 }, LATER + OPTIONS.reportLag);
    cr_assert_eq(ramp.allowance(LATER + OPTIONS.reportLag), 0);
}

Test(retrybudget, halfOfTheUpstreamsFailWithoutAStorm)
{
    std::mt19937_64 random(1);
    RetryBudget budget({});
    int attempts = 0;
    constexpr int REQUESTS = 20'000;
    for (int n = 0; n < REQUESTS; ++n) {
        const TimePoint now { Duration(10 * n) };
        budget.onRequest(now);
        int made = 1;
        while (random() % 2 == 0 && budget.take(made, now))
            ++made;
        attempts += made;
    }
    cr_assert_lt(static_cast<double>(attempts) / REQUESTS, 1.2);
    cr_assert_gt(attempts, REQUESTS);
}

// Pattern: an upstream with many streams dies, and all of them are to go on elsewhere at once (upstreams lost).
Test(retrybudget, whatAWindowAllowsMayBeUsedAtOnce)
{
    RetryBudget budget({ .ratio = 0.5, .slack = 2, .window = Duration(10'000) });
    for (int n = 0; n < 60; ++n)
        budget.onRequest(TimePoint(Duration(100 * n)));
    int taken = 0;
    while (budget.take(1, TimePoint(Duration(6000))))
        ++taken;
    cr_assert_eq(taken, 32);
}

Test(retrybudget, noRetryIsGrantedBeyondWhatTheWindowAllows)
{
    std::mt19937_64 random(2);
    constexpr Duration WINDOW { 10'000 };
    RetryBudget budget({ .ratio = 0.5, .slack = 3, .window = WINDOW });
    std::vector<TimePoint> requests;
    std::vector<TimePoint> retries;
    for (TimePoint now {}; now < TimePoint(Duration(60'000)); now += Duration(37)) {
        if (random() % 3 == 0) {
            budget.onRequest(now);
            requests.push_back(now);
        }
        const auto within = [&](const std::vector<TimePoint>& times) {
            return static_cast<double>(
                std::count_if(times.begin(), times.end(), [&](TimePoint t) { return t > now - WINDOW; }));
        };
        for (std::uint64_t n = random() % 3; n > 0; --n) {
            if (!budget.take(1, now))
                continue;
            retries.push_back(now);
            cr_assert_leq(within(retries), 0.5 * within(requests) + 3);
        }
    }
    cr_assert_gt(retries.size(), 100);
}

Test(retrybudget, neverRepeatsWhatMayNotBeRepeated)
{
    cr_assert(mayAttemptAgain(AttemptEnd::NotRun, false));
    cr_assert_not(mayAttemptAgain(AttemptEnd::Unknown, false));
    cr_assert_not(mayAttemptAgain(AttemptEnd::Cancelled, false));
    cr_assert(mayAttemptAgain(AttemptEnd::Unknown, true));
}

Test(retrybudget, backoffGrowsWithinItsBounds)
{
    std::mt19937_64 random(1);
    const RetryOptions options;
    for (int made = 0; made < 40; ++made) {
        const Duration delay = backoffDelay(options, made, random);
        cr_assert(delay >= Duration(0) && delay <= options.longestBackoff);
    }
}

Test(assembler, dropsPiecesOfOtherRequestsAndAttempts)
{
    AnswerAssembler assembler(RequestId("r"));
    const AttemptId first = assembler.beginAttempt();
    cr_assert(assembler.accept({ first, 0, "a" }) == "a");
    cr_assert_not(assembler.accept({ { RequestId("other"), 1 }, 1, "x" }).has_value());
    const AttemptId second = assembler.beginAttempt();
    cr_assert_not(assembler.accept({ first, 1, "late" }).has_value());
    cr_assert_not(assembler.accept({ second, 0, "a" }).has_value(), "a restarted engine repeats it");
    cr_assert(assembler.accept({ second, 1, "b" }) == "b");
    cr_assert_eq(assembler.dropped(), 3);
    cr_assert_not(assembler.hasGap());
}

Test(assembler, noticesAGap)
{
    AnswerAssembler assembler(RequestId("r"));
    const AttemptId attempt = assembler.beginAttempt();
    cr_assert_not(assembler.accept({ attempt, 1, "b" }).has_value());
    cr_assert(assembler.hasGap());
}

// Pattern: all upstreams fail at once, and each of many hosts repeats as much as it may.
Test(retry_budget, the_parts_of_any_number_of_hosts_keep_the_bound)
{
    const RetryBound bound { .ratio = 0.9, .slack = 52, .window = Duration(10'000) };
    constexpr int REQUESTS = 7'200;
    for (const int hosts : { 1, 6, 9, 30, 69, 295, 330, 1'000 }) {
        int retries = 0;
        for (int host = 0; host < hosts; ++host) {
            RetryBudget budget(shareOfRetries(bound, hosts));
            for (int n = 0; n < REQUESTS / hosts; ++n)
                budget.onRequest(TimePoint(Duration(1'000)));
            while (budget.take(1, TimePoint(Duration(1'000))))
                ++retries;
        }
        cr_assert(retries <= bound.ratio * REQUESTS + bound.slack, "%d hosts repeat %d requests", hosts, retries);
    }
}
