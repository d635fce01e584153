#include "fireflyhaven/routing/versionassignment.h"

#include "fireflyhaven/common/hash.h"

#include <cmath>

namespace fireflyhaven::routing {

const config::VersionShare* assignVersion(const std::vector<config::VersionShare>& shares, const SessionId& session)
{
    const config::VersionShare* best = nullptr;
    double bestScore = 0;
    const std::uint64_t sessionHash = stableHash(session.value());
    for (const config::VersionShare& it : shares) {
        if (it.share <= 0)
            continue;
        const double u = unitInterval(combineHashes(sessionHash, stableHash(it.version.text())));
        const double score = -it.share / std::log1p(-u);
        if (!best || score > bestScore) {
            best = &it;
            bestScore = score;
        }
    }
    return best;
}

}
