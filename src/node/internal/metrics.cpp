#include "metrics.h"

#include <sstream>

namespace fireflyhaven::node {

namespace {
namespace accumulators = boost::accumulators;
constexpr double PROBABILITIES[] = { 0.5, 0.95, 0.99 };
constexpr std::size_t SAMPLES_FOR_QUANTILES = 10;
}

void Metrics::count(const std::string& name, std::uint64_t n)
{
    absl::MutexLock lock(&m_mutex);
    m_counters[name] += n;
}

void Metrics::observe(const std::string& name, Duration value)
{
    absl::MutexLock lock(&m_mutex);
    auto it = m_latencies.find(name);
    if (it == m_latencies.end()) {
        const std::vector<double> probabilities(std::begin(PROBABILITIES), std::end(PROBABILITIES));
        it = m_latencies.emplace(name, Quantiles(accumulators::extended_p_square_probabilities = probabilities)).first;
    }
    it->second(static_cast<double>(value.count()));
}

std::string Metrics::text() const
{
    absl::MutexLock lock(&m_mutex);
    std::ostringstream out;
    for (const auto& [name, n] : m_counters)
        out << "fireflyhaven_" << name << " " << n << "\n";
    for (const auto& [name, quantiles] : m_latencies) {
        out << "fireflyhaven_" << name << "_count " << accumulators::count(quantiles) << "\n";
        if (accumulators::count(quantiles) < SAMPLES_FOR_QUANTILES)
            continue;
        for (const double p : PROBABILITIES) {
            out << "fireflyhaven_" << name << "_ms{quantile=\"" << p << "\"} "
                << accumulators::quantile(quantiles, accumulators::quantile_probability = p) << "\n";
        }
    }
    return out.str();
}

nlohmann::json Metrics::dump() const
{
    absl::MutexLock lock(&m_mutex);
    return m_counters;
}

}
