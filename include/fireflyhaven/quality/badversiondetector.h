#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/quality/types/entries.h"

#include <map>

namespace fireflyhaven::quality {

struct DetectorOptions {
    // Drop of the share of good answers below the target that has to be found.
    double detectableDrop = 0.15;
    // Evidence (log likelihood ratio) at which a version is suspended.
    double threshold = 6;
};

// Finds versions that fall under their target by a sequential test (Page's CUSUM): each rating adds the log likelihood
// ratio of "dropped" against "at the target", and the sum never falls below zero, so that a long good past does not
// hide a version that turns bad.
class BadVersionDetector {
public:
    explicit BadVersionDetector(DetectorOptions options = {});

    // Takes ratings against the strictest target of the plans that use the version for the task. Returns whether the
    // version is to be suspended now.
    bool onRatings(const RatingKey& key, std::uint64_t good, std::uint64_t bad, double target);
    void forget(const ModelVersion& version);
    double evidence(const RatingKey& key) const;

private:
    DetectorOptions m_options;
    std::map<RatingKey, double> m_evidence;
};

}
