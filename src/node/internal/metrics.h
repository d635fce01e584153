#pragma once

#include "fireflyhaven/common/clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace fireflyhaven::node {

// Counters and latency quantiles of one process.
class Metrics {
public:
    void count(const std::string& name, std::uint64_t n = 1);
    void observe(const std::string& name, Duration value);

    // Lines of text: "name value" and "name{quantile="0.5"} milliseconds".
    std::string text() const;
    nlohmann::json dump() const;

private:
    using Quantiles = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count,
            boost::accumulators::tag::extended_p_square_quantile>>;

    mutable absl::Mutex m_mutex;
    std::map<std::string, std::uint64_t> m_counters ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, Quantiles> m_latencies ABSL_GUARDED_BY(m_mutex);
};

}
