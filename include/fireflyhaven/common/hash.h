#pragma once

#include <cstdint>
#include <string_view>

namespace fireflyhaven {

// Hash that is identical in every process and build, for decisions on which hosts must agree.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);
std::uint64_t combineHashes(std::uint64_t a, std::uint64_t b);
// Maps a hash uniformly to [0, 1).
double unitInterval(std::uint64_t hash);

}
