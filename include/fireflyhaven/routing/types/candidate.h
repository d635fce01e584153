#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"
#include "fireflyhaven/config/types/lists.h"

#include <vector>

namespace fireflyhaven::routing {

// A version that may serve a request, with what is known about it for the request's task.
struct Candidate {
    ModelVersion version;
    // Lower confidence bound of the share of answers rated good, 0 to 1.
    double quality = 0;
    Cost expectedCost;
    Duration firstToken {};
    Duration total {};
};

// How well the rating service tells good answers from bad ones, and how long it takes.
struct RaterModel {
    double acceptsGood = 0.97;
    double acceptsBad = 0.05;
    Duration time { 100 };
    // No cascade where no rating can be had now.
    bool available = false;
};

// What a request needs.
struct Needs {
    double qualityTarget = 0;
    Duration firstToken {};
    Duration total {};
    config::TargetConflict onConflict = config::TargetConflict::QualityFirst;
};

// Versions to try in turn: each answer but the last is rated, and the next version is tried where the rating is bad.
struct Cascade {
    std::vector<std::size_t> steps;
    double quality = 0;
    double expectedCostMicros = 0;
    Duration firstToken {};
    Duration total {};
};

enum class ChoiceKind {
    MeetsTarget,
    // Nothing meets both targets; the plan's preference decided.
    BestQuality,
    BestTime,
    NoCandidate,
};

struct Choice {
    ChoiceKind kind = ChoiceKind::NoCandidate;
    // Positions in the list of candidates.
    Cascade cascade;
};

}
