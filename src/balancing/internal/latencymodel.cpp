#include "fireflyhaven/balancing/latencymodel.h"

#include <algorithm>

namespace fireflyhaven::balancing {

namespace {
// Factor on the weight of all earlier samples with each new one.
constexpr double SAMPLE_DECAY = 0.98;
// Weight of the prior line, as a number of samples.
constexpr double PRIOR_WEIGHT = 5;
// The prior line is represented by samples at size 0 and at this size.
constexpr double PRIOR_SIZE = 1000;
}

LatencyModel::LatencyModel(double intercept, double slope)
    : m_intercept(intercept)
    , m_slope(slope)
{
    for (const double size : { 0.0, PRIOR_SIZE }) {
        const double time = intercept + slope * size;
        m_weightSum += PRIOR_WEIGHT / 2;
        m_sizeSum += size * PRIOR_WEIGHT / 2;
        m_timeSum += time * PRIOR_WEIGHT / 2;
        m_sizeSquaredSum += size * size * PRIOR_WEIGHT / 2;
        m_sizeTimeSum += size * time * PRIOR_WEIGHT / 2;
    }
}

void LatencyModel::add(double size, double time)
{
    for (double* sum : { &m_weightSum, &m_sizeSum, &m_timeSum, &m_sizeSquaredSum, &m_sizeTimeSum })
        *sum *= SAMPLE_DECAY;
    m_weightSum += 1;
    m_sizeSum += size;
    m_timeSum += time;
    m_sizeSquaredSum += size * size;
    m_sizeTimeSum += size * time;
    fitLine();
}

void LatencyModel::fitLine()
{
    const double spread = m_weightSum * m_sizeSquaredSum - m_sizeSum * m_sizeSum;
    constexpr double MIN_SPREAD = 1;
    const double slope = spread > MIN_SPREAD ? (m_weightSum * m_sizeTimeSum - m_sizeSum * m_timeSum) / spread : 0;
    // A larger prompt does not take less time, so a negative slope is noise.
    m_slope = std::max(0.0, slope);
    m_intercept = std::max(0.0, (m_timeSum - m_slope * m_sizeSum) / m_weightSum);
}

double LatencyModel::predict(double size) const { return m_intercept + m_slope * size; }

}
