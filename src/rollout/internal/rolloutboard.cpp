#include "fireflyhaven/rollout/rolloutboard.h"

#include "fireflyhaven/telemetry/logevent.h"
#include "fireflyhaven/common/hash.h"

#include <algorithm>

namespace fireflyhaven::rollout {

namespace {

// Hosts learn of an order at different moments.
constexpr Duration TRIAL_MARGIN { 400 };

double secondsOf(Duration it) { return std::chrono::duration<double>(it).count(); }

fleet::ShortHash hashOf(std::string_view text) { return static_cast<fleet::ShortHash>(stableHash(text)); }

}

RolloutBoard::Rollout::Rollout(const catalog::RolloutOrder& it, TimePoint now)
    : order(it)
    , learnedAt(now)
    , judge(idOf(it))
{
}

const char* stageName(Stage stage)
{
    switch (stage) {
    case Stage::Settling:
        return "settling";
    case Stage::Trial:
        return "trial";
    case Stage::Proving:
        return "proving";
    case Stage::Replacing:
        return "replacing";
    case Stage::Completed:
        return "completed";
    case Stage::RolledBack:
        return "rolled_back";
    }
    return "";
}

RolloutBoard::RolloutBoard(RolloutOptions options)
    : m_options(options)
    , m_sessions(options.session)
{
}

void RolloutBoard::setOptions(const RolloutOptions& options)
{
    m_options = options;
    m_sessions.setLifetime(options.session);
}

fleet::ShortHash RolloutBoard::idOf(const catalog::RolloutOrder& order)
{
    return hashOf(order.service.value() + "|" + order.target.value());
}

Duration RolloutBoard::partOfOrder(const Rollout& it, double part)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(it.order.duration.count()) * part));
}

void RolloutBoard::onOrder(const catalog::RolloutOrder& order, TimePoint now)
{
    const auto known = m_rollouts.find(order.service);
    if (known != m_rollouts.end() && known->second.order.target == order.target)
        return;
    Rollout it(order, now);
    it.trialShare = trialShare();
    it.rejected = isRejected(order.service, order.target);
    m_rollouts.insert_or_assign(order.service, std::move(it));
    const auto status = m_statuses.find(order.service);
    if (status != m_statuses.end())
        onStatus(catalog::RolloutStatus(status->second));
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
    if (it != m_rollouts.end()) {
        it->second.capacity = capacity;
        it->second.judge.setLoad(provingLoadOf(it->second));
    }
}

Stage RolloutBoard::stage(const Rollout& it, TimePoint now) const
{
    if (it.completed)
        return Stage::Completed;
    if (it.rejected)
        return Stage::RolledBack;
    if (now - it.learnedAt < m_options.settling)
        return Stage::Settling;
    if (it.moved)
        return Stage::Replacing;
    return it.provingSince ? Stage::Proving : Stage::Trial;
}

double RolloutBoard::trialShare() const
{
    const double share = m_options.trialPartOfExposure * m_options.exposureRatio;
    return m_manyHosts ? std::min(share, m_options.mostTrialShareOfMany) : share;
}

double RolloutBoard::shareOf(const Rollout& it, Stage stage) const
{
    switch (stage) {
    case Stage::Settling:
    case Stage::RolledBack:
        return 0;
    case Stage::Trial:
    case Stage::Proving:
        return it.trialShare;
    case Stage::Replacing:
    case Stage::Completed:
        return 1;
    }
    return 0;
}

bool RolloutBoard::isInRange(const Rollout& it, std::uint64_t sessionHash, double share)
{
    return unitInterval(combineHashes(sessionHash, idOf(it.order))) < share;
}

bool RolloutBoard::targetServes(const Rollout& it, std::uint64_t sessionHash, TimePoint now) const
{
    const Stage current = stage(it, now);
    const auto side = m_sessions.sideOf(sessionHash, now);
    if (current == Stage::Trial && side == SessionSide::OldVersion)
        return false;
    if (current == Stage::Proving && side == SessionSide::NewVersion)
        return true;
    return isInRange(it, sessionHash, shareOf(it, current));
}

double RolloutBoard::provingLoadOf(const Rollout& it) const
{
    const VersionCapacity& capacity = it.capacity;
    const double whole = capacity.newSlots > 0 ? static_cast<double>(capacity.inFlight) / capacity.newSlots : 0;
    return std::clamp(m_options.peakFactor * whole, m_options.provingLoad, m_options.mostProvingLoad);
}

