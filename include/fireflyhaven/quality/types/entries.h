#pragma once

#include "fireflyhaven/common/json.h"

namespace fireflyhaven::quality {

// Ratings are kept apart by task, since a version may be good at one and bad at another.
struct RatingKey {
    TaskName task;
    ModelVersion version;

    friend auto operator<=>(const RatingKey&, const RatingKey&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(task, version); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RatingKey, task, version)

// Ratings of one host since its last entry.
struct RatingsEntry {
    RatingKey key;
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RatingsEntry, key, good, bad)

// A host has seen a version fall under its target. Holds until an operator changes the version's list item.
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
