#pragma once

#include "fireflyhaven/balancing/types/upstreamrequirements.h"
#include "fireflyhaven/common/clock.h"

#include <absl/container/flat_hash_map.h>

namespace fireflyhaven::balancing {

// Hash of a model and the leading parts of a prompt; identifies an entry of an upstream's prefix cache.
using PrefixHash = std::uint64_t;

// A prompt prefix that other requests may share, with its number of tokens.
struct SharedPrefix {
    PrefixHash hash = 0;
    std::uint32_t tokens = 0;
};
// All prefixes of the prompt that leave out at least its last part, shortest first.
std::vector<SharedPrefix> sharedPrefixes(const catalog::ModelName& model, const std::vector<PromptPart>& parts);

struct PrefixCacheIndexOptions {
    // A prefix that was not used for this long is assumed to be evicted.
    Duration lifetime { 20'000 };
};

// Tracks which upstreams are likely to hold which prompt prefixes in their caches, judging by the requests sent to
// them. Does no I/O.
class PrefixCacheIndex {
public:
    explicit PrefixCacheIndex(PrefixCacheIndexOptions options = {});

    void onPrefill(PrefixHash prefix, const UpstreamId& upstream, TimePoint now);
    bool holds(PrefixHash prefix, const UpstreamId& upstream, TimePoint now) const;
    bool isHeldAnywhere(PrefixHash prefix, TimePoint now) const;
    // Drops the prefixes of an upstream that is gone or has restarted.
    void removeUpstream(const UpstreamId& upstream);
    void expire(TimePoint now);
    std::size_t size() const { return m_prefixes.size(); }

private:
    struct Copy {
        UpstreamId upstream;
        TimePoint usedAt {};
    };

    const PrefixCacheIndexOptions m_options;
    absl::flat_hash_map<PrefixHash, std::vector<Copy>> m_prefixes;
};

}