bool RolloutBoard::mayProve(const Rollout& it, RequestWeight weight, TimePoint now) const
{
    const VersionCapacity& capacity = it.capacity;
    const bool full = capacity.provingInFlight >= provingLoadOf(it) * capacity.provingSlots;
    if (stage(it, now) != Stage::Proving || !capacity.provingUpstream || full || weight == RequestWeight::Heavy)
        return false;
    if (requestsInProof(it, now) >= it.mostRequestsInProof || isProved(it))
        return false;
    // Short requests are many for the load that they make: they help only where the long ones do not suffice.
    const TimePoint end = it.learnedAt + moveAge(it);
    const bool halfOver = now - *it.provingSince > end - now;
    return weight == RequestWeight::QuickAndLong || halfOver;
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

VersionWish RolloutBoard::wishFor(
    const ServiceName& service, std::uint64_t sessionHash, RequestWeight weight, TimePoint now) const
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
    const Rollout& it = found->second;
    if (mayProve(it, weight, now)) {
        wish.only = it.order.target;
        wish.upstream = it.capacity.provingUpstream;
    } else if (targetServes(it, sessionHash, now)) {
        wish.only = it.order.target;
    } else {
        wish.except.push_back(it.order.target);
    }
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
        telemetry::logEvent(spdlog::level::warn, "version_rejected",
            { { "service", service.value() }, { "version", version.value() }, { "reason", reason } });
    const auto it = m_rollouts.find(service);
    if (it != m_rollouts.end() && it->second.order.target == version)
        it->second.rejected = true;
}

void RolloutBoard::onSessionUsed(
    const ServiceName& service, std::uint64_t sessionHash, const catalog::SoftwareVersion& version, TimePoint now)
{
    const auto it = m_rollouts.find(service);
    const bool onNew = it != m_rollouts.end() && it->second.order.target == version;
    m_sessions.onUsed(sessionHash, onNew ? SessionSide::NewVersion : SessionSide::OldVersion, now);
}

void RolloutBoard::onAnswer(const AnswerSample& answer, TimePoint now)
{
    const auto found = m_rollouts.find(answer.service);
    const fleet::ShortHash route = hashOf(answer.route.value());
    if (found == m_rollouts.end() || found->second.order.target != answer.version)
        return m_oldAnswers.add(route, answer);
    found->second.judge.onAnswer(route, answer, m_oldAnswers);
    judge(found->second, now);
}

void RolloutBoard::judge(const Rollout& it, TimePoint now)
{
    if (it.completed || it.rejected)
        return;
    if (const auto reason = it.judge.failures(it.capacity.newUpstreams))
        return reject(it.order.service, it.order.target, *reason);
    // Times are compared while both versions serve: a load that moves makes answers slow on a good version too.
    if (stage(it, now) == Stage::Trial
        && it.judge.times(m_oldAnswers).verdict == quality::LatencyVerdict::ClearlySlower)
        reject(it.order.service, it.order.target, "its answers take far longer than those of the old version");
}

