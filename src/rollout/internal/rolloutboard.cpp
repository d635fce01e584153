#include "fireflyhaven/rollout/rolloutboard.h"

#include "fireflyhaven/common/hash.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <bit>

namespace fireflyhaven::rollout {

namespace {

// Answers of the old version that are taken for granted before any are seen: good ones, nearly all.
constexpr double PRIOR_ANSWERS = 20;
constexpr double PRIOR_GOOD_SHARE = 0.99;
// A version with this share of good answers is good enough, however well the old one does.
constexpr double GOOD_ENOUGH = 0.97;
// Times of the old version's last answers that are compared with.
constexpr float OLD_TIMES_KEPT = 400;
// Part of their weight that answers of the old version keep with each later one.
constexpr double OLD_ANSWER_KEPT = 0.995;
constexpr int BITMAP_BITS = 32;
// Hosts learn of an order at different moments.
constexpr Duration TRIAL_MARGIN { 400 };
// Sessions that one report tells of.
constexpr std::size_t MAX_PINNED_SESSIONS = 64;

fleet::ShortHash hashOf(std::string_view text) { return static_cast<fleet::ShortHash>(stableHash(text)); }

// The detector keeps evidence by version and kind of request.
quality::RatingKey ratingKey(const catalog::RolloutOrder& order, fleet::ShortHash route)
{
    return { .task = TaskName(std::to_string(route)),
        .version = { .model = order.service.value(), .version = order.target.value() } };
}

}

RolloutBoard::RolloutBoard(RolloutOptions options)
    : m_options(options)
{
}

fleet::ShortHash RolloutBoard::idOf(const catalog::RolloutOrder& order)
{
    return hashOf(order.service.value() + "|" + order.target.value());
}

void RolloutBoard::onOrder(const catalog::RolloutOrder& order, TimePoint now)
{
    const auto known = m_rollouts.find(order.service);
    if (known != m_rollouts.end() && known->second.order.target == order.target)
        return;
    Rollout it { .order = order, .learnedAt = now };
    it.rejected = isRejected(order.service, order.target);
    const auto status = m_statuses.find(order.service);
    m_rollouts[order.service] = std::move(it);
    if (status != m_statuses.end())
        onStatus(status->second);
}

void RolloutBoard::onWithdrawn(const ServiceName& service) { m_rollouts.erase(service); }

void RolloutBoard::onStatus(const catalog::RolloutStatus& status)
{
    m_statuses[status.service] = status;
    if (status.phase == catalog::RolloutPhase::RolledBack)
        reject(status.service, status.target, "the store says that it was rolled back");
    const auto it = m_rollouts.find(status.service);
    if (it == m_rollouts.end() || it->second.order.target != status.target)
        return;
    Rollout& rollout = it->second;
    rollout.written = status.phase;
    if (status.phase != catalog::RolloutPhase::Completed)
        return;
    // The old version's upstreams stop now: whatever speaks against the new one, there is no other.
    rollout.completed = true;
    rollout.rejected = false;
    m_rejected[status.service].erase(status.target);
}

void RolloutBoard::onVersionSeen(const ServiceName& service, const catalog::SoftwareVersion& version, TimePoint now)
{
    m_versions[service].try_emplace(version, now);
}

void RolloutBoard::onCapacity(const ServiceName& service, const VersionCapacity& capacity)
{
    const auto it = m_rollouts.find(service);
    if (it != m_rollouts.end())
        it->second.capacity = capacity;
}

Stage RolloutBoard::stage(const Rollout& it, TimePoint now) const
{
    if (it.completed)
        return Stage::Completed;
    if (it.rejected)
        return Stage::RolledBack;
    if (now - it.learnedAt < m_options.settling)
        return Stage::Settling;
    if (!it.movingSince)
        return Stage::Trial;
    return now - *it.movingSince < m_options.widening ? Stage::Widening : Stage::Replacing;
}

bool RolloutBoard::isInRange(const Rollout& it, std::uint64_t sessionHash, double share)
{
    return unitInterval(combineHashes(sessionHash, idOf(it.order))) < share;
}

bool RolloutBoard::isOnOldVersion(std::uint64_t sessionHash, TimePoint now) const
{
    const auto it = m_sessions.find(sessionHash);
    return it != m_sessions.end() && !it->second.onNewVersion && now - it->second.usedAt < m_options.session;
}

std::optional<catalog::SoftwareVersion> RolloutBoard::unexplainedVersion(
    const ServiceName& service, TimePoint now) const
{
    const auto versions = m_versions.find(service);
    if (versions == m_versions.end() || versions->second.size() < 2)
        return std::nullopt;
    for (const auto& [version, seenAt] : versions->second) {
        if (now - seenAt < m_options.unexplainedVersion)
            return version;
    }
    return std::nullopt;
}

bool RolloutBoard::targetServes(const Rollout& it, std::uint64_t sessionHash, TimePoint now) const
{
    switch (stage(it, now)) {
    case Stage::Settling:
    case Stage::RolledBack:
        return false;
    case Stage::Trial:
        return !isOnOldVersion(sessionHash, now) && isInRange(it, sessionHash, m_options.trialShare);
    case Stage::Widening:
        return isInRange(it, sessionHash, m_options.wideningShare);
    case Stage::Replacing:
    case Stage::Completed:
        return true;
    }
    return false;
}

VersionWish RolloutBoard::wishFor(const ServiceName& service, std::uint64_t sessionHash, TimePoint now) const
{
    VersionWish wish;
    const auto rejected = m_rejected.find(service);
    if (rejected != m_rejected.end())
        wish.except.assign(rejected->second.begin(), rejected->second.end());
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end()) {
        if (const auto version = unexplainedVersion(service, now))
            wish.except.push_back(*version);
        return wish;
    }
    if (targetServes(found->second, sessionHash, now))
        wish.only = found->second.order.target;
    else
        wish.except.push_back(found->second.order.target);
    return wish;
}

