#include "fireflyhaven/quality/badversiondetector.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::quality {

BadVersionDetector::BadVersionDetector(DetectorOptions options)
    : m_options(options)
{
}

bool BadVersionDetector::onRatings(const RatingKey& key, std::uint64_t good, std::uint64_t bad, double target)
{
    constexpr double LEAST_SHARE = 0.01;
    const double expected = std::clamp(target, LEAST_SHARE * 2, 1 - LEAST_SHARE);
    const double dropped = std::max(LEAST_SHARE, expected - m_options.detectableDrop);
    const double goodStep = std::log(dropped / expected);
    const double badStep = std::log((1 - dropped) / (1 - expected));
    double& evidence = m_evidence[key];
    evidence += static_cast<double>(good) * goodStep + static_cast<double>(bad) * badStep;
    evidence = std::max(0.0, evidence);
    return evidence >= m_options.threshold;
}

void BadVersionDetector::forget(const ModelVersion& version)
{
    std::erase_if(m_evidence, [&](const auto& it) { return it.first.version == version; });
}

double BadVersionDetector::evidence(const RatingKey& key) const
{
    const auto it = m_evidence.find(key);
    return it == m_evidence.end() ? 0 : it->second;
}

}
