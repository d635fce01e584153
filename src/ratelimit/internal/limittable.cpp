#include "fireflyhaven/ratelimit/limittable.h"

#include <algorithm>

namespace fireflyhaven::ratelimit {

namespace {
// A limit that no answer has confirmed for this long belongs to an upstream that is gone.
constexpr Duration RETENTION { 600'000 };
}

UpstreamIncarnation incarnationOf(const UpstreamId& upstream, std::int64_t startedAtMs)
{
    return { .upstream = fleet::shortHashOf(upstream), .startedAtMs = startedAtMs };
}

LimitChange LimitTable::onAnswer(const LimitAnswer& answer, TimePoint now)
{
    const auto it = m_entries.find(answer.upstream.upstream);
    const bool known = it != m_entries.end() && it->second.startedAtMs == answer.upstream.startedAtMs;
    const bool fromEarlierIncarnation = it != m_entries.end() && answer.upstream.startedAtMs < it->second.startedAtMs;
    if (fromEarlierIncarnation)
        return LimitChange::None;
    if (answer.limit) {
        const bool unchanged = known && it->second.limit == answer.limit;
        m_entries[answer.upstream.upstream] = { .startedAtMs = answer.upstream.startedAtMs,
            .limit = answer.limit,
            .learnedAt = unchanged ? it->second.learnedAt : now,
            .renewedAt = now };
        return unchanged ? LimitChange::None : LimitChange::Named;
    }
    // An answer to a request that was sent before the limit was known may be older than the limit.
    const bool ends = known && it->second.limit && answer.sentAt >= it->second.learnedAt;
    if (!ends)
        return LimitChange::None;
    it->second = { .startedAtMs = answer.upstream.startedAtMs, .learnedAt = now, .renewedAt = now };
    return LimitChange::Ended;
}

std::optional<RequestRate> LimitTable::limitOf(const UpstreamIncarnation& upstream) const
{
    const auto it = m_entries.find(upstream.upstream);
    if (it == m_entries.end() || it->second.startedAtMs != upstream.startedAtMs)
        return std::nullopt;
    return it->second.limit;
}

std::size_t LimitTable::limitedUpstreams() const
{
    return static_cast<std::size_t>(std::count_if(
        m_entries.begin(), m_entries.end(), [](const auto& entry) { return entry.second.limit.has_value(); }));
}

void LimitTable::expire(TimePoint now)
{
    absl::erase_if(m_entries, [now](const auto& entry) { return now - entry.second.renewedAt >= RETENTION; });
}

}
