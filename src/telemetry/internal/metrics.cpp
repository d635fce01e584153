#include "fireflyhaven/telemetry/metrics.h"

#include <fmt/format.h>

#include <iterator>

namespace fireflyhaven::telemetry {

namespace {

namespace accumulators = boost::accumulators;

// Upper bounds of a histogram's buckets, in seconds.
constexpr double BUCKET_BOUNDS[] = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30 };
constexpr double SECONDS_PER_MILLISECOND = 0.001;

std::string escaped(const std::string& value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            text += '\\';
        text += c;
    }
    return text;
}

// Labels as written between the braces; empty where there are none.
std::string formatLabels(const Labels& labels)
{
    std::string text;
    for (const auto& [name, value] : labels)
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, escaped(value));
    return text;
}

std::string braced(const std::string& labels) { return labels.empty() ? "" : "{" + labels + "}"; }

boost::histogram::axis::variable<> bucketAxis()
{
    // The lowest edge is below every possible duration, so that none falls into the underflow bin.
    std::vector<double> edges { -1 };
    edges.insert(edges.end(), std::begin(BUCKET_BOUNDS), std::end(BUCKET_BOUNDS));
    return boost::histogram::axis::variable<>(edges);
}

}

template <typename Value> Value& Metrics::series(Family<Value>& family, const Labels& labels, const Value& initial)
{
    const std::string key = formatLabels(labels);
    const auto it = family.find(key);
    if (it != family.end())
        return it->second;
    if (family.size() < MAX_SERIES)
        return family.emplace(key, initial).first->second;
    Labels overflowLabels = labels;
    for (auto& [name, value] : overflowLabels)
        value = "other";
    return family.emplace(formatLabels(overflowLabels), initial).first->second;
}

void Metrics::count(const std::string& name, std::uint64_t n, const Labels& labels)
{
    absl::MutexLock lock(&m_mutex);
    series<std::uint64_t>(m_counters[name], labels, 0) += n;
}

void Metrics::set(const std::string& name, double value, const Labels& labels)
{
    absl::MutexLock lock(&m_mutex);
    series<double>(m_gauges[name], labels, 0) = value;
}

void Metrics::observe(const std::string& name, Duration value, const Labels& labels)
{
    absl::MutexLock lock(&m_mutex);
    Histogram& it = series(m_histograms[name], labels,
        Histogram { .sums = {}, .buckets = boost::histogram::make_histogram(bucketAxis()) });
    const double seconds = static_cast<double>(value.count()) * SECONDS_PER_MILLISECOND;
    it.sums(seconds);
    // Prometheus buckets include their upper bound, histogram bins exclude it. Durations are whole milliseconds, so
    // half a millisecond less moves a duration that equals a bound into the bin below and affects no other duration.
    it.buckets(seconds - SECONDS_PER_MILLISECOND / 2);
}

std::string Metrics::text() const
{
    absl::MutexLock lock(&m_mutex);
    fmt::memory_buffer buf;
    const auto out = std::back_inserter(buf);
    for (const auto& [name, family] : m_counters) {
        fmt::format_to(out, "# TYPE fireflyhaven_{}_total counter\n", name);
        for (const auto& [labels, n] : family)
            fmt::format_to(out, "fireflyhaven_{}_total{} {}\n", name, braced(labels), n);
    }
    for (const auto& [name, family] : m_gauges) {
        fmt::format_to(out, "# TYPE fireflyhaven_{} gauge\n", name);
        for (const auto& [labels, value] : family)
            fmt::format_to(out, "fireflyhaven_{}{} {}\n", name, braced(labels), value);
    }
    for (const auto& [name, family] : m_histograms) {
        fmt::format_to(out, "# TYPE fireflyhaven_{}_seconds histogram\n", name);
        for (const auto& [labels, it] : family) {
            const std::string prefix = labels.empty() ? "" : labels + ",";
            double cumulative = 0;
            for (std::size_t i = 0; i < std::size(BUCKET_BOUNDS); ++i) {
                cumulative += it.buckets.at(static_cast<int>(i));
                fmt::format_to(out, "fireflyhaven_{}_seconds_bucket{{{}le=\"{}\"}} {}\n", name, prefix,
                    BUCKET_BOUNDS[i], cumulative);
            }
            const auto n = accumulators::count(it.sums);
            fmt::format_to(out, "fireflyhaven_{}_seconds_bucket{{{}le=\"+Inf\"}} {}\n", name, prefix, n);
            fmt::format_to(out, "fireflyhaven_{}_seconds_sum{} {}\n", name, braced(labels), accumulators::sum(it.sums));
            fmt::format_to(out, "fireflyhaven_{}_seconds_count{} {}\n", name, braced(labels), n);
        }
    }
    return { buf.data(), buf.size() };
}

nlohmann::json Metrics::dump() const
{
    absl::MutexLock lock(&m_mutex);
    nlohmann::json document = nlohmann::json::object();
    for (const auto& [name, family] : m_counters) {
        for (const auto& [labels, n] : family)
            document[name + braced(labels)] = n;
    }
    return document;
}

}
