#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"

#include <vector>

namespace fireflyhaven::routing {

// An upstream that may take a request, as seen by this entry host.
struct UpstreamOption {
    UpstreamId upstream;
    // `stableHash` of the upstream id.
    std::uint64_t hash = 0;
    bool sameDataCentre = false;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 1;
    std::uint32_t queued = 0;
    // Expected time to first token without load.
    Duration firstToken {};
    // Set after recent failures; such an upstream is used only where no other is left.
    bool avoided = false;
};

enum class PickPolicy {
    // Prompt-prefix affinity by rendezvous hashing with bounded loads, then the shortest expected time to first token.
    PrefixAffinity,
    // Shortest expected time to first token.
    LeastLoaded,
    // Prompt-prefix affinity without a bound on the load.
    RendezvousHash,
};

struct PickOptions {
    PickPolicy policy = PickPolicy::PrefixAffinity;
    // An upstream keeps its prefixes while its load is at most this multiple of the average load.
    double loadBoundFactor = 1.25;
    // Lower limit of the bound, as a share of an upstream's limit: up to this load an upstream keeps its prefixes,
    // whatever the average is.
    double minLoadBound = 0.5;
};

// Expected time to first token at the current load, including the delay to another data centre.
Duration expectedFirstToken(const UpstreamOption& option);

// Returns the position of the upstream for a prompt with this prefix hash, or `options.size()` where there is none.
std::size_t pickUpstream(
    const std::vector<UpstreamOption>& options, std::uint64_t prefixHash, const PickOptions& pickOptions = {});

}
