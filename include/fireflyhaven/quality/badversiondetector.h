#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/quality/types/entries.h"

#include <map>

namespace fireflyhaven::quality {

struct DetectorOptions {
    // Smallest drop of the share of good answers below the target that the test is designed to detect.
    double detectableDrop = 0.15;
    // Evidence (log likelihood ratio) at which a version is suspended.
    double threshold = 6;
};

// Detects versions whose quality falls below the target, by a sequential test (Page's CUSUM). Each rating adds the log
// likelihood ratio of "share dropped" against "share at the target". The sum never falls below zero, so that a long
// history of good ratings does not delay the detection of a regression.
class BadVersionDetector {
public:
    explicit BadVersionDetector(DetectorOptions options = {});

    // Adds ratings. `target` is the strictest quality target of the plans that use the version for the task. Returns
    // whether the evidence has reached the threshold of suspension.
    bool onRatings(const RatingKey& key, std::uint64_t good, std::uint64_t bad, double target);
    // Resets the evidence of the version for all tasks.
    void discardEvidence(const ModelVersion& version);
    // Log likelihood ratio accumulated so far.
    double evidence(const RatingKey& key) const;

private:
    DetectorOptions m_options;
    std::map<RatingKey, double> m_evidence;
};

}
