#pragma once

#include "fireflyhaven/quality/qualityfold.h"

namespace fireflyhaven::quality {

struct EstimatorOptions {
    // Number of ratings that the operator's assumed quality counts as.
    double priorWeight = 30;
    // Standard deviations that the lower bound lies below the mean (one-sided 90 %).
    double deviations = 1.28;
};

// Share of good answers: mean and lower confidence bound of the Beta posterior.
struct Estimate {
    double mean = 0;
    double lowerBound = 0;
};

Estimate estimateQuality(const RatingCounts& counts, double assumedQuality, const EstimatorOptions& options = {});

}
