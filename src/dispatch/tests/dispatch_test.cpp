#include "fireflyhaven/dispatch/answerassembler.h"
#include "fireflyhaven/dispatch/concurrencyramp.h"
#include "fireflyhaven/dispatch/retrybudget.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::dispatch;

namespace {

const TimePoint START { Duration(1000) };
constexpr RampOptions OPTIONS { .coldLimit = 2, .limit = 8, .answersUntilWarm = 0 };

// Returns a ramp that has taken over an idle upstream and received its load report.
ConcurrencyRamp readyRamp()
{
    ConcurrencyRamp ramp(OPTIONS, START);
    ramp.onLoadReport({ .running = 0, .restarts = 1 }, START + OPTIONS.maxReportLag);
    return ramp;
}

const TimePoint AFTER_REPORT_LAG = START + OPTIONS.maxReportLag;

void answerRequests(ConcurrencyRamp& ramp, int n, Duration firstToken = Duration(100))
{
    for (int k = 0; k < n; ++k) {
        ramp.onSent();
        ramp.onAnswered(firstToken);
    }
}

}

Test(ramp, noAllowanceUntilReportAfterTakeover)
{
    ConcurrencyRamp ramp(OPTIONS, START);
    cr_assert_eq(ramp.allowance(START), 0);
    ramp.onLoadReport({ .running = 0, .restarts = 1 }, START + Duration(100));
    cr_assert_eq(ramp.allowance(START + Duration(100)), 0, "a report within the maximum lag may predate the takeover");
    ramp.onLoadReport({ .running = 1, .restarts = 1 }, AFTER_REPORT_LAG);
    cr_assert_eq(ramp.allowance(AFTER_REPORT_LAG), 1);
    ramp.onLoadReport({ .running = 0, .restarts = 1 }, AFTER_REPORT_LAG + Duration(100));
    cr_assert_eq(ramp.allowance(AFTER_REPORT_LAG), 2);
}

Test(ramp, missingReportsDelayStartByMaxRequestDuration)
{
    const ConcurrencyRamp ramp(OPTIONS, START);
    cr_assert_eq(ramp.allowance(START + OPTIONS.maxRequestDuration - Duration(1)), 0);
    cr_assert_eq(ramp.allowance(START + OPTIONS.maxRequestDuration), 2);
}

Test(ramp, limitDoublesPerRoundAndResetsOnColdSigns)
{
    ConcurrencyRamp ramp = readyRamp();
    answerRequests(ramp, 2);
    cr_assert_eq(ramp.currentLimit(), 4);
    answerRequests(ramp, 4);
    cr_assert_eq(ramp.currentLimit(), 8);
    answerRequests(ramp, 40);
    cr_assert_eq(ramp.currentLimit(), 8);
    ramp.onSent();
    ramp.onRefused();
    cr_assert_eq(ramp.currentLimit(), 2, "after a refusal");
    answerRequests(ramp, 6);
    cr_assert_eq(ramp.currentLimit(), 8);
    answerRequests(ramp, 1, Duration(1000));
    cr_assert_eq(ramp.currentLimit(), 2, "after a time to first token of ten times the average");
    answerRequests(ramp, 6);
    ramp.onLoadReport({ .running = 0, .restarts = 2 }, AFTER_REPORT_LAG);
    cr_assert_eq(ramp.currentLimit(), 2, "after a restart");
}

Test(ramp, coldLimitHoldsUntilEnoughAnswers)
{
    ConcurrencyRamp ramp({ .coldLimit = 2, .limit = 8, .answersUntilWarm = 50 }, START);
    ramp.onLoadReport({ .running = 0, .restarts = 1 }, AFTER_REPORT_LAG);
    answerRequests(ramp, 49);
    cr_assert_eq(ramp.currentLimit(), 2);
    answerRequests(ramp, 10);
    cr_assert_gt(ramp.currentLimit(), 2);
    ramp.onSent();
    ramp.onRefused();
    answerRequests(ramp, 49);
    cr_assert_eq(ramp.currentLimit(), 2, "a refusal resets the count of answers");
}

Test(ramp, lateReportsNeverRaiseAllowance)
{
    ConcurrencyRamp ramp = readyRamp();
    ramp.onSent();
    ramp.onSent();
    cr_assert_eq(ramp.allowance(AFTER_REPORT_LAG), 0);
    ramp.onLoadReport({ .running = 0, .restarts = 1 }, AFTER_REPORT_LAG);
    cr_assert_eq(ramp.allowance(AFTER_REPORT_LAG), 0);
}