bool RolloutBoard::isRejected(const ServiceName& service, const catalog::SoftwareVersion& version) const
{
    const auto it = m_rejected.find(service);
    return it != m_rejected.end() && it->second.contains(version);
}

void RolloutBoard::reject(const ServiceName& service, const catalog::SoftwareVersion& version, std::string_view reason)
{
    if (m_rejected[service].insert(version).second)
        spdlog::warn("version {} of {} is taken for bad: {}", version.value(), service.value(), reason);
    const auto it = m_rollouts.find(service);
    if (it != m_rollouts.end() && it->second.order.target == version)
        it->second.rejected = true;
}

void RolloutBoard::onSessionUsed(
    const ServiceName& service, std::uint64_t sessionHash, const catalog::SoftwareVersion& version, TimePoint now)
{
    const auto rollout = m_rollouts.find(service);
    const bool onNew = rollout != m_rollouts.end() && rollout->second.order.target == version;
    m_sessions[sessionHash] = { .usedAt = now, .onNewVersion = onNew };
}

void RolloutBoard::onAnswer(const AnswerSample& answer, TimePoint now)
{
    const auto found = m_rollouts.find(answer.service);
    const fleet::ShortHash route = hashOf(answer.route.value());
    if (found == m_rollouts.end() || found->second.order.target != answer.version) {
        OldAnswers& old = m_oldAnswers[route];
        old.good = old.good * OLD_ANSWER_KEPT + (answer.failed ? 0 : 1);
        old.all = old.all * OLD_ANSWER_KEPT + 1;
        if (answer.timeFactor)
            old.times.add(*answer.timeFactor);
        old.times.fade(OLD_TIMES_KEPT);
        return;
    }
    Rollout& it = found->second;
    Counts news { .good = answer.failed ? 0U : 1U, .failed = answer.failed ? 1U : 0U };
    if (answer.failed)
        news.badUpstreams = 1U << (hashOf(answer.upstream.value()) % BITMAP_BITS);
    Counts& counts = it.own[route];
    counts.good += news.good;
    counts.failed += news.failed;
    counts.badUpstreams |= news.badUpstreams;
    judgeFailures(it, route, news);
    if (!answer.timeFactor)
        return;
    counts.times.add(*answer.timeFactor);
    judgeTimes(it, now);
}

