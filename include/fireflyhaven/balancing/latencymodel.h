#pragma once

namespace fireflyhaven::balancing {

// Line through (size, time) samples by least squares, in which older samples fade. Times in milliseconds.
class LatencyModel {
public:
    // The line that holds until samples replace it: `base` plus `slope` for each unit of size.
    LatencyModel(double base, double slope);

    void add(double size, double time);
    double predict(double size) const;
    double slope() const { return m_slope; }

private:
    void solve();

    double m_base;
    double m_slope;
    double m_weight = 0;
    double m_size = 0;
    double m_time = 0;
    double m_sizeSquared = 0;
    double m_sizeTime = 0;
};

}
