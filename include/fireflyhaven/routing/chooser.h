#pragma once

#include "fireflyhaven/routing/types/candidate.h"

namespace fireflyhaven::routing {

// Maximum number of versions in one cascade.
constexpr std::size_t MAX_CASCADE_STEPS = 3;

// Computes the expected quality, the expected cost and the worst-case time of trying the candidates `steps` in turn.
Cascade evaluateCascade(
    const std::vector<Candidate>& candidates, const std::vector<std::size_t>& steps, const RaterModel& rater);

// Chooses the single call or cascade with the lowest expected cost that meets the requirements. Where none does, the
// plan's preference decides: the best quality overall, or the best quality among those that meet the time limits.
Choice chooseCascade(
    const std::vector<Candidate>& candidates, const Requirements& requirements, const RaterModel& rater);

}
