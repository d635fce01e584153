#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"
#include "fireflyhaven/config/types/lists.h"

#include <vector>

namespace fireflyhaven::routing {

// A version that may serve a request, with its estimates for the request's task.
struct Candidate {
    ModelVersion version;
    // Lower confidence bound of the share of answers rated good, 0 to 1.
    double quality = 0;
    Cost expectedCost;
    Duration firstToken {};
    Duration total {};
};

// Accuracy and latency of the rating service.
struct RaterModel {
    // Probabilities that a good and a bad answer is rated good.
    double acceptsGood = 0.97;
    double acceptsBad = 0.05;
    Duration time { 100 };
    // Cascades are limited to one step while the rating service is unavailable.
    bool available = false;
};

// Quality target and time limits of a request.
struct Requirements {
    double qualityTarget = 0;
    Duration firstToken {};
    Duration total {};
    config::TargetConflict onConflict = config::TargetConflict::QualityFirst;
};

// Versions to try in turn. Every answer but the last is rated, and the next version is tried where the rating is bad.
struct Cascade {
    // Positions in the list of candidates.
    std::vector<std::size_t> steps;
    double quality = 0;
    double expectedCostMicros = 0;
    Duration firstToken {};
    Duration total {};
};

enum class ChoiceKind {
    MeetsTarget,
    // No cascade meets the quality target within the time limits; the plan's preference decided.
    BestQuality,
    BestTime,
    NoCandidate,
};

struct Choice {
    ChoiceKind kind = ChoiceKind::NoCandidate;
    Cascade cascade;
};

}
