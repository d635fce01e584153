#pragma once

#include "fireflyhaven/common/clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fireflyhaven::telemetry {

// Label names and values of one time series.
using Labels = std::vector<std::pair<std::string, std::string>>;

// Counters, gauges and latency histograms of one process.
class Metrics {
public:
    // Maximum number of series per name, which bounds memory when label values come from callers. Further label values
    // share one series with the value "other".
    static constexpr std::size_t MAX_SERIES = 64;

    // Adds to a counter.
    void count(const std::string& name, std::uint64_t n = 1, const Labels& labels = {});
    // Sets a gauge.
    void set(const std::string& name, double value, const Labels& labels = {});
    // Adds a duration to a histogram.
    void observe(const std::string& name, Duration value, const Labels& labels = {});

    // Returns the Prometheus text format: names of counters end in "_total", histograms are in seconds.
    std::string text() const;
    // Returns the counters as an object, keyed by name and labels.
    nlohmann::json dump() const;

private:
    using Sums = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum>>;
    using Buckets = decltype(boost::histogram::make_histogram(boost::histogram::axis::variable<> {}));
    struct Histogram {
        Sums sums;
        Buckets buckets;
    };
    template <typename Value> using Family = std::map<std::string, Value>;
    template <typename Value> using Families = std::map<std::string, Family<Value>>;

    // Returns the series with these labels, or the overflow series where the family is full.
    template <typename Value> static Value& series(Family<Value>& family, const Labels& labels, const Value& initial);

    mutable absl::Mutex m_mutex;
    Families<std::uint64_t> m_counters ABSL_GUARDED_BY(m_mutex);
    Families<double> m_gauges ABSL_GUARDED_BY(m_mutex);
    Families<Histogram> m_histograms ABSL_GUARDED_BY(m_mutex);
};

}
