#pragma once

#include "fireflyhaven/routing/types/candidate.h"

namespace fireflyhaven::routing {

// Most versions in one cascade.
constexpr std::size_t LONGEST_CASCADE = 3;

// Works out quality, expected cost and longest time of trying the candidates `steps` in turn.
Cascade evaluateCascade(
    const std::vector<Candidate>& candidates, const std::vector<std::size_t>& steps, const RaterModel& rater);

// Chooses the single call or cascade of the least expected cost that meets the needs. Where none does, the plan's
// preference decides: the best quality, or the best quality among those in time.
Choice chooseCascade(const std::vector<Candidate>& candidates, const Needs& needs, const RaterModel& rater);

}
