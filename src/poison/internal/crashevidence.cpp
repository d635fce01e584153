#include "fireflyhaven/poison/crashevidence.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::poison {

namespace {

constexpr Duration CRASH_RETENTION { 30'000 };
constexpr Duration ANSWERED_RETENTION { 120'000 };
constexpr Duration SIGN_RETENTION { 30'000 };
// News is repeated to the other hosts for this long, because datagrams get lost.
constexpr Duration NEWS_TIME { 2000 };
// Crashes within this time of each other have a common cause as likely as not, and count once.
constexpr Duration GROUP_WINDOW { 100 };
// Losses of one host at one incarnation within this time belong to one crash.
constexpr Duration SAME_CRASH_WINDOW { 2000 };
constexpr std::size_t MAX_CRASHES = 128;
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
// The part must explain at least this share of the crashes since its first.
constexpr double MIN_EXPLAINED_SHARE = 0.5;

std::uint32_t ageOf(TimePoint at, TimePoint now)
{
    return static_cast<std::uint32_t>(std::clamp<Duration::rep>((now - at).count(), 0, UINT32_MAX));
}

bool isNews(const std::optional<TimePoint>& newsAt, TimePoint now) { return newsAt && now - *newsAt < NEWS_TIME; }

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
    const bool tooOld = now - at >= CRASH_RETENTION;
    if (isWithdrawn(report, at)) {
        // The other hosts may not know that the upstream lives.
        m_signs.at(report.upstream).newsAt = now;
        return false;
    }
    if (tooOld || m_explained.contains({ report.upstream, report.startedAtMs }))
        return false;
    const auto known = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash& it) {
        return it.reporter == report.reporter && it.upstream == report.upstream && it.startedAtMs == report.startedAtMs
            && std::chrono::abs(it.at - at) < SAME_CRASH_WINDOW;
    });
    Crash& crash = known != m_crashes.end() ? *known
                                            : m_crashes.emplace_back(Crash { .reporter = report.reporter,
                                                .upstream = report.upstream,
                                                .startedAtMs = report.startedAtMs,
                                                .at = at,
                                                .source = source,
                                                .learnedAt = now });
    bool changed = known == m_crashes.end();
    for (const fleet::SuspectPart& it : report.parts.items) {
        const bool isNew = std::find(crash.parts.begin(), crash.parts.end(), it) == crash.parts.end();
        if (!isNew || crash.parts.size() >= MAX_PARTS_PER_CRASH)
            continue;
        crash.parts.push_back(it);
        changed = true;
        const auto answered = m_answered.find(it.part);
        if (answered != m_answered.end() && answered->second.source == fleet::NoticeSource::ThisHost)
            answered->second.newsAt = now;
    }
    if (changed)
        crash.learnedAt = now;
    if (m_crashes.size() > MAX_CRASHES)
        m_crashes.erase(m_crashes.begin());
    return changed;
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
    if (withdrawn > 0)
        known.newsAt = now;
    return withdrawn > 0;
}

bool CrashEvidence::onAnswered(PromptPartId part, TimePoint answeredAt, fleet::NoticeSource source, TimePoint now)
{
    const auto [it, isNew] = m_answered.try_emplace(part);
    if (!isNew && answeredAt <= it->second.at)
        return false;
    const TimePoint before = std::exchange(it->second.at, answeredAt);
    it->second.source = source;
    const bool clears = std::any_of(m_crashes.begin(), m_crashes.end(), [&](const Crash& crash) {
        const bool suspects = std::any_of(
            crash.parts.begin(), crash.parts.end(), [&](const fleet::SuspectPart& s) { return s.part == part; });
        return suspects && crash.at > before && crash.at <= answeredAt;
    });
    if (clears)
        it->second.newsAt = now;
    if (isNew)
        limitAnswered();
    return clears;
}

void CrashEvidence::limitAnswered()
{
    if (m_answered.size() <= MAX_ANSWERED_PARTS)
        return;
    std::vector<TimePoint> times;
    times.reserve(m_answered.size());
    for (const auto& [part, it] : m_answered)
        times.push_back(it.at);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    absl::erase_if(m_answered, [oldestKept = *middle](const auto& entry) { return entry.second.at < oldestKept; });
}

void CrashEvidence::announceAnswered(PromptPartId part, TimePoint now)
{
    const auto it = m_answered.find(part);
    if (it != m_answered.end())
        it->second.newsAt = now;
}

std::optional<TimePoint> CrashEvidence::answeredAt(PromptPartId part) const
{
    const auto it = m_answered.find(part);
    return it == m_answered.end() ? std::nullopt : std::optional(it->second.at);
}

std::vector<CrashEvidence::CrashGroup> CrashEvidence::groups() const
{
    std::vector<const Crash*> byTime;
    for (const Crash& it : m_crashes)
        byTime.push_back(&it);
    std::sort(byTime.begin(), byTime.end(), [](const Crash* a, const Crash* b) { return a->at < b->at; });
    std::vector<CrashGroup> groups;
    for (const Crash* it : byTime) {
        const auto sameUpstream = [it](const fleet::CrashWitness& w) { return w.upstream == it->upstream; };
        const bool joins = !groups.empty()
            && (it->at - groups.back().firstAt < GROUP_WINDOW
                || std::any_of(groups.back().upstreams.begin(), groups.back().upstreams.end(), sameUpstream));
        if (!joins)
            groups.push_back({ .firstAt = it->at });
        CrashGroup& group = groups.back();
        group.lastAt = it->at;
        if (std::none_of(group.upstreams.begin(), group.upstreams.end(), sameUpstream))
            group.upstreams.push_back({ .upstream = it->upstream, .reporter = it->reporter });
        for (const fleet::SuspectPart& suspect : it->parts) {
            const auto answered = m_answered.find(suspect.part);
            if (answered == m_answered.end() || answered->second.at < it->at - RECENT_ANSWER)
                group.candidates[suspect.part] = suspect.position;
        }
    }
    for (CrashGroup& group : groups) {
        group.parts = static_cast<std::size_t>(std::count_if(group.candidates.begin(), group.candidates.end(),
            [](const auto& it) { return it.second != fleet::WHOLE_REQUEST; }));
    }
    return groups;
}

std::optional<CrashEvidence::Suspicion> CrashEvidence::judge(
    PromptPartId part, const std::vector<CrashGroup>& groups, bool wasConvicted) const
{
    Suspicion suspicion { .part = part };
    int groupsSinceFirst = 0;
    std::size_t fewestCandidates = SIZE_MAX;
    for (const CrashGroup& it : groups) {
        const auto candidate = it.candidates.find(part);
        if (candidate != it.candidates.end()) {
            ++suspicion.crashes;
            suspicion.position = candidate->second;
            fewestCandidates = std::min(fewestCandidates, it.parts);
        }
        groupsSinceFirst += suspicion.crashes > 0 ? 1 : 0;
    }
    suspicion.answeredBefore = m_answered.contains(part);
    // The same request at several crashes by chance is rare, however many others are in flight.
    const int required = suspicion.isWholeRequest() ? MIN_CRASHES : requiredCrashes(fewestCandidates);
    suspicion.requiredCrashes
        = wasConvicted ? 1 : required + (suspicion.answeredBefore ? EXTRA_CRASHES_IF_ANSWERED_BEFORE : 0);
    const bool explains = suspicion.crashes >= MIN_EXPLAINED_SHARE * groupsSinceFirst;
    const bool isConvicted
        = suspicion.crashes >= suspicion.requiredCrashes && explains && !isExplainedByRequest(suspicion, groups);
    return isConvicted ? std::optional(suspicion) : std::nullopt;
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
    absl::flat_hash_set<PromptPartId> parts;
    for (const CrashGroup& group : all) {
        for (const auto& [part, position] : group.candidates) {
            if (!m_convictedRequests.contains(part))
                parts.insert(part);
        }
    }
    std::vector<Suspicion> suspicions;
    for (const PromptPartId part : parts) {
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
        return;
    }
    for (const Crash& it : m_crashes) {
        if (std::any_of(it.parts.begin(), it.parts.end(), [&](const fleet::SuspectPart& s) { return s.part == part; }))
            m_explained[{ it.upstream, it.startedAtMs }] = now;
    }
    std::erase_if(m_crashes, [&](const Crash& it) { return m_explained.contains({ it.upstream, it.startedAtMs }); });
}

void CrashEvidence::onExplained(const fleet::CrashReport& report, TimePoint now)
{
    m_explained[{ report.upstream, report.startedAtMs }] = now;
    std::erase_if(m_crashes,
        [&](const Crash& it) { return it.upstream == report.upstream && it.startedAtMs == report.startedAtMs; });
}

void CrashEvidence::addNotices(fleet::PoisonNotices& notices, fleet::NoticeScope scope, TimePoint now) const
{
    for (auto it = m_crashes.rbegin(); it != m_crashes.rend(); ++it) {
        const bool told = now - it->learnedAt < NEWS_TIME && fleet::isInScope(it->source, scope);
        if (!told || notices.crashes.items.size() >= MAX_CRASHES_PER_NOTICE)
            continue;
        notices.crashes.items.push_back({ .reporter = it->reporter,
            .upstream = it->upstream,
            .startedAtMs = it->startedAtMs,
            .ageMs = ageOf(it->at, now),
            .parts = { it->parts } });
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
    std::erase_if(m_crashes, [now](const Crash& it) { return now - it.at >= CRASH_RETENTION; });
    absl::erase_if(m_answered, [now](const auto& entry) { return now - entry.second.at >= ANSWERED_RETENTION; });
    absl::erase_if(m_convictedRequests, [now](const auto& entry) { return now - entry.second >= CRASH_RETENTION; });
    absl::erase_if(m_explained, [now](const auto& entry) { return now - entry.second >= CRASH_RETENTION; });
    absl::erase_if(m_signs, [now](const auto& entry) { return now - entry.second.sentAt >= SIGN_RETENTION; });
}

}
