#include "fireflyhaven/quality/latencyratios.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::quality {

namespace {
// Tolerated slowdown: a newer version counts as slower only above this factor.
constexpr double MIN_SLOWDOWN = 1.8;
// Number of standard errors by which the slowdown has to exceed the tolerated one to be significant.
constexpr double REQUIRED_STANDARD_ERRORS = 3.5;
// Minimum effective sample sizes: of the newer version over all kinds of request, and of the older version per kind.
constexpr double MIN_NEWER_ANSWERS = 12;
constexpr double MIN_OLDER_ANSWERS = 8;
// Bounds the influence of a single answer: ratios are clamped to this factor and its inverse.
constexpr double MAX_RATIO = 16;
}

void LatencyRatios::add(const LatencySample& sample)
{
    const auto log = static_cast<float>(std::log(std::clamp(sample.ratio, 1 / MAX_RATIO, MAX_RATIO)));
    const auto w = static_cast<float>(sample.weight);
    weight += w;
    sum += w * log;
    sumOfSquares += w * log * log;
    sumOfSquaredWeights += w * w;
}

void LatencyRatios::limitSamples(float maxSamples)
{
    const auto n = static_cast<float>(effectiveSamples());
    if (n <= maxSamples)
        return;
    const float scale = maxSamples / n;
    weight *= scale;
    sum *= scale;
    sumOfSquares *= scale;
    sumOfSquaredWeights *= scale;
}

LatencyRatios& LatencyRatios::operator+=(const LatencyRatios& other)
{
    weight += other.weight;
    sum += other.sum;
    sumOfSquares += other.sumOfSquares;
    sumOfSquaredWeights += other.sumOfSquaredWeights;
    return *this;
}

double LatencyRatios::varianceOfMean() const
{
    if (effectiveSamples() < 2)
        return 1;
    const double variance = std::max(0.0, sumOfSquares / weight - meanLogRatio() * meanLogRatio());
    return variance / (effectiveSamples() - 1);
}

LatencyComparison compareLatencies(const std::vector<VersionLatencies>& requestKinds)
{
    LatencyComparison comparison;
    double weight = 0;
    double difference = 0;
    double variance = 0;
    for (const VersionLatencies& it : requestKinds) {
        if (it.older.effectiveSamples() < MIN_OLDER_ANSWERS || it.newer.effectiveSamples() < 2)
            continue;
        const double w = it.newer.weight;
        comparison.effectiveAnswers += it.newer.effectiveSamples();
        weight += w;
        difference += w * (it.newer.meanLogRatio() - it.older.meanLogRatio());
        variance += w * w * (it.newer.varianceOfMean() + it.older.varianceOfMean());
    }
    if (comparison.effectiveAnswers < MIN_NEWER_ANSWERS)
        return comparison;
    comparison.slowdown = std::exp(difference / weight);
    comparison.standardError = std::sqrt(variance) / weight;
    const double excess = difference / weight - std::log(MIN_SLOWDOWN);
    if (excess <= 0)
        comparison.verdict = LatencyVerdict::NotSlower;
    else
        comparison.verdict = excess > REQUIRED_STANDARD_ERRORS * comparison.standardError
            ? LatencyVerdict::ClearlySlower
            : LatencyVerdict::PossiblySlower;
    return comparison;
}

}
