#include "fireflyhaven/rollout/rolloutboard.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>
#include <bit>

namespace fireflyhaven::rollout {

namespace {

// Answers of the old version that are taken for granted before any are seen: good ones, nearly all.
constexpr double PRIOR_ANSWERS = 20;
constexpr double PRIOR_GOOD_SHARE = 0.99;
// A version with this share of good answers is good enough, however well the old one does.
constexpr double GOOD_ENOUGH = 0.97;
// Part of their weight that answers of the old version keep with each later one.
constexpr double OLD_ANSWER_KEPT = 0.995;
constexpr int BITMAP_BITS = 32;
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
        reject(status.service, status.target);
    const auto it = m_rollouts.find(status.service);
    if (it == m_rollouts.end() || it->second.order.target != status.target)
        return;
    Rollout& rollout = it->second;
    rollout.written = status.phase;
    rollout.completed = rollout.completed || status.phase == catalog::RolloutPhase::Completed;
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

void RolloutBoard::reject(const ServiceName& service, const catalog::SoftwareVersion& version)
{
    m_rejected[service].insert(version);
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

void RolloutBoard::onAnswer(const ServiceName& service, const catalog::RouteName& route,
    const catalog::SoftwareVersion& version, const UpstreamId& upstream, bool good, TimePoint)
{
    const auto found = m_rollouts.find(service);
    const fleet::ShortHash routeHash = hashOf(route.value());
    if (found == m_rollouts.end() || found->second.order.target != version) {
        auto& [goodOnes, all] = m_oldAnswers[routeHash];
        goodOnes = goodOnes * OLD_ANSWER_KEPT + (good ? 1 : 0);
        all = all * OLD_ANSWER_KEPT + 1;
        return;
    }
    Rollout& it = found->second;
    Counts& counts = it.own[routeHash];
    ++(good ? counts.good : counts.bad);
    const std::uint32_t bit = good ? 0 : 1U << (hashOf(upstream.value()) % BITMAP_BITS);
    counts.badUpstreams |= bit;
    judge(it, routeHash, good ? 1 : 0, good ? 0 : 1, bit);
}

double RolloutBoard::goodShareOfOld(fleet::ShortHash route) const
{
    const auto it = m_oldAnswers.find(route);
    const double good = it == m_oldAnswers.end() ? 0 : it->second.first;
    const double all = it == m_oldAnswers.end() ? 0 : it->second.second;
    return std::min(GOOD_ENOUGH, (good + PRIOR_ANSWERS * PRIOR_GOOD_SHARE) / (all + PRIOR_ANSWERS));
}

void RolloutBoard::judge(
    Rollout& it, fleet::ShortHash route, std::uint32_t good, std::uint32_t bad, std::uint32_t badUpstreams)
{
    it.badUpstreams |= badUpstreams;
    const bool evident = m_detector.onRatings(ratingKey(it.order, route), good, bad, goodShareOfOld(route));
    // One failing upstream among several tells of that upstream, not of the version.
    const bool onSeveral = std::popcount(it.badUpstreams) > 1 || it.capacity.newUpstreams < 2;
    if (evident && onSeveral && !it.completed)
        reject(it.order.service, it.order.target);
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
                .bad = counts.bad,
                .badUpstreams = counts.badUpstreams });
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
            reject(it->order.service, it->order.target);
        it->completed = it->completed || (view.completed && !it->rejected);
    }
    for (const fleet::PinnedSession& it : report.pinnedSessions.items) {
        SessionUse& use = m_sessions[it.session];
        const TimePoint usedAt = now - Duration(it.ageMs);
        if (usedAt > use.usedAt)
            use = { .usedAt = usedAt, .onNewVersion = false };
    }
    takeTrials(before, report);
}

void RolloutBoard::takeTrials(const fleet::HostReport& before, const fleet::HostReport& report)
{
    for (const fleet::TrialCounters& counters : report.trials.items) {
        Rollout* it = find(counters.rollout);
        if (!it)
            continue;
        fleet::TrialCounters last;
        for (const fleet::TrialCounters& earlier : before.trials.items) {
            if (earlier.rollout == counters.rollout && earlier.route == counters.route)
                last = earlier;
        }
        judge(*it, counters.route, counters.good - std::min(last.good, counters.good),
            counters.bad - std::min(last.bad, counters.bad), counters.badUpstreams);
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
        const double trialMs = static_cast<double>(it.order.duration.count()) * m_options.trialPart;
        const Duration trialEnd = Duration(static_cast<Duration::rep>(trialMs)) + m_options.settling;
        const bool enough
            = it.capacity.newSlots > 0 && it.capacity.newSlots >= m_options.leastCapacity * it.capacity.oldSlots;
        if (!it.movingSince && now - it.learnedAt >= trialEnd && enough)
            it.movingSince = now;
    }
}

}
