#include "fireflyhaven/poison/poisonguard.h"

#include <algorithm>

namespace fireflyhaven::poison {

using fleet::NoticeSource;

namespace {

// The parts that other requests may share, which are all but the last, and the request as a whole.
std::vector<fleet::SuspectPart> suspectParts(const RequestSuspects& suspects)
{
    constexpr std::size_t MAX_POSITION = fleet::WHOLE_REQUEST - 1;
    std::vector<fleet::SuspectPart> found;
    for (std::size_t n = 0; n + 1 < suspects.parts.size(); ++n)
        found.push_back(
            { .part = suspects.parts[n], .position = static_cast<std::uint8_t>(std::min(n, MAX_POSITION)) });
    if (suspects.request)
        found.push_back({ .part = PromptPartId(suspects.request->value()), .position = fleet::WHOLE_REQUEST });
    return found;
}

std::vector<PromptPartId> idsOf(const std::vector<fleet::SuspectPart>& parts)
{
    std::vector<PromptPartId> ids;
    ids.reserve(parts.size());
    for (const fleet::SuspectPart& it : parts)
        ids.push_back(it.part);
    return ids;
}

}

std::optional<Refusal> PoisonGuard::refusalOf(const RequestSuspects& suspects, TimePoint now)
{
    if (m_verdicts.empty())
        return std::nullopt;
    const std::vector<PromptPartId> ids = idsOf(suspectParts(suspects));
    const Verdict* verdict = m_verdicts.find(ids, mayTry(ids, now), now);
    if (!verdict)
        return std::nullopt;
    return Refusal { .part = verdict->part,
        .isWholeRequest = verdict->isWholeRequest,
        .retryAfter = PartVerdicts::retryAfter(*verdict, now) };
}

bool PoisonGuard::mayTry(const std::vector<PromptPartId>& ids, TimePoint now) const
{
    return std::all_of(ids.begin(), ids.end(),
        [&](PromptPartId id) { return !m_verdicts.contains(id) || !m_isTrialHost || m_isTrialHost(id, now); });
}

void PoisonGuard::onSent(AttemptNumber number, const ratelimit::UpstreamIncarnation& upstream,
    const RequestSuspects& suspects, TimePoint now)
{
    const std::vector<fleet::SuspectPart> parts = suspectParts(suspects);
    m_watch.onSent(number, { .upstream = upstream, .sentAt = now, .parts = parts });
    if (m_verdicts.empty())
        return;
    for (const Verdict& it : m_verdicts.onSent(idsOf(parts), now)) {
        m_hasNews = true;
        m_events.push_back({ .change = VerdictChange::Tried, .verdict = it });
    }
}

void PoisonGuard::onAnswerBegun(AttemptNumber number, TimePoint now)
{
    const WatchedAttempt* attempt = m_watch.onAnswerBegun(number, now);
    if (!attempt)
        return;
    const fleet::SignOfLife sign { .upstream = attempt->upstream.upstream,
        .startedAtMs = attempt->upstream.startedAtMs,
        .sentAgeMs = static_cast<std::uint32_t>((now - attempt->sentAt).count()) };
    if (m_evidence.onSignOfLife(sign, NoticeSource::ThisHost, now))
        onEvidence();
}

// The report has no parts where this host has no suspect: another host may have one there.
void PoisonGuard::onConnectionLost(AttemptNumber number, const ratelimit::UpstreamIncarnation& upstream, TimePoint now)
{
    auto it = std::find_if(m_unconfirmed.begin(), m_unconfirmed.end(),
        [&](const UnconfirmedCrash& crash) { return crash.upstream == upstream; });
    if (it == m_unconfirmed.end())
        it = m_unconfirmed.insert(it, { .upstream = upstream, .at = now });
    const std::vector<WatchedAttempt> begun = m_watch.takeBegunBefore(upstream, now);
    it->suspects.insert(it->suspects.end(), begun.begin(), begun.end());
    if (const auto lost = m_watch.onConnectionLost(number, now))
        it->suspects.push_back(*lost);
}

std::vector<ratelimit::UpstreamIncarnation> PoisonGuard::takeUnconfirmedCrashes()
{
    std::vector<ratelimit::UpstreamIncarnation> upstreams;
    for (UnconfirmedCrash& it : m_unconfirmed) {
        if (!std::exchange(it.isBeingChecked, true))
            upstreams.push_back(it.upstream);
    }
    return upstreams;
}

void PoisonGuard::onCrashChecked(const ratelimit::UpstreamIncarnation& upstream, bool crashed, TimePoint now)
{
    const auto it = std::find_if(m_unconfirmed.begin(), m_unconfirmed.end(),
        [&](const UnconfirmedCrash& crash) { return crash.upstream == upstream; });
    if (it == m_unconfirmed.end())
        return;
    const UnconfirmedCrash checked = std::move(*it);
    m_unconfirmed.erase(it);
    if (crashed)
        reportCrash(upstream, checked.suspects, checked.at, now);
}

void PoisonGuard::reportCrash(const ratelimit::UpstreamIncarnation& upstream,
    const std::vector<WatchedAttempt>& suspects, TimePoint crashAt, TimePoint now)
{
    fleet::CrashReport report { .reporter = m_self,
        .upstream = upstream.upstream,
        .startedAtMs = upstream.startedAtMs,
        .ageMs = static_cast<std::uint32_t>((now - crashAt).count()) };
    for (const WatchedAttempt& it : suspects)
        report.parts.items.insert(report.parts.items.end(), it.parts.begin(), it.parts.end());
    onCrash(report, NoticeSource::ThisHost, now);
}

bool PoisonGuard::isExplained(const fleet::CrashReport& report) const
{
    return std::any_of(report.parts.items.begin(), report.parts.items.end(),
        [this](const fleet::SuspectPart& it) { return !it.isWholeRequest() && m_verdicts.contains(it.part); });
}

void PoisonGuard::onCrash(const fleet::CrashReport& report, NoticeSource source, TimePoint now)
{
    if (isExplained(report))
        return m_evidence.onExplained(report, now);
    if (m_evidence.onCrash(report, source, now))
        onEvidence();
}

void PoisonGuard::onAnswered(PromptPartId part, TimePoint answeredAt, NoticeSource source, TimePoint now)
{
    if (m_evidence.onAnswered(part, answeredAt, source, now))
        onEvidence();
    const auto ended = m_verdicts.onAnswered(part, answeredAt, now);
    if (!ended)
        return;
    m_hasNews = true;
    m_events.push_back(
        { .change = VerdictChange::Withdrawn, .verdict = { .part = part, .isWholeRequest = ended->isWholeRequest } });
}

void PoisonGuard::onEvidence()
{
    m_hasNews = true;
    m_evidenceChanged = true;
}

void PoisonGuard::onVerdict(const Verdict& verdict, VerdictChange change, TimePoint now)
{
    m_evidence.removeExplainedBy(verdict.part, verdict.isWholeRequest, now);
    if (!m_verdicts.add(verdict))
        return;
    m_hasNews = true;
    m_events.push_back({ .change = change, .verdict = verdict });
}

fleet::PoisonNotices PoisonGuard::poisonNotices(fleet::NoticeScope scope, TimePoint now) const
{
    fleet::PoisonNotices notices;
    m_evidence.addNotices(notices, scope, now);
    // In every scope, so that a restarted host learns them from whichever host it meets.
    m_verdicts.addNotices(notices, now);
    return notices;
}

void PoisonGuard::onPoisonNotices(const fleet::PoisonNotices& notices, NoticeSource source, TimePoint now)
{
    for (const fleet::SignOfLife& it : notices.signsOfLife.items) {
        if (m_evidence.onSignOfLife(it, source, now))
            onEvidence();
    }
    for (const fleet::PartClearance& it : notices.clearances.items)
        onAnswered(it.part, now - Duration(it.ageMs), source, now);
    const std::vector<PromptPartId>& requests = notices.convictedRequests.items;
    for (const fleet::PartVerdict& it : notices.verdicts.items) {
        const bool isWholeRequest = std::find(requests.begin(), requests.end(), it.part) != requests.end();
        const Verdict verdict = verdictOf(it, isWholeRequest, now);
        const auto answered = m_evidence.answeredAt(it.part);
        const bool isCleared = (answered && *answered > verdict.lastCrashAt)
            || m_verdicts.isWithdrawn(it.part, verdict.lastCrashAt, now);
        if (!isCleared)
            onVerdict(verdict, VerdictChange::Learned, now);
    }
    for (const fleet::VerdictTrials& it : notices.trials.items)
        m_hasNews = m_verdicts.onTried(it.part, it.trials, now - Duration(it.ageMs)) || m_hasNews;
    for (const fleet::CrashReport& it : notices.crashes.items) {
        const ratelimit::UpstreamIncarnation upstream { .upstream = it.upstream, .startedAtMs = it.startedAtMs };
        const TimePoint crashAt = now - Duration(it.ageMs);
        const std::vector<WatchedAttempt> suspects = m_watch.takeBegunBefore(upstream, crashAt);
        if (!suspects.empty())
            reportCrash(upstream, suspects, crashAt, now);
        onCrash(it, source, now);
    }
}

void PoisonGuard::judge(TimePoint now)
{
    if (!std::exchange(m_evidenceChanged, false))
        return;
    while (const auto culprit = m_evidence.findCulprit(m_verdicts.formerlyConvicted())) {
        const Verdict verdict { .part = culprit->part,
            .isWholeRequest = culprit->isWholeRequest,
            .convictedBy = m_self,
            .lastCrashAt = culprit->lastCrashAt,
            .lastSeenAt = now,
            .crashes = culprit->crashes };
        onVerdict(verdict, VerdictChange::Convicted, now);
    }
}

void PoisonGuard::tick(TimePoint now)
{
    for (const WatchedAttempt& attempt : m_watch.takeOutlived(now)) {
        for (const fleet::SuspectPart& it : attempt.parts)
            onAnswered(it.part, *attempt.headAt, NoticeSource::ThisHost, now);
    }
    judge(now);
    for (const Verdict& it : m_verdicts.takeDropped())
        m_events.push_back(
            { .change = VerdictChange::Dropped, .verdict = { .part = it.part, .isWholeRequest = it.isWholeRequest } });
    m_evidence.expire(now);
}

}
