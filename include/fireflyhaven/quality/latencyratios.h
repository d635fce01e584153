#pragma once

#include <vector>

namespace fireflyhaven::quality {

// How long an answer took beside what was expected.
struct TimeSample {
    double factor = 1;
    // Times of large requests tell more: the constant part of a time hides how fast the work is done.
    double weight = 1;
};

// Observed over expected times of answers, as weighted sums of their logarithms, so that the sums of several hosts add
// up.
struct TimeFactors {
    float weight = 0;
    float sum = 0;
    float sumOfSquares = 0;
    float sumOfSquaredWeights = 0;

    void add(const TimeSample& sample);
    // Lets earlier samples fade, so that the sums stand for about the last `most`.
    void fade(float most);
    TimeFactors& operator+=(const TimeFactors& other);
    // Number of samples of equal weight that would tell as much.
    double samples() const { return weight > 0 ? weight * weight / sumOfSquaredWeights : 0; }
    double mean() const { return weight > 0 ? sum / weight : 0; }
    // Variance of the mean.
    double varianceOfMean() const;

    friend bool operator==(const TimeFactors&, const TimeFactors&) = default;
    template <typename Archive> void serialize(Archive& archive)
    {
        archive(weight, sum, sumOfSquares, sumOfSquaredWeights);
    }
};

// Answers of two versions to one kind of request.
struct TimeComparison {
    TimeFactors newer;
    TimeFactors older;
};

enum class TimeVerdict {
    // Too few answers to compare.
    Unknown,
    // As far as the answers tell.
    Alike,
    // It looks slower by a factor that matters; more answers are needed to be sure.
    Unsure,
    ClearlySlower,
};

struct TimeEvidence {
    TimeVerdict verdict = TimeVerdict::Unknown;
    // Answers of the newer version that were compared, of equal weight.
    double answers = 0;
    // How many times as long the newer version takes, and the standard error of its logarithm.
    double slowdown = 1;
    double standardError = 0;
};

// Compares the times of the newer version's answers with the older one's, over all kinds of request together. Kinds of
// which one version has hardly any answers are left out.
TimeEvidence compareTimes(const std::vector<TimeComparison>& kinds);

}
