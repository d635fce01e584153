#pragma once

namespace fireflyhaven::balancing {

// Least-squares line through (size, time) samples whose weights decay exponentially. Times are in milliseconds.
class LatencyModel {
public:
    // Prior line, which samples gradually replace: `intercept` plus `slope` for each unit of size.
    LatencyModel(double intercept, double slope);

    void add(double size, double time);
    double predict(double size) const;
    double slope() const { return m_slope; }

private:
    void fitLine();

    double m_intercept;
    double m_slope;
    // Weighted sums over the samples.
    double m_weightSum = 0;
    double m_sizeSum = 0;
    double m_timeSum = 0;
    double m_sizeSquaredSum = 0;
    double m_sizeTimeSum = 0;
};

}
