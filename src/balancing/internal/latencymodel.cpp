#include "fireflyhaven/balancing/latencymodel.h"

#include <algorithm>

namespace fireflyhaven::balancing {

namespace {
// Part of its weight that a sample keeps with each later one.
constexpr double KEPT = 0.98;
// Weight of the line given at the start, as a number of samples.
constexpr double PRIOR_WEIGHT = 5;
// Size at which the line given at the start counts beside the origin.
constexpr double PRIOR_SIZE = 1000;
}

LatencyModel::LatencyModel(double base, double slope)
    : m_base(base)
    , m_slope(slope)
{
    for (const double size : { 0.0, PRIOR_SIZE }) {
        const double time = base + slope * size;
        m_weight += PRIOR_WEIGHT / 2;
        m_size += size * PRIOR_WEIGHT / 2;
        m_time += time * PRIOR_WEIGHT / 2;
        m_sizeSquared += size * size * PRIOR_WEIGHT / 2;
        m_sizeTime += size * time * PRIOR_WEIGHT / 2;
    }
}

void LatencyModel::add(double size, double time)
{
    for (double* sum : { &m_weight, &m_size, &m_time, &m_sizeSquared, &m_sizeTime })
        *sum *= KEPT;
    m_weight += 1;
    m_size += size;
    m_time += time;
    m_sizeSquared += size * size;
    m_sizeTime += size * time;
    solve();
}

void LatencyModel::solve()
{
    const double spread = m_weight * m_sizeSquared - m_size * m_size;
    constexpr double LEAST_SPREAD = 1;
    const double slope = spread > LEAST_SPREAD ? (m_weight * m_sizeTime - m_size * m_time) / spread : 0;
    // A larger prompt never takes less time; a negative slope is noise.
    m_slope = std::max(0.0, slope);
    m_base = std::max(0.0, (m_time - m_slope * m_size) / m_weight);
}

double LatencyModel::predict(double size) const { return m_base + m_slope * size; }

}