void RolloutBoard::fillReport(fleet::HostReport& report, TimePoint now) const
{
    bool anyOpen = false;
    for (const auto& entry : m_rollouts) {
        const Rollout& it = entry.second;
        report.rollouts.items.push_back({ .rollout = idOf(it.order),
            .ageMs = static_cast<std::uint32_t>((now - it.learnedAt).count()),
            .rejected = it.rejected,
            .completed = it.completed });
        const Stage current = stage(it, now);
        const bool open = current != Stage::Completed && current != Stage::RolledBack && current != Stage::Replacing;
        if (!open)
            continue;
        anyOpen = true;
        it.judge.fillReport(report);
        // Told are the sessions that are elsewhere than their hash says.
        const auto isTold = [&](std::uint64_t session, SessionSide side) {
            return isInRange(it, session, it.trialShare) != (side == SessionSide::NewVersion);
        };
        m_sessions.fillReport(report, isTold, m_manyHosts, now);
    }
    if (anyOpen)
        m_oldAnswers.fillReport(report);
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
    m_sessions.onReport(report, now);
    m_oldAnswers.onReport(report);
    for (auto& [service, it] : m_rollouts) {
        it.judge.onReport(before, report, m_oldAnswers);
        judge(it, now);
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

bool RolloutBoard::mayEndTrial(const Rollout& it, TimePoint now) const
{
    const Duration age = now - it.learnedAt;
    const bool enough
        = it.capacity.newSlots > 0 && it.capacity.newSlots >= m_options.leastCapacity * it.capacity.oldSlots;
    if (age < partOfOrder(it, m_options.trialPart) + TRIAL_MARGIN || !enough)
        return false;
    // A version that looks slow stays on trial until that is certain, or time runs out.
    return age >= partOfOrder(it, m_options.longestTrialPart)
        || it.judge.times(m_oldAnswers).verdict == quality::LatencyVerdict::NotSlower;
}

// Where time runs out on a version that looks slow, taking it back costs less than giving it all requests.
void RolloutBoard::endTrial(Rollout& it, TimePoint now)
{
    if (it.judge.times(m_oldAnswers).verdict == quality::LatencyVerdict::PossiblySlower)
        reject(it.order.service, it.order.target, "it still looked slow when its trial had to end");
    else
        beginProof(it, now);
}

void RolloutBoard::beginProof(Rollout& it, TimePoint now) const
{
    it.provingSince = now;
    it.answersBeforeProof = it.judge.totals().sum();
    it.trialRate = it.answersBeforeProof / std::max(1., secondsOf(now - it.learnedAt - m_options.settling));
    const double expected = serviceRate(it) * secondsOf(it.order.duration);
    it.mostRequestsInProof
        = m_options.exposureSlack + m_options.proofPartOfExposure * m_options.exposureRatio * expected;
}

double RolloutBoard::requestsOf(const Rollout& it) { return it.judge.totals().sum() + it.capacity.provingInFlight; }

double RolloutBoard::requestsInProof(const Rollout& it, TimePoint now)
{
    const double ofTrial = it.answersBeforeProof + it.trialRate * secondsOf(now - *it.provingSince);
    return requestsOf(it) - ofTrial;
}

Duration RolloutBoard::moveAge(const Rollout& it) const
{
    const Duration most = m_options.lastMoment + m_options.mostDrain;
    const double rate = serviceRate(it);
    if (rate <= 0)
        return it.order.duration - most;
    // The slack stays for what the rate, known from a few sessions, is wrong by.
    const double bound = m_options.exposureRatio * rate * secondsOf(it.order.duration);
    const double rest = std::max(0., bound - requestsOf(it)) * m_options.movePartOfRest;
    const auto allowed = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(rest / rate));
    return it.order.duration - std::clamp(allowed, m_options.lastMoment, most);
}

bool RolloutBoard::isProved(const Rollout& it) const
{
    return it.provingSince && it.judge.underLoad(m_oldAnswers).prove(m_options.provingAnswers);
}

void RolloutBoard::tick(TimePoint now)
{
    m_sessions.expire(now);
    for (auto& [service, it] : m_rollouts) {
        if (!it.provingSince && mayEndTrial(it, now))
            endTrial(it, now);
        if (it.provingSince && !it.moved && !it.rejected)
            endProof(it, now);
        noteStage(it, now);
    }
}

void RolloutBoard::endProof(Rollout& it, TimePoint now)
{
    const LoadedAnswers underLoad = it.judge.underLoad(m_oldAnswers);
    const bool over = now - it.learnedAt >= moveAge(it);
    if (underLoad.disprove() && (over || underLoad.isCertain()))
        return reject(it.order.service, it.order.target, "it fails under load");
    if (!over)
        return;
    // Without a proof, more failures than the old version has speak against it.
    if (!isProved(it) && underLoad.isSuspect())
        return reject(it.order.service, it.order.target, "it failed under load and was not proved in time");
    it.moved = true;
}

void RolloutBoard::noteStage(Rollout& it, TimePoint now) const
{
    const Stage current = stage(it, now);
    if (it.notedStage == current)
        return;
    it.notedStage = current;
    const AnswerTotals totals = it.judge.totals();
    const LoadedAnswers underLoad = it.judge.underLoad(m_oldAnswers);
    const quality::LatencyComparison times = it.judge.times(m_oldAnswers);
    telemetry::logEvent(spdlog::level::info, "rollout_stage",
        { { "service", it.order.service.value() }, { "version", it.order.target.value() },
            { "stage", stageName(current) }, { "age_ms", (now - it.learnedAt).count() }, { "good", totals.good },
            { "failed", totals.failed }, { "good_under_load", underLoad.good },
            { "failed_under_load", underLoad.failed }, { "times_compared", times.effectiveAnswers },
            { "slowdown", times.slowdown }, { "slowdown_error", times.standardError } });
}

}
