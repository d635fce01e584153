#pragma once

#include "fireflyhaven/fleet/types/hostreport.h"

namespace fireflyhaven::fleet {

// The fields that reports and digests have beyond those of the oldest builds.
struct LoadExtension {
    ShortList<UpstreamSpeed> speeds;
    ShortList<PromptDemand> demands;

    template <typename Archive> void serialize(Archive& archive) { archive(speeds, demands); }
};

}