double RolloutBoard::goodShareOfOld(fleet::ShortHash route) const
{
    const auto it = m_oldAnswers.find(route);
    const OldAnswers old = it == m_oldAnswers.end() ? OldAnswers {} : it->second;
    return std::min(GOOD_ENOUGH, (old.good + PRIOR_ANSWERS * PRIOR_GOOD_SHARE) / (old.all + PRIOR_ANSWERS));
}

void RolloutBoard::judgeFailures(Rollout& it, fleet::ShortHash route, const Counts& news)
{
    it.badUpstreams |= news.badUpstreams;
    const quality::RatingKey key = ratingKey(it.order, route);
    const bool fails = m_failureDetector.onRatings(key, news.good, news.failed, goodShareOfOld(route));
    // One failing upstream among several tells of that upstream, not of the version.
    const bool onSeveral = std::popcount(it.badUpstreams) > 1 || it.capacity.newUpstreams < 2;
    if (!fails || !onSeveral || it.completed)
        return;
    reject(it.order.service, it.order.target,
        fmt::format("failures on route {:x}, evidence {:.1f}, {} of its upstreams", route,
            m_failureDetector.evidence(key), std::popcount(it.badUpstreams)));
}

quality::TimeVerdict RolloutBoard::compareTimes(const Rollout& it) const
{
    std::vector<quality::TimeComparison> kinds;
    for (const auto& [route, old] : m_oldAnswers) {
        quality::TimeComparison kind { .newer = {}, .older = old.times };
        const auto own = it.own.find(route);
        if (own != it.own.end())
            kind.newer += own->second.times;
        for (const auto& [host, byRoute] : it.timesOfOthers) {
            const auto others = byRoute.find(route);
            if (others != byRoute.end())
                kind.newer += others->second;
        }
        kinds.push_back(kind);
    }
    return quality::compareTimes(kinds);
}

// Times are compared while both versions serve: a load that moves makes answers slow on a good version too.
void RolloutBoard::judgeTimes(const Rollout& it, TimePoint now)
{
    if (stage(it, now) == Stage::Trial && compareTimes(it) == quality::TimeVerdict::ClearlySlower)
        reject(it.order.service, it.order.target, "its answers take far longer than those of the old version");
}

void RolloutBoard::fillReport(fleet::HostReport& report, TimePoint now) const
{
    for (const auto& [service, it] : m_rollouts) {
        report.rollouts.items.push_back({ .rollout = idOf(it.order),
            .ageMs = static_cast<std::uint32_t>((now - it.learnedAt).count()),
            .rejected = it.rejected,
            .completed = it.completed });
        const bool onTrial = !it.rejected && !it.completed;
        if (!onTrial)
            continue;
        for (const auto& [route, counts] : it.own) {
            report.trials.items.push_back({ .rollout = idOf(it.order),
                .route = route,
                .good = counts.good,
                .failed = counts.failed,
                .badUpstreams = counts.badUpstreams,
                .times = counts.times });
        }
        for (const auto& [session, use] : m_sessions) {
            const bool tell = !use.onNewVersion && now - use.usedAt < m_options.session
                && isInRange(it, session, m_options.trialShare);
            if (tell && report.pinnedSessions.items.size() < MAX_PINNED_SESSIONS)
                report.pinnedSessions.items.push_back(
                    { .session = session, .ageMs = static_cast<std::uint32_t>((now - use.usedAt).count()) });
        }
    }
}

RolloutBoard::Rollout* RolloutBoard::find(fleet::ShortHash id)
{
    for (auto& [service, it] : m_rollouts) {
        if (idOf(it.order) == id)
            return &it;
    }
    return nullptr;
}

void RolloutBoard::onReport(const fleet::HostReport& before, const fleet::HostReport& report, TimePoint now)
{
    for (const fleet::RolloutView& view : report.rollouts.items) {
        Rollout* it = find(view.rollout);
        if (!it)
            continue;
        // The host that learned of the order first sets the pace, so that a host that started anew keeps step.
        it->learnedAt = std::min(it->learnedAt, now - Duration(view.ageMs));
        if (view.rejected && !it->completed)
            reject(it->order.service, it->order.target, "host " + report.host.value() + " says so");
        it->completed = it->completed || (view.completed && !it->rejected);
    }
    for (const fleet::PinnedSession& it : report.pinnedSessions.items) {
        SessionUse& use = m_sessions[it.session];
        const TimePoint usedAt = now - Duration(it.ageMs);
        if (usedAt > use.usedAt)
            use = { .usedAt = usedAt, .onNewVersion = false };
    }
    takeTrials(before, report, now);
}

