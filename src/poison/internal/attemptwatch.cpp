#include "fireflyhaven/poison/attemptwatch.h"

#include <utility>

namespace fireflyhaven::poison {

namespace {

// An upstream that lives on for this long after the head of an answer is not crashed by that answer's beginning.
constexpr Duration OUTLIVED_AFTER { 300 };
// Time in which the other hosts' reports of a crash arrive.
constexpr Duration REPORT_TIME { 500 };

bool beganJustBefore(const WatchedAttempt& it, TimePoint crashAt)
{
    return it.headAt && crashAt - *it.headAt < OUTLIVED_AFTER;
}

}

void AttemptWatch::onSent(AttemptNumber number, WatchedAttempt attempt)
{
    if (!attempt.parts.empty())
        m_attempts[number] = std::move(attempt);
}

const WatchedAttempt* AttemptWatch::onAnswerBegun(AttemptNumber number, TimePoint now)
{
    const auto it = m_attempts.find(number);
    if (it == m_attempts.end())
        return nullptr;
    it->second.headAt = now;
    return &it->second;
}

void AttemptWatch::onEnded(AttemptNumber number, AttemptEnd end)
{
    const auto it = m_attempts.find(number);
    if (it == m_attempts.end())
        return;
    if (it->second.headAt)
        it->second.end = end;
    else
        m_attempts.erase(it);
}

std::optional<WatchedAttempt> AttemptWatch::onConnectionLost(AttemptNumber number, TimePoint now)
{
    const auto it = m_attempts.find(number);
    if (it == m_attempts.end())
        return std::nullopt;
    const WatchedAttempt lost = std::move(it->second);
    m_attempts.erase(it);
    return !lost.headAt || beganJustBefore(lost, now) ? std::optional(lost) : std::nullopt;
}

std::vector<WatchedAttempt> AttemptWatch::takeBegunBefore(
    const ratelimit::UpstreamIncarnation& upstream, TimePoint crashAt)
{
    std::vector<WatchedAttempt> begun;
    absl::erase_if(m_attempts, [&](auto& entry) {
        if (entry.second.upstream != upstream || !beganJustBefore(entry.second, crashAt))
            return false;
        begun.push_back(std::move(entry.second));
        return true;
    });
    return begun;
}

std::vector<WatchedAttempt> AttemptWatch::takeOutlived(TimePoint now)
{
    std::vector<WatchedAttempt> outlived;
    absl::erase_if(m_attempts, [&](auto& entry) {
        WatchedAttempt& it = entry.second;
        if (!it.headAt)
            return false;
        const bool reportsDue = now - *it.headAt >= OUTLIVED_AFTER + REPORT_TIME;
        // An open connection shows that the upstream lives; for others only the reports of other hosts do.
        const bool isOutlived
            = it.end ? *it.end == AttemptEnd::Answered && reportsDue : now - *it.headAt >= OUTLIVED_AFTER;
        if (isOutlived && !std::exchange(it.outlived, true))
            outlived.push_back(it);
        return reportsDue;
    });
    return outlived;
}

}
