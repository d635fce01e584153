#include "fireflyhaven/quality/latencyratios.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::quality {

namespace {
// A version that takes less than this times as long is not called slow.
constexpr double FACTOR_THAT_MATTERS = 1.8;
// Standard errors by which the difference has to exceed that factor.
constexpr double CERTAINTY = 3.5;
constexpr double LEAST_ANSWERS = 12;
constexpr double LEAST_OLD_ANSWERS = 8;
// One answer never tells of more than this factor.
constexpr double MOST_FACTOR = 16;
}

void TimeFactors::add(const TimeSample& sample)
{
    const auto log = static_cast<float>(std::log(std::clamp(sample.factor, 1 / MOST_FACTOR, MOST_FACTOR)));
    const auto w = static_cast<float>(sample.weight);
    weight += w;
    sum += w * log;
    sumOfSquares += w * log * log;
    sumOfSquaredWeights += w * w;
}

void TimeFactors::fade(float most)
{
    const auto n = static_cast<float>(samples());
    if (n <= most)
        return;
    const float kept = most / n;
    weight *= kept;
    sum *= kept;
    sumOfSquares *= kept;
    sumOfSquaredWeights *= kept;
}

TimeFactors& TimeFactors::operator+=(const TimeFactors& other)
{
    weight += other.weight;
    sum += other.sum;
    sumOfSquares += other.sumOfSquares;
    sumOfSquaredWeights += other.sumOfSquaredWeights;
    return *this;
}

double TimeFactors::varianceOfMean() const
{
    if (samples() < 2)
        return 1;
    const double variance = std::max(0.0, sumOfSquares / weight - mean() * mean());
    return variance / (samples() - 1);
}

TimeEvidence compareTimes(const std::vector<TimeComparison>& kinds)
{
    TimeEvidence evidence;
    double weight = 0;
    double difference = 0;
    double variance = 0;
    for (const TimeComparison& it : kinds) {
        if (it.older.samples() < LEAST_OLD_ANSWERS || it.newer.samples() < 2)
            continue;
        const double w = it.newer.weight;
        evidence.answers += it.newer.samples();
        weight += w;
        difference += w * (it.newer.mean() - it.older.mean());
        variance += w * w * (it.newer.varianceOfMean() + it.older.varianceOfMean());
    }
    if (evidence.answers < LEAST_ANSWERS)
        return evidence;
    evidence.slowdown = std::exp(difference / weight);
    evidence.standardError = std::sqrt(variance) / weight;
    const double excess = difference / weight - std::log(FACTOR_THAT_MATTERS);
    if (excess <= 0)
        evidence.verdict = TimeVerdict::Alike;
    else
        evidence.verdict
            = excess > CERTAINTY * evidence.standardError ? TimeVerdict::ClearlySlower : TimeVerdict::Unsure;
    return evidence;
}

}
