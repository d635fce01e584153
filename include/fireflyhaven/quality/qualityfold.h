#pragma once

#include "fireflyhaven/quality/types/entries.h"

#include <map>

namespace fireflyhaven::quality {

// Rating counts with exponential decay: each new rating reduces the weight of earlier ones, so that a regression of a
// version becomes visible.
struct RatingCounts {
    double good = 0;
    double bad = 0;

    double total() const { return good + bad; }
    void add(std::uint64_t newGood, std::uint64_t newBad);
};

// State that results from applying the log's ratings and suspensions in order.
class QualityFold {
public:
    void apply(const RatingsEntry& entry);
    // Returns whether the suspension is new, that is, the version was not yet suspended at this revision or a later
    // one.
    bool apply(const SuspendEntry& entry);

    const std::map<RatingKey, RatingCounts>& counts() const { return m_counts; }
    bool isSuspended(const ModelVersion& version, Offset versionRevision) const;

    nlohmann::json snapshot() const;
    static QualityFold fromSnapshot(const nlohmann::json& document);

private:
    std::map<RatingKey, RatingCounts> m_counts;
    // Latest revision of each suspended version's list item for which a suspension was logged.
    std::map<ModelVersion, Offset> m_suspended;
};

}