Test(ramp, takeoverResetsToColdLimit)
{
    ConcurrencyRamp ramp = readyRamp();
    answerRequests(ramp, 6);
    ramp.onTakeover(AFTER_REPORT_LAG);
    cr_assert_eq(ramp.allowance(AFTER_REPORT_LAG), 0);
    ramp.onLoadReport({ .running = 2, .restarts = 1 }, AFTER_REPORT_LAG + OPTIONS.maxReportLag);
    cr_assert_eq(ramp.allowance(AFTER_REPORT_LAG + OPTIONS.maxReportLag), 0);
}

Test(retrybudget, retriesStayBoundedWhenHalfOfAttemptsFail)
{
    std::mt19937_64 random(1);
    RetryBudget budget({});
    int attempts = 0;
    constexpr int REQUESTS = 20'000;
    for (int n = 0; n < REQUESTS; ++n) {
        const TimePoint now { Duration(10 * n) };
        budget.onRequest(now);
        int attemptsMade = 1;
        while (random() % 2 == 0 && budget.tryAcquire(attemptsMade, now))
            ++attemptsMade;
        attempts += attemptsMade;
    }
    cr_assert_lt(static_cast<double>(attempts) / REQUESTS, 1.2);
    cr_assert_gt(attempts, REQUESTS);
}

// Guards against a budget that spreads retries over its window: when an upstream with many streams fails, all of them
// must be resumed on other upstreams at once.
Test(retrybudget, windowBudgetAllowsBurst)
{
    RetryBudget budget({ .ratio = 0.5, .slack = 2, .window = Duration(10'000) });
    for (int n = 0; n < 60; ++n)
        budget.onRequest(TimePoint(Duration(100 * n)));
    int granted = 0;
    while (budget.tryAcquire(1, TimePoint(Duration(6000))))
        ++granted;
    cr_assert_eq(granted, 32);
}

Test(retrybudget, neverExceedsWindowBudget)
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
        const auto countWithinWindow = [&](const std::vector<TimePoint>& times) {
            return static_cast<double>(
                std::count_if(times.begin(), times.end(), [&](TimePoint t) { return t > now - WINDOW; }));
        };
        for (std::uint64_t n = random() % 3; n > 0; --n) {
            if (!budget.tryAcquire(1, now))
                continue;
            retries.push_back(now);
            cr_assert_leq(countWithinWindow(retries), 0.5 * countWithinWindow(requests) + 3);
        }
    }
    cr_assert_gt(retries.size(), 100);
}

Test(retrybudget, retriesNonRepeatableCallsOnlyIfNotRun)
{
    cr_assert(isRetryAllowed(AttemptEnd::NotRun, false));
    cr_assert_not(isRetryAllowed(AttemptEnd::Unknown, false));
    cr_assert_not(isRetryAllowed(AttemptEnd::Cancelled, false));
    cr_assert(isRetryAllowed(AttemptEnd::Unknown, true));
}

Test(retrybudget, backoffStaysWithinMaximum)
{
    std::mt19937_64 random(1);
    const RetryOptions options;
    for (int attemptsMade = 0; attemptsMade < 40; ++attemptsMade) {
        const Duration delay = backoffDelay(options, attemptsMade, random);
        cr_assert(delay >= Duration(0) && delay <= options.maxBackoff);
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
    cr_assert_not(assembler.accept({ second, 0, "a" }).has_value(), "a restarted engine repeats piece 0");
    cr_assert(assembler.accept({ second, 1, "b" }) == "b");
    cr_assert_eq(assembler.droppedPieces(), 3);
    cr_assert_not(assembler.hasGap());
}

Test(assembler, detectsMissingPiece)
{
    AnswerAssembler assembler(RequestId("r"));
    const AttemptId attempt = assembler.beginAttempt();
    cr_assert_not(assembler.accept({ attempt, 1, "b" }).has_value());
    cr_assert(assembler.hasGap());
}

// Guards against hosts that exceed the common bound together: all upstreams fail at once, and each host uses its whole
// budget.
Test(retrybudget, perHostBudgetsSumWithinBound)
{
    const RetryBound bound { .ratio = 0.9, .slack = 52, .window = Duration(10'000) };
    constexpr int REQUESTS = 7'200;
    for (const int hosts : { 1, 6, 9, 30, 69, 295, 330, 1'000 }) {
        int retries = 0;
        for (int host = 0; host < hosts; ++host) {
            RetryBudget budget(retryOptionsPerHost(bound, hosts));
            for (int n = 0; n < REQUESTS / hosts; ++n)
                budget.onRequest(TimePoint(Duration(1'000)));
            while (budget.tryAcquire(1, TimePoint(Duration(1'000))))
                ++retries;
        }
        cr_assert(retries <= bound.ratio * REQUESTS + bound.slack, "%d hosts made %d retries", hosts, retries);
    }
}
