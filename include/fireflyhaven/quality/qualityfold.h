#pragma once

#include "fireflyhaven/quality/types/entries.h"

#include <map>

namespace fireflyhaven::quality {

// Ratings with age: each new rating lowers the weight of the earlier ones, so that a version that turns bad shows.
struct RatingCounts {
    double good = 0;
    double bad = 0;

    double total() const { return good + bad; }
    void add(std::uint64_t newGood, std::uint64_t newBad);
};

// Folds ratings and suspensions, in the order of the log.
class QualityFold {
public:
    void apply(const RatingsEntry& entry);
    // Returns whether the version was not suspended at this revision before.
    bool apply(const SuspendEntry& entry);

    const std::map<RatingKey, RatingCounts>& counts() const { return m_counts; }
    bool isSuspended(const ModelVersion& version, Offset versionRevision) const;

    nlohmann::json snapshot() const;
    static QualityFold fromSnapshot(const nlohmann::json& document);

private:
    std::map<RatingKey, RatingCounts> m_counts;
    // Latest revision of each version's list item at which it was suspended.
    std::map<ModelVersion, Offset> m_suspended;
};

}
