#include "fireflyhaven/balancing/upstreamnotices.h"

#include <algorithm>

namespace fireflyhaven::balancing {

namespace {
// A host that leaves is gone long before.
constexpr Duration KEPT_FOR { 600'000 };
}

UpstreamNotices::Notice* UpstreamNotices::noticeOf(const UpstreamId& upstream, std::int64_t bornMs, TimePoint now)
{
    Notice& it = m_notices.try_emplace(upstream, Notice { .bornMs = bornMs }).first->second;
    if (bornMs < it.bornMs)
        return nullptr;
    if (bornMs > it.bornMs)
        it = { .bornMs = bornMs };
    it.heardAt = now;
    return &it;
}

const UpstreamNotices::Notice* UpstreamNotices::find(const UpstreamId& upstream, std::int64_t bornMs) const
{
    const auto it = m_notices.find(upstream);
    return it != m_notices.end() && it->second.bornMs == bornMs ? &it->second : nullptr;
}

void UpstreamNotices::onLeaving(const UpstreamId& upstream, std::int64_t bornMs, TimePoint now)
{
    if (Notice* it = noticeOf(upstream, bornMs, now))
        it->leaving = true;
}

void UpstreamNotices::onBackoff(const UpstreamId& upstream, std::int64_t bornMs, TimePoint until, TimePoint now)
{
    if (Notice* it = noticeOf(upstream, bornMs, now))
        it->backedOffUntil = std::max(it->backedOffUntil, until);
}

bool UpstreamNotices::isLeaving(const UpstreamId& upstream, std::int64_t bornMs) const
{
    const Notice* it = find(upstream, bornMs);
    return it && it->leaving;
}

bool UpstreamNotices::isBackedOff(const UpstreamId& upstream, std::int64_t bornMs, TimePoint at) const
{
    const Notice* it = find(upstream, bornMs);
    return it && at < it->backedOffUntil;
}

void UpstreamNotices::expire(TimePoint now)
{
    absl::erase_if(m_notices, [&](const auto& entry) {
        return now - entry.second.heardAt >= KEPT_FOR && now >= entry.second.backedOffUntil;
    });
}

}
