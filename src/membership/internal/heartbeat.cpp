#include "fireflyhaven/membership/types/heartbeat.h"

#include "fireflyhaven/common/hash.h"

namespace fireflyhaven::membership {

ShortId shortIdOf(const std::string& id) { return ShortId(static_cast<std::uint32_t>(stableHash(id))); }

}
