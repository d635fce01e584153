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
    // Keeps both shares away from 0 and 1, where the log likelihood ratio is not finite.
    constexpr double MIN_SHARE = 0.01;
    const double targetShare = std::clamp(target, MIN_SHARE * 2, 1 - MIN_SHARE);
    const double droppedShare = std::max(MIN_SHARE, targetShare - m_options.detectableDrop);
    const double goodIncrement = std::log(droppedShare / targetShare);
    const double badIncrement = std::log((1 - droppedShare) / (1 - targetShare));
    double& evidence = m_evidence[key];
    evidence += static_cast<double>(good) * goodIncrement + static_cast<double>(bad) * badIncrement;
    evidence = std::max(0.0, evidence);
    return evidence >= m_options.threshold;
}

void BadVersionDetector::discardEvidence(const ModelVersion& version)
{
    std::erase_if(m_evidence, [&](const auto& it) { return it.first.version == version; });
}

double BadVersionDetector::evidence(const RatingKey& key) const
{
    const auto it = m_evidence.find(key);
    return it == m_evidence.end() ? 0 : it->second;
}

}
