#include "fireflyhaven/balancing/upstreamnotices.h"

#include <algorithm>

namespace fireflyhaven::balancing {

namespace {
// Long enough that a draining upstream has exited well before its notice expires.
constexpr Duration RETENTION { 600'000 };
}

UpstreamNotices::Notice* UpstreamNotices::noticeFor(const UpstreamId& upstream, std::int64_t startedAtMs, TimePoint now)
{
    Notice& it = m_notices.try_emplace(upstream, Notice { .startedAtMs = startedAtMs }).first->second;
    if (startedAtMs < it.startedAtMs)
        return nullptr;
    if (startedAtMs > it.startedAtMs)
        it = { .startedAtMs = startedAtMs };
    it.receivedAt = now;
    return &it;
}

const UpstreamNotices::Notice* UpstreamNotices::find(const UpstreamId& upstream, std::int64_t startedAtMs) const
{
    const auto it = m_notices.find(upstream);
    return it != m_notices.end() && it->second.startedAtMs == startedAtMs ? &it->second : nullptr;
}

void UpstreamNotices::onDraining(const UpstreamId& upstream, std::int64_t startedAtMs, TimePoint now)
{
    if (Notice* it = noticeFor(upstream, startedAtMs, now))
        it->draining = true;
}

void UpstreamNotices::onBackoff(const UpstreamId& upstream, std::int64_t startedAtMs, TimePoint until, TimePoint now)
{
    if (Notice* it = noticeFor(upstream, startedAtMs, now))
        it->backedOffUntil = std::max(it->backedOffUntil, until);
}

bool UpstreamNotices::isDraining(const UpstreamId& upstream, std::int64_t startedAtMs) const
{
    const Notice* it = find(upstream, startedAtMs);
    return it && it->draining;
}

bool UpstreamNotices::isBackedOff(const UpstreamId& upstream, std::int64_t startedAtMs, TimePoint at) const
{
    const Notice* it = find(upstream, startedAtMs);
    return it && at < it->backedOffUntil;
}

void UpstreamNotices::expire(TimePoint now)
{
    absl::erase_if(m_notices, [&](const auto& entry) {
        return now - entry.second.receivedAt >= RETENTION && now >= entry.second.backedOffUntil;
    });
}

}
