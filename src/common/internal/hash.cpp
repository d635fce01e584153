#include "fireflyhaven/common/hash.h"

#include <xxhash.h>

namespace fireflyhaven {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t combineHashes(std::uint64_t a, std::uint64_t b)
{
    const std::uint64_t pair[2] = { a, b };
    return XXH3_64bits(pair, sizeof(pair));
}

double unitInterval(std::uint64_t hash)
{
    constexpr int MANTISSA_BITS = 53;
    return static_cast<double>(hash >> (64 - MANTISSA_BITS)) / static_cast<double>(1ULL << MANTISSA_BITS);
}

}
