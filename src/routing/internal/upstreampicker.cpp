#include "fireflyhaven/routing/upstreampicker.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>

namespace fireflyhaven::routing {

namespace {

double loadOf(const UpstreamOption& it)
{
    return static_cast<double>(it.inFlight + it.queued) / static_cast<double>(std::max(1U, it.limit));
}

std::uint64_t affinityOf(const UpstreamOption& it, std::uint64_t prefixHash)
{
    return combineHashes(it.hash, prefixHash);
}

std::vector<std::size_t> usablePositions(const std::vector<UpstreamOption>& options)
{
    std::vector<std::size_t> positions;
    const bool anyNotAvoided
        = std::any_of(options.begin(), options.end(), [](const UpstreamOption& it) { return !it.avoided; });
    for (std::size_t n = 0; n < options.size(); ++n) {
        if (!anyNotAvoided || !options[n].avoided)
            positions.push_back(n);
    }
    return positions;
}

std::size_t leastLoaded(
    const std::vector<UpstreamOption>& options, const std::vector<std::size_t>& positions, std::uint64_t prefixHash)
{
    return *std::min_element(positions.begin(), positions.end(), [&](std::size_t a, std::size_t b) {
        const Duration first = expectedFirstToken(options[a]);
        const Duration second = expectedFirstToken(options[b]);
        if (first != second)
            return first < second;
        return affinityOf(options[a], prefixHash) > affinityOf(options[b], prefixHash);
    });
}

}

Duration expectedFirstToken(const UpstreamOption& it)
{
    constexpr Duration REMOTE_DATA_CENTRE_DELAY { 2 };
    const double load = loadOf(it);
    // Below its limit, batching slows prefill in proportion to the load; above it, requests queue behind running ones.
    const double slowdown = load < 1 ? 1 + load : 2 * (1 + load);
    const auto time = Duration(static_cast<Duration::rep>(static_cast<double>(it.firstToken.count()) * slowdown));
    return it.sameDataCentre ? time : time + REMOTE_DATA_CENTRE_DELAY;
}

std::size_t pickUpstream(
    const std::vector<UpstreamOption>& options, std::uint64_t prefixHash, const PickOptions& pickOptions)
{
    const std::vector<std::size_t> positions = usablePositions(options);
    if (positions.empty())
        return options.size();
    if (pickOptions.policy == PickPolicy::LeastLoaded)
        return leastLoaded(options, positions, prefixHash);
    double total = 0;
    for (const std::size_t n : positions)
        total += loadOf(options[n]);
    const double average = total / static_cast<double>(positions.size());
    const double bound = std::min(1.0, std::max(pickOptions.minLoadBound, pickOptions.loadBoundFactor * average));
    std::size_t best = options.size();
    std::uint64_t bestAffinity = 0;
    for (const std::size_t n : positions) {
        const std::uint64_t affinity = affinityOf(options[n], prefixHash);
        const bool withinBound = pickOptions.policy == PickPolicy::RendezvousHash || loadOf(options[n]) <= bound;
        if (!withinBound || (best != options.size() && affinity <= bestAffinity))
            continue;
        best = n;
        bestAffinity = affinity;
    }
    return best == options.size() ? leastLoaded(options, positions, prefixHash) : best;
}

}
