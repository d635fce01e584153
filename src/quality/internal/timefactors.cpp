#include "fireflyhaven/quality/timefactors.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::quality {

namespace {
// A version that takes less than this times as long is not called slow.
constexpr double FACTOR_THAT_MATTERS = 1.8;
// Standard errors by which the difference has to exceed that factor.
constexpr double CERTAINTY = 3.5;
constexpr double LEAST_ANSWERS = 12;
constexpr float LEAST_OLD_ANSWERS = 8;
// One answer never tells of more than this factor.
constexpr double MOST_FACTOR = 16;
}

void TimeFactors::add(double factor)
{
    const auto log = static_cast<float>(std::log(std::clamp(factor, 1 / MOST_FACTOR, MOST_FACTOR)));
    count += 1;
    sum += log;
    sumOfSquares += log * log;
}

void TimeFactors::fade(float most)
{
    if (count <= most)
        return;
    const float kept = most / count;
    count *= kept;
    sum *= kept;
    sumOfSquares *= kept;
}

TimeFactors& TimeFactors::operator+=(const TimeFactors& other)
{
    count += other.count;
    sum += other.sum;
    sumOfSquares += other.sumOfSquares;
    return *this;
}

double TimeFactors::varianceOfMean() const
{
    if (count < 2)
        return 1;
    const double variance = std::max(0.0, sumOfSquares / count - mean() * mean());
    return variance / (count - 1);
}

TimeVerdict compareTimes(const std::vector<TimeComparison>& kinds)
{
    double answers = 0;
    double difference = 0;
    double variance = 0;
    for (const TimeComparison& it : kinds) {
        if (it.older.count < LEAST_OLD_ANSWERS || it.newer.count < 2)
            continue;
        const double n = it.newer.count;
        answers += n;
        difference += n * (it.newer.mean() - it.older.mean());
        variance += n * n * (it.newer.varianceOfMean() + it.older.varianceOfMean());
    }
    if (answers < LEAST_ANSWERS)
        return TimeVerdict::Alike;
    const double excess = difference / answers - std::log(FACTOR_THAT_MATTERS);
    if (excess <= 0)
        return TimeVerdict::Alike;
    return excess > CERTAINTY * std::sqrt(variance) / answers ? TimeVerdict::ClearlySlower : TimeVerdict::Unsure;
}

}
