#include "fireflyhaven/poison/crashevidence.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::poison {

namespace {

constexpr Duration ANSWERED_RETENTION { 120'000 };
// News is repeated to the other hosts for this long, because datagrams get lost.
constexpr Duration NEWS_TIME { 2000 };
// Interval at which a host repeats one of the crashes that are no news, for hosts that have missed them.
constexpr Duration REPEAT_INTERVAL { 10'000 };
// Time in an interval in which it does. Notices are sent more often than this.
constexpr Duration REPEAT_TIME { 1000 };
// Crashes within this time of each other have a common cause as likely as not, and count once.
constexpr Duration GROUP_WINDOW { 100 };
// Losses at one incarnation within this time belong to one crash.
constexpr Duration SAME_CRASH_WINDOW { 2000 };
constexpr std::size_t MAX_CRASHES = 128;
constexpr std::size_t MAX_EXPLAINED = 1024;
constexpr std::size_t MAX_SIGNS = 4096;
constexpr std::size_t MAX_CONVICTED_REQUESTS = 1024;
constexpr std::size_t MAX_PARTS_PER_CRASH = 128;
constexpr std::size_t MAX_ANSWERED_PARTS = 4096;
constexpr std::size_t MAX_CRASHES_PER_NOTICE = 32;
constexpr std::size_t MAX_CLEARANCES_PER_NOTICE = 1024;

// A part that was answered so shortly before a crash did not cause it: a deadly part is never answered.
constexpr Duration RECENT_ANSWER { 2000 };

constexpr int MIN_CRASHES = 3;
// Parts that are in all of the crashes by chance, at most, when one is convicted.
constexpr double MAX_EXPECTED_COINCIDENCES = 0.05;
// Chance that a request with an innocent part is at an upstream when it crashes. Requests that share parts go to the
// same upstreams, so that it is far above one in the number of upstreams.
constexpr double COINCIDENCE = 0.25;
// A part that was answered lately needs this many crashes more.
constexpr int EXTRA_CRASHES_IF_ANSWERED_BEFORE = 2;
// The part must explain at least this share of the crashes near its own.
constexpr double MIN_EXPLAINED_SHARE = 0.5;
// Crashes within this time of each other may have a common cause that is no part.
constexpr Duration NEIGHBOURHOOD { 10'000 };

std::uint32_t ageOf(TimePoint at, TimePoint now)
{
    return static_cast<std::uint32_t>(std::clamp<Duration::rep>((now - at).count(), 0, UINT32_MAX));
}

bool isNews(const std::optional<TimePoint>& newsAt, TimePoint now) { return newsAt && now - *newsAt < NEWS_TIME; }

// Drops the older half of the entries where there are too many. `timeOf` returns the time of an entry.
template <typename Map, typename TimeOf> void keepNewer(Map& entries, std::size_t most, TimeOf timeOf)
{
    if (entries.size() <= most)
        return;
    std::vector<TimePoint> times;
    times.reserve(entries.size());
    for (const auto& entry : entries)
        times.push_back(timeOf(entry));
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    absl::erase_if(entries, [&, oldestKept = *middle](const auto& entry) { return timeOf(entry) < oldestKept; });
}

}

int requiredCrashes(std::size_t candidates)
{
    const double crashes
        = std::log(static_cast<double>(std::max<std::size_t>(1, candidates)) / MAX_EXPECTED_COINCIDENCES)
        / std::log(1 / COINCIDENCE);
    return std::max(MIN_CRASHES, static_cast<int>(std::ceil(crashes)));
}

bool CrashEvidence::isWithdrawn(const fleet::CrashReport& report, TimePoint at) const
{
    const auto sign = m_signs.find(report.upstream);
    return sign != m_signs.end() && sign->second.startedAtMs == report.startedAtMs && sign->second.sentAt > at;
}

bool CrashEvidence::onCrash(const fleet::CrashReport& report, fleet::NoticeSource source, TimePoint now)
{
    const TimePoint at = now - Duration(report.ageMs);
    if (isWithdrawn(report, at)) {
        // The other hosts may not know that the upstream lives.
        m_signs.at(report.upstream).newsAt = now;
        return false;
    }
    if (m_explained.contains({ report.upstream, report.startedAtMs }))
        return false;
    const auto [crash, isNew] = findOrAdd(report, source, at, now);
    if (!crash)
        return false;
    bool changed = isNew;
    for (const fleet::SuspectPart& it : report.parts.items)
        changed = addSuspect(*crash, it, now) || changed;
    if (!changed)
        return false;
    crash->learnedAt = now;
    limitCrashes();
    indexSuspects();
    return true;
}

std::pair<CrashEvidence::Crash*, bool> CrashEvidence::findOrAdd(
    const fleet::CrashReport& report, fleet::NoticeSource source, TimePoint at, TimePoint now)
{
    const auto known = std::find_if(m_crashes.begin(), m_crashes.end(),
        [&](const Crash& it) { return it.upstream == report.upstream && it.startedAtMs == report.startedAtMs; });
    if (known != m_crashes.end() && at < known->at - SAME_CRASH_WINDOW)
        return { nullptr, false };
    if (known != m_crashes.end() && at < known->at + SAME_CRASH_WINDOW)
        return { &*known, false };
    // An incarnation crashes once, so that the earlier loss was no crash.
    if (known != m_crashes.end())
        m_crashes.erase(known);
    const auto later = std::find_if(m_crashes.begin(), m_crashes.end(), [at](const Crash& it) { return it.at > at; });
    const auto added = m_crashes.insert(later,
        Crash { .reporter = report.reporter,
            .upstream = report.upstream,
            .startedAtMs = report.startedAtMs,
            .at = at,
            .source = source,
            .learnedAt = now });
    return { &*added, true };
}

bool CrashEvidence::addSuspect(Crash& crash, const fleet::SuspectPart& id, TimePoint now)
{
    const auto known
        = std::find_if(crash.suspects.begin(), crash.suspects.end(), [&](const Suspect& it) { return it.id == id; });
    const auto answered = m_answered.find(id.part);
    if (answered != m_answered.end() && answered->second.source == fleet::NoticeSource::ThisHost)
        answered->second.newsAt = now;
    if (known != crash.suspects.end()) {
        if (known->clearedAt)
            announceCleared(id.part, *known->clearedAt, now);
        return false;
    }
    if (crash.suspects.size() >= MAX_PARTS_PER_CRASH)
        return false;
    const bool isCleared = answered != m_answered.end() && answered->second.at >= crash.at - RECENT_ANSWER;
    crash.suspects.push_back({ .id = id, .clearedAt = isCleared ? std::optional(answered->second.at) : std::nullopt });
    return true;
}

void CrashEvidence::limitCrashes()
{
    if (m_crashes.size() <= MAX_CRASHES)
        return;
    indexSuspects();
    // The fewer crashes share a suspect of it, the less a crash says; of equal ones the oldest goes.
    const auto weight = [this](const Crash& crash) {
        int most = 0;
        for (const Suspect& it : crash.suspects)
            most = std::max(most, it.clearedAt ? 0 : m_suspects.at(it.id.part));
        return std::min(most, 2);
    };
    m_crashes.erase(std::min_element(
        m_crashes.begin(), m_crashes.end(), [&](const Crash& a, const Crash& b) { return weight(a) < weight(b); }));
}

void CrashEvidence::indexSuspects()
{
    m_suspects.clear();
    for (const Crash& crash : m_crashes) {
        for (const Suspect& it : crash.suspects)
            m_suspects[it.id.part] += it.clearedAt ? 0 : 1;
    }
    absl::erase_if(m_suspects, [](const auto& entry) { return entry.second == 0; });
}

bool CrashEvidence::onSignOfLife(const fleet::SignOfLife& sign, fleet::NoticeSource source, TimePoint now)
{
    const TimePoint sentAt = now - Duration(sign.sentAgeMs);
    UpstreamSign& known = m_signs[sign.upstream];
    if (sign.startedAtMs < known.startedAtMs || (sign.startedAtMs == known.startedAtMs && sentAt <= known.sentAt))
        return false;
    known = { .startedAtMs = sign.startedAtMs, .sentAt = sentAt, .source = source };
    const std::size_t withdrawn = std::erase_if(m_crashes, [&](const Crash& it) {
        return it.upstream == sign.upstream && it.startedAtMs == sign.startedAtMs && it.at < sentAt;
    });
    if (withdrawn == 0)
        return false;
    known.newsAt = now;
    indexSuspects();
    return true;
}

bool CrashEvidence::onAnswered(PromptPartId part, TimePoint answeredAt, fleet::NoticeSource source, TimePoint now)
{
    const auto [it, isNew] = m_answered.try_emplace(part);
    if (!isNew && answeredAt <= it->second.at)
        return false;
    it->second.at = answeredAt;
    it->second.source = source;
    const bool clears = clearSuspect(part, answeredAt);
    if (clears)
        it->second.newsAt = now;
    if (isNew)
        keepNewer(m_answered, MAX_ANSWERED_PARTS, [](const auto& entry) { return entry.second.at; });
    return clears;
}

bool CrashEvidence::clearSuspect(PromptPartId part, TimePoint answeredAt)
{
    const auto suspect = m_suspects.find(part);
    if (suspect == m_suspects.end())
        return false;
    int cleared = 0;
    for (Crash& crash : m_crashes) {
        if (answeredAt < crash.at - RECENT_ANSWER)
            continue;
        for (Suspect& it : crash.suspects) {
            if (it.id.part != part || it.clearedAt)
                continue;
            it.clearedAt = answeredAt;
            ++cleared;
        }
    }
    if (cleared == 0)
        return false;
    suspect->second -= cleared;
    if (suspect->second == 0)
        m_suspects.erase(suspect);
    m_convictedRequests.erase(part);
    return true;
}

void CrashEvidence::announceCleared(PromptPartId part, TimePoint answeredAt, TimePoint now)
{
    const auto it = m_answered.try_emplace(part, Answered { .at = answeredAt }).first;
    it->second.newsAt = now;
}

std::optional<TimePoint> CrashEvidence::answeredAt(PromptPartId part) const
{
    const auto it = m_answered.find(part);
    return it == m_answered.end() ? std::nullopt : std::optional(it->second.at);
}

std::vector<CrashEvidence::CrashGroup> CrashEvidence::groups() const
{
    std::vector<CrashGroup> groups;
    for (const Crash& crash : m_crashes) {
        if (groups.empty() || crash.at - groups.back().firstAt >= GROUP_WINDOW)
            groups.push_back({ .firstAt = crash.at });
        CrashGroup& group = groups.back();
        group.lastAt = crash.at;
        group.upstreams.push_back({ .upstream = crash.upstream, .reporter = crash.reporter });
        for (const Suspect& it : crash.suspects) {
            if (!it.clearedAt)
                group.candidates[it.id.part] = it.id.position;
        }
    }
    for (CrashGroup& group : groups) {
        group.parts = static_cast<std::size_t>(std::count_if(group.candidates.begin(), group.candidates.end(),
            [](const auto& it) { return it.second != fleet::WHOLE_REQUEST; }));
    }
    return groups;
}

int CrashEvidence::countNear(PromptPartId part, const std::vector<CrashGroup>& groups)
{
    const auto isNearOneWithPart = [&](const CrashGroup& group) {
        return std::any_of(groups.begin(), groups.end(), [&](const CrashGroup& other) {
            return other.candidates.contains(part) && std::chrono::abs(other.firstAt - group.firstAt) <= NEIGHBOURHOOD;
        });
    };
    return static_cast<int>(std::count_if(groups.begin(), groups.end(), isNearOneWithPart));
}

std::optional<CrashEvidence::Suspicion> CrashEvidence::judge(
    PromptPartId part, const std::vector<CrashGroup>& groups, bool wasConvicted) const
{
    Suspicion suspicion { .part = part };
    std::size_t fewestCandidates = SIZE_MAX;
    for (const CrashGroup& it : groups) {
        const auto candidate = it.candidates.find(part);
        if (candidate == it.candidates.end())
            continue;
        ++suspicion.crashes;
        suspicion.position = candidate->second;
        fewestCandidates = std::min(fewestCandidates, it.parts);
    }
    suspicion.answeredBefore = m_answered.contains(part);
    // The same request at several crashes by chance is rare, however many others are in flight.
    const int required = suspicion.isWholeRequest() ? MIN_CRASHES : requiredCrashes(fewestCandidates);
    suspicion.requiredCrashes
        = wasConvicted ? 1 : required + (suspicion.answeredBefore ? EXTRA_CRASHES_IF_ANSWERED_BEFORE : 0);
    if (suspicion.crashes < suspicion.requiredCrashes)
        return std::nullopt;
    const bool explains = suspicion.crashes >= MIN_EXPLAINED_SHARE * countNear(part, groups);
    return explains && !isExplainedByRequest(suspicion, groups) ? std::optional(suspicion) : std::nullopt;
}

bool CrashEvidence::isExplainedByRequest(const Suspicion& suspicion, const std::vector<CrashGroup>& groups) const
{
    std::optional<absl::flat_hash_set<PromptPartId>> inAll;
    for (const CrashGroup& group : groups) {
        if (!group.candidates.contains(suspicion.part))
            continue;
        absl::flat_hash_set<PromptPartId> requests;
        for (const auto& [id, position] : group.candidates) {
            const bool counts = position == fleet::WHOLE_REQUEST && id != suspicion.part
                && (!suspicion.isWholeRequest() || m_convictedRequests.contains(id));
            if (counts && (!inAll || inAll->contains(id)))
                requests.insert(id);
        }
        inAll = std::move(requests);
    }
    return inAll && !inAll->empty();
}

std::optional<Culprit> CrashEvidence::findCulprit(const absl::flat_hash_set<PromptPartId>& wasConvicted) const
{
    const std::vector<CrashGroup> all = groups();
    std::vector<Suspicion> suspicions;
    for (const auto& [part, crashes] : m_suspects) {
        const bool hasEnoughCrashes = crashes >= MIN_CRASHES || wasConvicted.contains(part);
        if (!hasEnoughCrashes || m_convictedRequests.contains(part))
            continue;
        if (const auto suspicion = judge(part, all, wasConvicted.contains(part)))
            suspicions.push_back(*suspicion);
    }
    if (suspicions.empty())
        return std::nullopt;
    const auto weight = [](const Suspicion& it) { return std::pair(it.crashes, !it.answeredBefore); };
    const auto rank = [&](const Suspicion& it) { return std::tuple(weight(it), it.position, it.part.value()); };
    const auto worst = std::max_element(suspicions.begin(), suspicions.end(),
        [&](const Suspicion& a, const Suspicion& b) { return rank(a) < rank(b); });
    const bool tied = std::count_if(suspicions.begin(), suspicions.end(), [&](const Suspicion& it) {
        return weight(it) == weight(*worst);
    }) > 1;
    // One more crash may tell the two apart.
    if (tied && worst->crashes <= worst->requiredCrashes)
        return std::nullopt;
    Culprit culprit { .part = worst->part, .isWholeRequest = worst->isWholeRequest() };
    for (const CrashGroup& group : all) {
        if (!group.candidates.contains(worst->part))
            continue;
        culprit.crashes.push_back(group.upstreams.front());
        culprit.lastCrashAt = group.lastAt;
    }
    return culprit;
}

void CrashEvidence::removeExplainedBy(PromptPartId part, bool isWholeRequest, TimePoint now)
{
    if (isWholeRequest) {
        m_convictedRequests[part] = now;
        return limitConvictedRequests();
    }
    for (const Crash& crash : m_crashes) {
        const bool isExplained = std::any_of(crash.suspects.begin(), crash.suspects.end(),
            [&](const Suspect& it) { return it.id.part == part && !it.clearedAt; });
        if (isExplained)
            m_explained[{ crash.upstream, crash.startedAtMs }] = now;
    }
    std::erase_if(m_crashes, [&](const Crash& it) { return m_explained.contains({ it.upstream, it.startedAtMs }); });
    indexSuspects();
}

// While its crashes are known, a convicted request would be convicted again.
void CrashEvidence::limitConvictedRequests()
{
    if (m_convictedRequests.size() > MAX_CONVICTED_REQUESTS)
        absl::erase_if(m_convictedRequests, [this](const auto& entry) { return !m_suspects.contains(entry.first); });
}

void CrashEvidence::onExplained(const fleet::CrashReport& report, TimePoint now)
{
    m_explained[{ report.upstream, report.startedAtMs }] = now;
    std::erase_if(m_crashes,
        [&](const Crash& it) { return it.upstream == report.upstream && it.startedAtMs == report.startedAtMs; });
    indexSuspects();
}

fleet::CrashReport CrashEvidence::reportOf(const Crash& crash, TimePoint now) const
{
    fleet::CrashReport report { .reporter = crash.reporter,
        .upstream = crash.upstream,
        .startedAtMs = crash.startedAtMs,
        .ageMs = ageOf(crash.at, now) };
    for (const Suspect& it : crash.suspects) {
        if (!it.clearedAt)
            report.parts.items.push_back(it.id);
    }
    return report;
}

const CrashEvidence::Crash* CrashEvidence::crashToRepeat(TimePoint now) const
{
    const Duration uptime = std::chrono::duration_cast<Duration>(now.time_since_epoch());
    if (uptime % REPEAT_INTERVAL >= REPEAT_TIME)
        return nullptr;
    std::vector<const Crash*> known;
    for (const Crash& crash : m_crashes) {
        const bool hasSuspect = std::any_of(
            crash.suspects.begin(), crash.suspects.end(), [](const Suspect& it) { return !it.clearedAt; });
        if (hasSuspect && now - crash.learnedAt >= NEWS_TIME)
            known.push_back(&crash);
    }
    return known.empty() ? nullptr : known[static_cast<std::size_t>(uptime / REPEAT_INTERVAL) % known.size()];
}

void CrashEvidence::addNotices(fleet::PoisonNotices& notices, fleet::NoticeScope scope, TimePoint now) const
{
    if (const Crash* crash = crashToRepeat(now))
        notices.crashes.items.push_back(reportOf(*crash, now));
    for (auto it = m_crashes.rbegin(); it != m_crashes.rend(); ++it) {
        const bool told = now - it->learnedAt < NEWS_TIME && fleet::isInScope(it->source, scope);
        if (told && notices.crashes.items.size() < MAX_CRASHES_PER_NOTICE)
            notices.crashes.items.push_back(reportOf(*it, now));
    }
    for (const auto& [upstream, it] : m_signs) {
        if (isNews(it.newsAt, now) && fleet::isInScope(it.source, scope))
            notices.signsOfLife.items.push_back(
                { .upstream = upstream, .startedAtMs = it.startedAtMs, .sentAgeMs = ageOf(it.sentAt, now) });
    }
    for (const auto& [part, it] : m_answered) {
        const bool told = isNews(it.newsAt, now) && fleet::isInScope(it.source, scope);
        if (told && notices.clearances.items.size() < MAX_CLEARANCES_PER_NOTICE)
            notices.clearances.items.push_back({ .part = part, .ageMs = ageOf(it.at, now) });
    }
}

void CrashEvidence::expire(TimePoint now)
{
    absl::erase_if(m_answered, [now](const auto& entry) {
        return now - entry.second.at >= ANSWERED_RETENTION && !isNews(entry.second.newsAt, now);
    });
    keepNewer(m_explained, MAX_EXPLAINED, [](const auto& entry) { return entry.second; });
    keepNewer(m_signs, MAX_SIGNS, [](const auto& entry) { return entry.second.sentAt; });
}

}
