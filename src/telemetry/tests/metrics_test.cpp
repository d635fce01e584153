#include "fireflyhaven/telemetry/metrics.h"

#include <string>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using telemetry::Metrics;

namespace {

bool hasLine(const Metrics& metrics, const std::string& line)
{
    return ("\n" + metrics.text()).find("\n" + line + "\n") != std::string::npos;
}

}

Test(metrics, exportsCountersGaugesAndLabels)
{
    Metrics it;
    it.count("requests", 2, { { "outcome", "answered" } });
    it.count("requests", 1, { { "outcome", "refused" } });
    it.set("requests_open", 7);
    cr_assert(hasLine(it, "# TYPE fireflyhaven_requests_total counter"));
    cr_assert(hasLine(it, "fireflyhaven_requests_total{outcome=\"answered\"} 2"));
    cr_assert(hasLine(it, "fireflyhaven_requests_total{outcome=\"refused\"} 1"));
    cr_assert(hasLine(it, "fireflyhaven_requests_open 7"));
}

Test(metrics, histogramHasCumulativeBucketsInSeconds)
{
    Metrics it;
    it.observe("first_token", Duration(7));
    it.observe("first_token", Duration(200));
    it.observe("first_token", Duration(60'000));
    cr_assert(hasLine(it, "fireflyhaven_first_token_seconds_bucket{le=\"0.005\"} 0"));
    cr_assert(hasLine(it, "fireflyhaven_first_token_seconds_bucket{le=\"0.01\"} 1"));
    cr_assert(hasLine(it, "fireflyhaven_first_token_seconds_bucket{le=\"0.25\"} 2"));
    cr_assert(hasLine(it, "fireflyhaven_first_token_seconds_bucket{le=\"30\"} 2"));
    cr_assert(hasLine(it, "fireflyhaven_first_token_seconds_bucket{le=\"+Inf\"} 3"));
    cr_assert(hasLine(it, "fireflyhaven_first_token_seconds_count 3"));
    cr_assert(hasLine(it, "fireflyhaven_first_token_seconds_sum 60.207"));
}

Test(metrics, bucketIncludesItsUpperBound)
{
    Metrics it;
    it.observe("first_token", Duration(10));
    cr_assert(hasLine(it, "fireflyhaven_first_token_seconds_bucket{le=\"0.01\"} 1"));
    cr_assert(hasLine(it, "fireflyhaven_first_token_seconds_bucket{le=\"0.005\"} 0"));
}

Test(metrics, labelValuesAreBounded)
{
    Metrics it;
    constexpr int VALUES = 10'000;
    for (int i = 0; i < VALUES; ++i)
        it.count("requests", 1, { { "route", "r" + std::to_string(i) } });
    const std::string rest = std::to_string(VALUES - static_cast<int>(Metrics::MAX_SERIES));
    cr_assert(hasLine(it, "fireflyhaven_requests_total{route=\"other\"} " + rest));
    cr_assert(it.dump().size() == Metrics::MAX_SERIES + 1);
}

Test(metrics, labelValuesAreEscaped)
{
    Metrics it;
    it.count("requests", 1, { { "route", "a\"b\\c\nd" } });
    cr_assert(hasLine(it, R"(fireflyhaven_requests_total{route="a\"b\\c\nd"} 1)"));
}
