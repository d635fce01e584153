#include "fireflyhaven/quality/estimator.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::quality {

Estimate estimateQuality(const RatingCounts& counts, double assumedQuality, const EstimatorOptions& options)
{
    const double good = counts.good + assumedQuality * options.priorWeight;
    const double total = counts.total() + options.priorWeight;
    const double mean = good / total;
    const double standardDeviation = std::sqrt(mean * (1 - mean) / (total + 1));
    return { .mean = mean, .lowerBound = std::max(0.0, mean - options.lowerBoundDeviations * standardDeviation) };
}

}
