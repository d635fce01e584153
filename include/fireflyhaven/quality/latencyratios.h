#pragma once

#include <vector>

namespace fireflyhaven::quality {

// Latency of one answer relative to the expected latency.
struct LatencySample {
    // Observed over expected time.
    double ratio = 1;
    // Large requests weigh more, since the constant part of the latency of small ones masks the speed of the work.
    double weight = 1;
};

// Statistics of the logarithms of latency ratios (observed over expected time), kept as weighted sums, so that those of
// several hosts can be added.
struct LatencyRatios {
    float weight = 0;
    float sum = 0;
    float sumOfSquares = 0;
    float sumOfSquaredWeights = 0;

    void add(const LatencySample& sample);
    // Scales the sums down to at most `maxSamples` effective samples, so that earlier samples decay.
    void limitSamples(float maxSamples);
    LatencyRatios& operator+=(const LatencyRatios& other);
    // Effective sample size: the number of samples of equal weight with the same variance of the mean.
    double effectiveSamples() const { return weight > 0 ? weight * weight / sumOfSquaredWeights : 0; }
    double meanLogRatio() const { return weight > 0 ? sum / weight : 0; }
    // Variance of `meanLogRatio`.
    double varianceOfMean() const;

    friend bool operator==(const LatencyRatios&, const LatencyRatios&) = default;
    template <typename Archive> void serialize(Archive& archive)
    {
        archive(weight, sum, sumOfSquares, sumOfSquaredWeights);
    }
};

// Latencies of two versions for one kind of request, for example the requests of one route.
struct VersionLatencies {
    LatencyRatios newer;
    LatencyRatios older;
};

enum class LatencyVerdict {
    // Too few answers for a comparison.
    InsufficientData,
    // The measured slowdown is at most the tolerated one.
    NotSlower,
    // The measured slowdown exceeds the tolerated one, but not yet significantly.
    PossiblySlower,
    // The measured slowdown exceeds the tolerated one significantly.
    ClearlySlower,
};

struct LatencyComparison {
    LatencyVerdict verdict = LatencyVerdict::InsufficientData;
    // Effective sample size of the newer version.
    double effectiveAnswers = 0;
    // Latency of the newer version over that of the older one.
    double slowdown = 1;
    // Standard error of the logarithm of `slowdown`.
    double standardError = 0;
};

// Compares the latencies of two versions, pooled over all kinds of request. Leaves out kinds for which either version
// has too few answers.
LatencyComparison compareLatencies(const std::vector<VersionLatencies>& requestKinds);

}
