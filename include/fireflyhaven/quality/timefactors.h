#pragma once

#include <vector>

namespace fireflyhaven::quality {

// Observed over expected times of answers, as sums of their logarithms, so that the sums of several hosts add up.
struct TimeFactors {
    float count = 0;
    float sum = 0;
    float sumOfSquares = 0;

    void add(double factor);
    // Lets earlier factors fade, so that the sums stand for about the last `most`.
    void fade(float most);
    TimeFactors& operator+=(const TimeFactors& other);
    double mean() const { return count > 0 ? sum / count : 0; }
    // Variance of the mean.
    double varianceOfMean() const;

    friend bool operator==(const TimeFactors&, const TimeFactors&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(count, sum, sumOfSquares); }
};

// Answers of two versions to one kind of request.
struct TimeComparison {
    TimeFactors newer;
    TimeFactors older;
};

enum class TimeVerdict {
    // As far as the answers tell.
    Alike,
    // It looks slower by a factor that matters; more answers are needed to be sure.
    Unsure,
    ClearlySlower,
};

// Compares the times of the newer version's answers with the older one's, over all kinds of request together. Kinds of
// which one version has hardly any answers are left out.
TimeVerdict compareTimes(const std::vector<TimeComparison>& kinds);

}
