#include "fireflyhaven/quality/latencyratios.h"

#include <cmath>
#include <random>

#include <criterion/criterion.h>

using namespace fireflyhaven::quality;

namespace {

LatencyRatios sampleRatios(std::mt19937_64& random, int n, double ratio)
{
    std::normal_distribution<double> spread(0, 0.8);
    LatencyRatios it;
    for (int k = 0; k < n; ++k)
        it.add({ .ratio = ratio * std::exp(spread(random)) });
    return it;
}

}

Test(latencyratios, meanAndVarianceMatchDefinitions)
{
    std::mt19937_64 random(1);
    LatencyRatios it;
    std::vector<double> logs;
    for (int n = 0; n < 200; ++n) {
        const double ratio = 0.2 + static_cast<double>(random() % 500) / 100;
        it.add({ .ratio = ratio });
        logs.push_back(std::log(ratio));
    }
    double mean = 0;
    for (const double log : logs)
        mean += log / 200;
    double squares = 0;
    for (const double log : logs)
        squares += (log - mean) * (log - mean);
    cr_assert_float_eq(it.meanLogRatio(), mean, 1e-4);
    cr_assert_float_eq(it.varianceOfMean(), squares / 200 / 199, 1e-5);
}

Test(latencyratios, threefoldSlowdownIsDetectedWithoutFalseAlarms)
{
    std::mt19937_64 random(2);
    int found = 0;
    int falseAlarms = 0;
    for (int round = 0; round < 500; ++round) {
        const LatencyRatios olderRatios = sampleRatios(random, 200, 0.7);
        found += compareLatencies({ { sampleRatios(random, 60, 2.1), olderRatios } }).verdict
                == LatencyVerdict::ClearlySlower
            ? 1
            : 0;
        falseAlarms += compareLatencies({ { sampleRatios(random, 60, 0.7), olderRatios } }).verdict
                == LatencyVerdict::ClearlySlower
            ? 1
            : 0;
        falseAlarms += compareLatencies({ { sampleRatios(random, 60, 0.7 * 1.5), olderRatios } }).verdict
                == LatencyVerdict::ClearlySlower
            ? 1
            : 0;
    }
    cr_assert_gt(found, 200);
    cr_assert_eq(falseAlarms, 0);
}

// Guards against missing a slow version because none of its three routes has enough answers on its own during the
// trial.
Test(latencyratios, requestKindsArePooled)
{
    std::mt19937_64 random(5);
    int found = 0;
    for (int round = 0; round < 100; ++round) {
        std::vector<VersionLatencies> requestKinds;
        for (const double olderRatio : { 0.4, 0.7, 1.5 })
            requestKinds.push_back({ .newer = sampleRatios(random, 10, olderRatio * 3.5),
                .older = sampleRatios(random, 100, olderRatio) });
        found += compareLatencies(requestKinds).verdict == LatencyVerdict::ClearlySlower ? 1 : 0;
    }
    cr_assert_gt(found, 50);
}

// Guards against a slowdown that is masked by the many short requests, whose time is mostly the round trip and hardly
// changes, while the few long ones take four times as long.
Test(latencyratios, slowdownOfLargeRequestsIsDetected)
{
    std::mt19937_64 random(7);
    int found = 0;
    for (int round = 0; round < 200; ++round) {
        LatencyRatios olderRatios = sampleRatios(random, 300, 0.7);
        LatencyRatios newer = sampleRatios(random, 45, 0.9);
        for (int k = 0; k < 15; ++k) {
            LatencyRatios large = sampleRatios(random, 1, 3.2);
            newer.add({ .ratio = std::exp(large.meanLogRatio()), .weight = 4 });
        }
        const LatencyVerdict verdict = compareLatencies({ { newer, olderRatios } }).verdict;
        found += verdict == LatencyVerdict::ClearlySlower || verdict == LatencyVerdict::PossiblySlower ? 1 : 0;
    }
    cr_assert_gt(found, 180);
}

Test(latencyratios, tooFewAnswersAreInsufficientData)
{
    std::mt19937_64 random(3);
    const LatencyRatios olderRatios = sampleRatios(random, 200, 1);
    cr_assert(
        compareLatencies({ { sampleRatios(random, 10, 8), olderRatios } }).verdict == LatencyVerdict::InsufficientData);
    cr_assert(compareLatencies({ { sampleRatios(random, 100, 8), sampleRatios(random, 5, 1) } }).verdict
        == LatencyVerdict::InsufficientData);
}

Test(latencyratios, sumsOfHostsAreAdditive)
{
    std::mt19937_64 random(4);
    LatencyRatios all;
    LatencyRatios parts;
    for (int host = 0; host < 5; ++host) {
        const LatencyRatios it = sampleRatios(random, 30, 1.3);
        parts += it;
        all.weight += it.weight;
        all.sum += it.sum;
        all.sumOfSquares += it.sumOfSquares;
        all.sumOfSquaredWeights += it.sumOfSquaredWeights;
    }
    cr_assert(parts == all);
    parts.limitSamples(50);
    cr_assert_float_eq(parts.meanLogRatio(), all.meanLogRatio(), 1e-4);
    cr_assert_float_eq(parts.effectiveSamples(), 50, 1e-3);
}
