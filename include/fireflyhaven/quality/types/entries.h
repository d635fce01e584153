#pragma once

#include "fireflyhaven/common/json.h"

namespace fireflyhaven::quality {

// Ratings are counted per task, since the quality of a version differs between tasks.
struct RatingKey {
    TaskName task;
    ModelVersion version;

    friend auto operator<=>(const RatingKey&, const RatingKey&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(task, version); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RatingKey, task, version)

// Ratings collected by one host since its last entry.
struct RatingsEntry {
    RatingKey key;
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RatingsEntry, key, good, bad)

// Suspends a version whose quality a host has found to be below target. The suspension holds until an operator changes
// the version's list item.
struct SuspendEntry {
    ModelVersion version;
    // Revision of the version's list item when the host suspended it.
    Offset versionRevision;
    HostId host;

    friend auto operator<=>(const SuspendEntry&, const SuspendEntry&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(version, versionRevision, host); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SuspendEntry, version, versionRevision, host)

}
