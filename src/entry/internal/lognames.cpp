#include "lognames.h"

#include "fireflyhaven/fleet/peerload.h"

#include <spdlog/fmt/fmt.h>

namespace fireflyhaven::entry {

std::string upstreamName(const catalog::Catalog& catalog, fleet::ShortHash upstream)
{
    for (const auto& [id, it] : catalog.upstreams()) {
        if (fleet::shortHashOf(id) == upstream)
            return id.value();
    }
    return "hash " + std::to_string(upstream);
}

std::string partId(PromptPartId part) { return fmt::format("{:x}", part.value()); }

}
