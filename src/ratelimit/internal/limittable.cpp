#include "fireflyhaven/ratelimit/limittable.h"

#include <algorithm>

namespace fireflyhaven::ratelimit {

namespace {
// A limit that no answer has confirmed for this long belongs to an upstream that is gone.
constexpr Duration RETENTION { 600'000 };
// The end of a limit is repeated to the other hosts for this long.
constexpr Duration END_NOTICE_TIME { 10'000 };
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
            .answeredAt = now };
        return unchanged ? LimitChange::None : LimitChange::Named;
    }
    // An answer to a request that was sent before the limit was known may be older than the limit.
    const bool ends = known && it->second.limit && answer.sentAt >= it->second.learnedAt;
    if (!ends)
        return LimitChange::None;
    it->second = { .startedAtMs = answer.upstream.startedAtMs, .learnedAt = now, .answeredAt = now };
    return LimitChange::Ended;
}

LimitChange LimitTable::onNotice(const fleet::UpstreamLimit& notice, fleet::NoticeSource source, TimePoint now)
{
    const auto it = m_entries.find(notice.upstream);
    const bool sameIncarnation = it != m_entries.end() && it->second.startedAtMs == notice.startedAtMs;
    const TimePoint answeredAt = now - Duration(notice.ageMs);
    const bool older = it != m_entries.end()
        && (notice.startedAtMs < it->second.startedAtMs || (sameIncarnation && answeredAt <= it->second.answeredAt));
    if (older)
        return LimitChange::None;
    const std::optional<RequestRate> before = sameIncarnation ? it->second.limit : std::nullopt;
    // The end of a limit that was never known here changes nothing.
    if (!notice.limit && !before)
        return LimitChange::None;
    const bool unchanged = before == notice.limit;
    m_entries[notice.upstream] = { .startedAtMs = notice.startedAtMs,
        .limit = notice.limit,
        .source = source,
        .learnedAt = unchanged ? it->second.learnedAt : now,
        .answeredAt = answeredAt };
    if (unchanged)
        return LimitChange::None;
    return notice.limit ? LimitChange::Named : LimitChange::Ended;
}

std::vector<fleet::UpstreamLimit> LimitTable::notices(fleet::NoticeScope scope, TimePoint now) const
{
    std::vector<fleet::UpstreamLimit> found;
    for (const auto& [upstream, it] : m_entries) {
        const bool isCurrent = it.limit || now - it.answeredAt < END_NOTICE_TIME;
        if (isCurrent && fleet::isInScope(it.source, scope))
            found.push_back({ .upstream = upstream,
                .startedAtMs = it.startedAtMs,
                .limit = it.limit,
                .ageMs = static_cast<std::uint32_t>((now - it.answeredAt).count()) });
    }
    return found;
}

const LimitTable::Entry* LimitTable::find(const UpstreamIncarnation& upstream) const
{
    const auto it = m_entries.find(upstream.upstream);
    return it != m_entries.end() && it->second.startedAtMs == upstream.startedAtMs ? &it->second : nullptr;
}

std::optional<RequestRate> LimitTable::limitOf(const UpstreamIncarnation& upstream) const
{
    const Entry* it = find(upstream);
    return it ? it->limit : std::nullopt;
}

std::optional<TimePoint> LimitTable::answeredAt(const UpstreamIncarnation& upstream) const
{
    const Entry* it = find(upstream);
    return it ? std::optional(it->answeredAt) : std::nullopt;
}

std::size_t LimitTable::limitedUpstreams() const
{
    return static_cast<std::size_t>(std::count_if(
        m_entries.begin(), m_entries.end(), [](const auto& entry) { return entry.second.limit.has_value(); }));
}

void LimitTable::expire(TimePoint now)
{
    absl::erase_if(m_entries, [now](const auto& entry) { return now - entry.second.answeredAt >= RETENTION; });
}

}
