#include "fireflyhaven/balancing/prefixcacheindex.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>

namespace fireflyhaven::balancing {

std::vector<SharedPrefix> sharedPrefixes(const catalog::ModelName& model, const std::vector<PromptPart>& parts)
{
    std::vector<SharedPrefix> prefixes;
    SharedPrefix it { .hash = stableHash(model.value()) };
    for (std::size_t n = 0; n + 1 < parts.size(); ++n) {
        it.hash = combineHashes(it.hash, parts[n].id.value());
        it.tokens += parts[n].tokens;
        prefixes.push_back(it);
    }
    return prefixes;
}

PrefixCacheIndex::PrefixCacheIndex(PrefixCacheIndexOptions options)
    : m_options(options)
{
}

void PrefixCacheIndex::onPrefill(PrefixHash prefix, const UpstreamId& upstream, TimePoint now)
{
    std::vector<Copy>& copies = m_prefixes[prefix];
    const auto it = std::find_if(copies.begin(), copies.end(), [&](const Copy& c) { return c.upstream == upstream; });
    if (it != copies.end())
        it->usedAt = now;
    else
        copies.push_back({ .upstream = upstream, .usedAt = now });
}

bool PrefixCacheIndex::holds(PrefixHash prefix, const UpstreamId& upstream, TimePoint now) const
{
    const auto it = m_prefixes.find(prefix);
    if (it == m_prefixes.end())
        return false;
    return std::any_of(it->second.begin(), it->second.end(),
        [&](const Copy& c) { return c.upstream == upstream && now - c.usedAt < m_options.lifetime; });
}

bool PrefixCacheIndex::isHeldAnywhere(PrefixHash prefix, TimePoint now) const
{
    const auto it = m_prefixes.find(prefix);
    if (it == m_prefixes.end())
        return false;
    return std::any_of(
        it->second.begin(), it->second.end(), [&](const Copy& c) { return now - c.usedAt < m_options.lifetime; });
}

void PrefixCacheIndex::removeUpstream(const UpstreamId& upstream)
{
    for (auto& [prefix, copies] : m_prefixes)
        std::erase_if(copies, [&](const Copy& c) { return c.upstream == upstream; });
}

void PrefixCacheIndex::expire(TimePoint now)
{
    absl::erase_if(m_prefixes, [&](auto& entry) {
        std::erase_if(entry.second, [&](const Copy& c) { return now - c.usedAt >= m_options.lifetime; });
        return entry.second.empty();
    });
}

}
