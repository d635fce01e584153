#include "fireflyhaven/quality/latencyratios.h"

#include <cmath>
#include <random>

#include <criterion/criterion.h>

using namespace fireflyhaven::quality;

namespace {

TimeFactors sample(std::mt19937_64& random, int n, double factor)
{
    std::normal_distribution<double> spread(0, 0.8);
    TimeFactors it;
    for (int k = 0; k < n; ++k)
        it.add({ .factor = factor * std::exp(spread(random)) });
    return it;
}

}

Test(timefactors, meanAndVarianceAgreeWithTheirDefinitions)
{
    std::mt19937_64 random(1);
    TimeFactors it;
    std::vector<double> logs;
    for (int n = 0; n < 200; ++n) {
        const double factor = 0.2 + static_cast<double>(random() % 500) / 100;
        it.add({ .factor = factor });
        logs.push_back(std::log(factor));
    }
    double mean = 0;
    for (const double log : logs)
        mean += log / 200;
    double squares = 0;
    for (const double log : logs)
        squares += (log - mean) * (log - mean);
    cr_assert_float_eq(it.mean(), mean, 1e-4);
    cr_assert_float_eq(it.varianceOfMean(), squares / 200 / 199, 1e-5);
}

Test(timefactors, aVersionThatTakesThreeTimesAsLongIsFoundAndAnEqualOneIsNot)
{
    std::mt19937_64 random(2);
    int found = 0;
    int falseAlarms = 0;
    for (int round = 0; round < 500; ++round) {
        const TimeFactors old = sample(random, 200, 0.7);
        found += compareTimes({ { sample(random, 60, 2.1), old } }).verdict == TimeVerdict::ClearlySlower ? 1 : 0;
        falseAlarms += compareTimes({ { sample(random, 60, 0.7), old } }).verdict == TimeVerdict::ClearlySlower ? 1 : 0;
        falseAlarms
            += compareTimes({ { sample(random, 60, 0.7 * 1.5), old } }).verdict == TimeVerdict::ClearlySlower ? 1 : 0;
    }
    cr_assert_gt(found, 200);
    cr_assert_eq(falseAlarms, 0);
}

// Vitalkör, slow-version-and-grey-upstreams: none of three routes had enough answers by itself in the trial.
Test(timefactors, kindsOfRequestThatDifferTellTogether)
{
    std::mt19937_64 random(5);
    int found = 0;
    for (int round = 0; round < 100; ++round) {
        std::vector<TimeComparison> kinds;
        for (const double usual : { 0.4, 0.7, 1.5 })
            kinds.push_back({ .newer = sample(random, 10, usual * 3.5), .older = sample(random, 100, usual) });
        found += compareTimes(kinds).verdict == TimeVerdict::ClearlySlower ? 1 : 0;
    }
    cr_assert_gt(found, 50);
}

// Vitalkör, version-turns-bad-late: short requests, which are many, hardly took longer, since most of their time is the
// way there and back; the few long ones took four times as long.
Test(timefactors, aSlowVersionShowsInTheLargeRequests)
{
    std::mt19937_64 random(7);
    int found = 0;
    for (int round = 0; round < 200; ++round) {
        TimeFactors old = sample(random, 300, 0.7);
        TimeFactors newer = sample(random, 45, 0.9);
        for (int k = 0; k < 15; ++k) {
            TimeFactors large = sample(random, 1, 3.2);
            newer.add({ .factor = std::exp(large.mean()), .weight = 4 });
        }
        const TimeVerdict verdict = compareTimes({ { newer, old } }).verdict;
        found += verdict == TimeVerdict::ClearlySlower || verdict == TimeVerdict::Unsure ? 1 : 0;
    }
    cr_assert_gt(found, 180);
}

Test(timefactors, fewAnswersTellNothing)
{
    std::mt19937_64 random(3);
    const TimeFactors old = sample(random, 200, 1);
    cr_assert(compareTimes({ { sample(random, 10, 8), old } }).verdict == TimeVerdict::Unknown);
    cr_assert(compareTimes({ { sample(random, 100, 8), sample(random, 5, 1) } }).verdict == TimeVerdict::Unknown);
}

Test(timefactors, sumsOfHostsAddUp)
{
    std::mt19937_64 random(4);
    TimeFactors all;
    TimeFactors parts;
    for (int host = 0; host < 5; ++host) {
        const TimeFactors it = sample(random, 30, 1.3);
        parts += it;
        all.weight += it.weight;
        all.sum += it.sum;
        all.sumOfSquares += it.sumOfSquares;
        all.sumOfSquaredWeights += it.sumOfSquaredWeights;
    }
    cr_assert(parts == all);
    parts.fade(50);
    cr_assert_float_eq(parts.mean(), all.mean(), 1e-4);
    cr_assert_float_eq(parts.samples(), 50, 1e-3);
}
