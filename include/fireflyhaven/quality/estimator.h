#pragma once

#include "fireflyhaven/quality/qualityfold.h"

namespace fireflyhaven::quality {

struct EstimatorOptions {
    // Weight of the quality assumed by the operator (the prior), as a number of ratings.
    double priorWeight = 30;
    // Distance of the lower bound from the mean in standard deviations (one-sided 90 %).
    double lowerBoundDeviations = 1.28;
};

// Share of good answers: mean and lower confidence bound of the Beta posterior.
struct Estimate {
    double mean = 0;
    double lowerBound = 0;
};

Estimate estimateQuality(const RatingCounts& counts, double assumedQuality, const EstimatorOptions& options = {});

}