void RolloutBoard::takeTrials(const fleet::HostReport& before, const fleet::HostReport& report, TimePoint now)
{
    const auto increase = [](std::uint32_t earlier, std::uint32_t later) { return later - std::min(earlier, later); };
    for (const fleet::TrialCounters& counters : report.trials.items) {
        Rollout* it = find(counters.rollout);
        if (!it)
            continue;
        fleet::TrialCounters last;
        for (const fleet::TrialCounters& earlier : before.trials.items) {
            if (earlier.rollout == counters.rollout && earlier.route == counters.route)
                last = earlier;
        }
        judgeFailures(*it, counters.route,
            { .good = increase(last.good, counters.good),
                .failed = increase(last.failed, counters.failed),
                .badUpstreams = counters.badUpstreams });
        it->timesOfOthers[report.host][counters.route] = counters.times;
        judgeTimes(*it, now);
    }
}

std::optional<catalog::RolloutStatus> RolloutBoard::statusDue(
    const ServiceName& service, int oldInFlight, TimePoint now) const
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        return std::nullopt;
    const Rollout& it = found->second;
    const auto statusOf = [&](catalog::RolloutPhase phase) -> std::optional<catalog::RolloutStatus> {
        if (it.written == phase)
            return std::nullopt;
        return catalog::RolloutStatus { .service = service, .target = it.order.target, .phase = phase };
    };
    const bool finished = it.written && *it.written != catalog::RolloutPhase::Running;
    if (finished)
        return std::nullopt;
    const Stage current = stage(it, now);
    if (current == Stage::RolledBack)
        return statusOf(catalog::RolloutPhase::RolledBack);
    if (current == Stage::Completed)
        return statusOf(catalog::RolloutPhase::Completed);
    const bool oldIsIdle = oldInFlight == 0;
    const bool lastMoment = now - it.learnedAt >= it.order.duration - m_options.lastMoment;
    if (current == Stage::Replacing && (oldIsIdle || lastMoment))
        return statusOf(catalog::RolloutPhase::Completed);
    return statusOf(catalog::RolloutPhase::Running);
}

std::optional<Stage> RolloutBoard::stageOf(const ServiceName& service, TimePoint now) const
{
    const auto it = m_rollouts.find(service);
    return it == m_rollouts.end() ? std::nullopt : std::optional(stage(it->second, now));
}

std::vector<ServiceName> RolloutBoard::services() const
{
    std::vector<ServiceName> all;
    for (const auto& [service, it] : m_rollouts)
        all.push_back(service);
    return all;
}

std::optional<catalog::SoftwareVersion> RolloutBoard::targetOf(const ServiceName& service) const
{
    const auto it = m_rollouts.find(service);
    return it == m_rollouts.end() ? std::nullopt : std::optional(it->second.order.target);
}

void RolloutBoard::tick(TimePoint now)
{
    absl::erase_if(m_sessions, [&](const auto& entry) { return now - entry.second.usedAt >= m_options.session; });
    for (auto& [service, it] : m_rollouts) {
        if (!it.movingSince && mayMove(it, now))
            it.movingSince = now;
    }
}

bool RolloutBoard::mayMove(const Rollout& it, TimePoint now) const
{
    const auto partOfOrder = [&](double part) {
        return Duration(static_cast<Duration::rep>(static_cast<double>(it.order.duration.count()) * part));
    };
    const Duration age = now - it.learnedAt;
    const bool enough
        = it.capacity.newSlots > 0 && it.capacity.newSlots >= m_options.leastCapacity * it.capacity.oldSlots;
    if (age < partOfOrder(m_options.trialPart) + TRIAL_MARGIN || !enough)
        return false;
    // A version that looks slow stays on trial until that is certain, or time runs out.
    return age >= partOfOrder(m_options.longestTrialPart) || compareTimes(it) == quality::TimeVerdict::Alike;
}

}
