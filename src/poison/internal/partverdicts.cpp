#include "fireflyhaven/poison/partverdicts.h"

#include <algorithm>

namespace fireflyhaven::poison {

namespace {

constexpr Duration VERDICT_LIFETIME { 60'000 };
constexpr std::size_t MAX_VERDICTS = 64;
constexpr std::size_t MAX_FORMER_PARTS = 1024;

std::uint32_t ageOf(TimePoint at, TimePoint now)
{
    return static_cast<std::uint32_t>(std::clamp<Duration::rep>((now - at).count(), 0, UINT32_MAX));
}

}

Verdict verdictOf(const fleet::PartVerdict& notice, bool isWholeRequest, TimePoint now)
{
    return { .part = notice.part,
        .isWholeRequest = isWholeRequest,
        .convictedBy = notice.convictedBy,
        .lastCrashAt = now - Duration(notice.crashAgeMs),
        .lastSeenAt = now - Duration(notice.idleMs),
        .crashes = notice.crashes.items };
}

bool PartVerdicts::add(const Verdict& verdict)
{
    const auto known = m_verdicts.find(verdict.part);
    if (known != m_verdicts.end()) {
        known->second.lastCrashAt = std::max(known->second.lastCrashAt, verdict.lastCrashAt);
        known->second.lastSeenAt = std::max(known->second.lastSeenAt, verdict.lastSeenAt);
        return false;
    }
    if (m_verdicts.size() >= MAX_VERDICTS)
        m_verdicts.erase(std::min_element(m_verdicts.begin(), m_verdicts.end(),
            [](const auto& a, const auto& b) { return a.second.lastSeenAt < b.second.lastSeenAt; }));
    m_verdicts.emplace(verdict.part, verdict);
    return true;
}

const Verdict* PartVerdicts::find(const std::vector<PromptPartId>& parts, TimePoint now)
{
    if (m_verdicts.empty())
        return nullptr;
    for (const PromptPartId part : parts) {
        const auto it = m_verdicts.find(part);
        if (it == m_verdicts.end())
            continue;
        it->second.lastSeenAt = now;
        return &it->second;
    }
    return nullptr;
}

std::optional<Verdict> PartVerdicts::onAnswered(PromptPartId part, TimePoint answeredAt)
{
    m_former.erase(part);
    const auto it = m_verdicts.find(part);
    if (it == m_verdicts.end() || answeredAt <= it->second.lastCrashAt)
        return std::nullopt;
    Verdict ended = std::move(it->second);
    m_verdicts.erase(it);
    return ended;
}

std::vector<Verdict> PartVerdicts::expire(TimePoint now)
{
    std::vector<Verdict> ended;
    for (const auto& [part, it] : m_verdicts) {
        if (remaining(it, now) <= Duration(0))
            ended.push_back(it);
    }
    for (const Verdict& it : ended) {
        m_verdicts.erase(it.part);
        if (m_former.size() < MAX_FORMER_PARTS)
            m_former.insert(it.part);
    }
    return ended;
}

Duration PartVerdicts::remaining(const Verdict& verdict, TimePoint now)
{
    return verdict.lastSeenAt + VERDICT_LIFETIME - now;
}

void PartVerdicts::addNotices(fleet::PoisonNotices& notices, TimePoint now) const
{
    for (const auto& [part, it] : m_verdicts) {
        if (it.isWholeRequest)
            notices.convictedRequests.items.push_back(part);
        notices.verdicts.items.push_back({ .part = part,
            .convictedBy = it.convictedBy,
            .crashAgeMs = ageOf(it.lastCrashAt, now),
            .idleMs = ageOf(it.lastSeenAt, now),
            .crashes = { it.crashes } });
    }
}

std::vector<Verdict> PartVerdicts::all() const
{
    std::vector<Verdict> verdicts;
    for (const auto& [part, it] : m_verdicts)
        verdicts.push_back(it);
    return verdicts;
}

}
