#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"

#include <vector>

namespace fireflyhaven::routing {

// An upstream that may take a request, as seen by this entry host.
struct UpstreamOption {
    UpstreamId upstream;
    // stableHash of the id.
    std::uint64_t hash = 0;
    bool sameDataCentre = false;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 1;
    std::uint32_t queued = 0;
    // Expected time to the first token of an unloaded upstream.
    Duration firstToken {};
    // Failed lately; used only where nothing else is left.
    bool avoided = false;
};

enum class PickPolicy {
    // Prompt-prefix affinity with bounded load, then least expected first-token time.
    PrefixAffinity,
    LeastLoaded,
    PlainHash,
};

struct PickOptions {
    PickPolicy policy = PickPolicy::PrefixAffinity;
    // An upstream keeps a prefix while its load is at most this many times the average.
    double loadBound = 1.25;
    // Load, as a share of its limit, under which an upstream keeps its prefixes whatever the average is.
    double freeLoad = 0.5;
};

// Expected time to the first token, from the queue and the load.
Duration expectedFirstToken(const UpstreamOption& option);

// Picks an upstream for a prompt whose prefix has the hash given. Returns `options.size()` where there is none.
std::size_t pickUpstream(
    const std::vector<UpstreamOption>& options, std::uint64_t prefixHash, const PickOptions& how = {});

}
