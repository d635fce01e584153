#include "fireflyhaven/poison/partverdicts.h"

#include <algorithm>
#include <iterator>

namespace fireflyhaven::poison {

namespace {

// Times after the last crash, and after each trial, until the next trial. A deadly part crashes an upstream in each.
constexpr Duration TRIAL_DELAYS[] { Duration(60'000), Duration(600'000) };
constexpr int MAX_TRIALS = std::size(TRIAL_DELAYS);
// What a caller is told at the most; it may have left the part out by then.
constexpr Duration MAX_RETRY_AFTER { 60'000 };
constexpr Duration MIN_RETRY_AFTER { 1000 };
// News is repeated to the other hosts for this long, because datagrams get lost.
constexpr Duration NEWS_TIME { 2000 };
constexpr std::size_t MAX_VERDICTS = 64;
constexpr std::size_t MAX_FORMER_PARTS = 1024;
constexpr std::size_t MAX_WITHDRAWN_PARTS = 1024;
// Verdicts in one notice. Those without recent requests take turns.
constexpr std::size_t MAX_VERDICTS_PER_NOTICE = 16;
constexpr Duration RECENT_REQUEST { 60'000 };
constexpr Duration TURN { 500 };

// No value where the verdict is not put to the test any more.
std::optional<TimePoint> nextTrialAt(const Verdict& verdict)
{
    if (verdict.trials >= MAX_TRIALS)
        return std::nullopt;
    return std::max(verdict.lastCrashAt, verdict.triedAt) + TRIAL_DELAYS[verdict.trials];
}

bool isTrialDue(const Verdict& verdict, TimePoint now)
{
    const auto at = nextTrialAt(verdict);
    return at && now >= *at;
}

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
        dropLeastRecentlySeen();
    m_verdicts.emplace(verdict.part, verdict);
    m_former.erase(verdict.part);
    return true;
}

void PartVerdicts::dropLeastRecentlySeen()
{
    const auto least = std::min_element(m_verdicts.begin(), m_verdicts.end(),
        [](const auto& a, const auto& b) { return a.second.lastSeenAt < b.second.lastSeenAt; });
    if (m_former.size() < MAX_FORMER_PARTS)
        m_former.insert(least->first);
    m_dropped.push_back(std::move(least->second));
    m_verdicts.erase(least);
}

const Verdict* PartVerdicts::find(const std::vector<PromptPartId>& parts, bool mayTry, TimePoint now)
{
    const Verdict* found = nullptr;
    for (const PromptPartId part : parts) {
        const auto it = m_verdicts.find(part);
        if (it == m_verdicts.end())
            continue;
        it->second.lastSeenAt = now;
        if (!found && !(mayTry && isTrialDue(it->second, now)))
            found = &it->second;
    }
    return found;
}

std::vector<Verdict> PartVerdicts::onSent(const std::vector<PromptPartId>& parts, TimePoint now)
{
    std::vector<Verdict> tried;
    for (const PromptPartId part : parts) {
        const auto it = m_verdicts.find(part);
        if (it == m_verdicts.end())
            continue;
        ++it->second.trials;
        it->second.triedAt = now;
        tried.push_back(it->second);
    }
    return tried;
}

bool PartVerdicts::onTried(PromptPartId part, int trials, TimePoint triedAt)
{
    const auto it = m_verdicts.find(part);
    if (it == m_verdicts.end() || trials <= it->second.trials)
        return false;
    it->second.trials = trials;
    it->second.triedAt = triedAt;
    return true;
}

std::optional<Verdict> PartVerdicts::onAnswered(PromptPartId part, TimePoint answeredAt, TimePoint now)
{
    m_former.erase(part);
    const auto it = m_verdicts.find(part);
    if (it == m_verdicts.end() || answeredAt <= it->second.lastCrashAt)
        return std::nullopt;
    Verdict ended = std::move(it->second);
    m_verdicts.erase(it);
    if (m_withdrawn.size() >= MAX_WITHDRAWN_PARTS)
        m_withdrawn.erase(std::min_element(m_withdrawn.begin(), m_withdrawn.end(),
            [](const auto& a, const auto& b) { return a.second.answeredAt < b.second.answeredAt; }));
    m_withdrawn[part] = { .answeredAt = answeredAt, .newsAt = now };
    return ended;
}

bool PartVerdicts::isWithdrawn(PromptPartId part, TimePoint lastCrashAt, TimePoint now)
{
    const auto it = m_withdrawn.find(part);
    if (it == m_withdrawn.end() || it->second.answeredAt <= lastCrashAt)
        return false;
    it->second.newsAt = now;
    return true;
}

Duration PartVerdicts::retryAfter(const Verdict& verdict, TimePoint now)
{
    const auto trialAt = nextTrialAt(verdict);
    return trialAt ? std::clamp(*trialAt - now, MIN_RETRY_AFTER, MAX_RETRY_AFTER) : MAX_RETRY_AFTER;
}

void PartVerdicts::addNotices(fleet::PoisonNotices& notices, TimePoint now) const
{
    std::vector<const Verdict*> told;
    std::vector<const Verdict*> quiet;
    for (const auto& [part, it] : m_verdicts)
        (now - it.lastSeenAt < RECENT_REQUEST ? told : quiet).push_back(&it);
    const auto turn = static_cast<std::size_t>(std::chrono::duration_cast<Duration>(now.time_since_epoch()) / TURN);
    for (std::size_t n = 0; n < quiet.size() && told.size() < MAX_VERDICTS_PER_NOTICE; ++n)
        told.push_back(quiet[(turn * MAX_VERDICTS_PER_NOTICE + n) % quiet.size()]);
    for (const Verdict* it : told) {
        if (it->isWholeRequest)
            notices.convictedRequests.items.push_back(it->part);
        if (it->trials > 0)
            notices.trials.items.push_back({ .part = it->part,
                .trials = static_cast<std::uint8_t>(it->trials),
                .ageMs = ageOf(it->triedAt, now) });
        notices.verdicts.items.push_back({ .part = it->part,
            .convictedBy = it->convictedBy,
            .crashAgeMs = ageOf(it->lastCrashAt, now),
            .idleMs = ageOf(it->lastSeenAt, now),
            .crashes = { it->crashes } });
    }
    for (const auto& [part, it] : m_withdrawn) {
        if (now - it.newsAt < NEWS_TIME)
            notices.clearances.items.push_back({ .part = part, .ageMs = ageOf(it.answeredAt, now) });
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
