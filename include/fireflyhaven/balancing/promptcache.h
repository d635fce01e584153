#pragma once

#include "fireflyhaven/balancing/types/demand.h"
#include "fireflyhaven/common/clock.h"

#include <absl/container/flat_hash_map.h>

namespace fireflyhaven::balancing {

// Hash of a model and a prompt's parts up to one of them: what an upstream may have in its cache.
using PrefixHash = std::uint64_t;

// Prefixes of a prompt that other requests may share: all parts but the last, each with the tokens up to its end.
struct SharedPrefix {
    PrefixHash hash = 0;
    std::uint32_t tokens = 0;
};
std::vector<SharedPrefix> sharedPrefixes(const catalog::ModelName& model, const std::vector<PromptPart>& parts);

struct PromptCacheOptions {
    // A prefix that was not used for this long counts as lost.
    Duration lifetime { 20'000 };
};

// Remembers which upstreams have read which prefixes lately. Does no I/O.
class PromptCache {
public:
    explicit PromptCache(PromptCacheOptions options = {});

    void onRead(PrefixHash prefix, const UpstreamId& upstream, TimePoint now);
    bool holds(PrefixHash prefix, const UpstreamId& upstream, TimePoint now) const;
    // Whether any upstream holds it.
    bool isKnown(PrefixHash prefix, TimePoint now) const;
    // The upstream started anew or is gone.
    void forget(const UpstreamId& upstream);
    void expire(TimePoint now);
    std::size_t size() const { return m_prefixes.size(); }

private:
    struct Copy {
        UpstreamId upstream;
        TimePoint usedAt {};
    };

    const PromptCacheOptions m_options;
    absl::flat_hash_map<PrefixHash, std::vector<Copy>> m_prefixes;
};

}
