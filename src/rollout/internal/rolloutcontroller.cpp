#include "fireflyhaven/rollout/rolloutcontroller.h"

#include "fireflyhaven/telemetry/logevent.h"
#include "fireflyhaven/common/hash.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::rollout {

namespace {

// Added to the minimum duration of the trial, because hosts receive an order at different times.
constexpr Duration TRIAL_MARGIN { 400 };

double secondsOf(Duration it) { return std::chrono::duration<double>(it).count(); }

fleet::ShortHash hashOf(std::string_view text) { return static_cast<fleet::ShortHash>(stableHash(text)); }

}

RolloutController::Rollout::Rollout(const catalog::RolloutOrder& it, TimePoint now)
    : order(it)
    , receivedAt(now)
    , countedSince(now)
    , evaluator(idOf(it))
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

RolloutController::RolloutController(RolloutOptions options)
    : m_options(options)
    , m_sessions(options.sessionIdleTimeout)
{
}

void RolloutController::setOptions(const RolloutOptions& options)
{
    m_options = options;
    m_sessions.setIdleTimeout(options.sessionIdleTimeout);
}

fleet::ShortHash RolloutController::idOf(const catalog::RolloutOrder& order)
{
    return hashOf(order.service.value() + "|" + order.target.value());
}

Duration RolloutController::partOfOrder(const Rollout& it, double part)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(it.order.duration.count()) * part));
}

void RolloutController::onOrder(const catalog::RolloutOrder& order, TimePoint now)
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

void RolloutController::onWithdrawn(const ServiceName& service) { m_rollouts.erase(service); }

void RolloutController::onStatus(const catalog::RolloutStatus& status)
{
    m_statuses[status.service] = status;
    if (status.phase == catalog::RolloutPhase::RolledBack)
        reject(status.service, status.target, "the status in the store is rolled back");
    const auto it = m_rollouts.find(status.service);
    if (it == m_rollouts.end() || it->second.order.target != status.target)
        return;
    Rollout& rollout = it->second;
    rollout.writtenPhase = status.phase;
    if (status.phase != catalog::RolloutPhase::Completed)
        return;
    // The upstreams of the old version stop after completion, so that the new version has to serve all requests even if
    // it was rejected before.
    rollout.completed = true;
    rollout.rejected = false;
    m_rejected[status.service].erase(status.target);
}

void RolloutController::onStatusesLost()
{
    for (auto& [service, it] : m_rollouts)
        it.writtenPhase.reset();
}

void RolloutController::onVersionSeen(
    const ServiceName& service, const catalog::SoftwareVersion& version, TimePoint now)
{
    m_versions[service].try_emplace(version, now);
}

void RolloutController::onCapacity(const ServiceName& service, const VersionCapacity& capacity)
{
    const auto it = m_rollouts.find(service);
    if (it != m_rollouts.end()) {
        it->second.capacity = capacity;
        it->second.evaluator.setProvingLoad(provingLoadOf(it->second));
    }
}

Stage RolloutController::stage(const Rollout& it, TimePoint now) const
{
    if (it.completed)
        return Stage::Completed;
    if (it.rejected)
        return Stage::RolledBack;
    if (now - it.receivedAt < m_options.settlingTime)
        return Stage::Settling;
    if (it.sessionsMoved)
        return Stage::Replacing;
    return it.provingSince ? Stage::Proving : Stage::Trial;
}

double RolloutController::trialShare() const
{
    const double share = m_options.trialExposureFraction * m_options.exposureRatio;
    return m_manyHosts ? std::min(share, m_options.maxTrialShareManyHosts) : share;
}

double RolloutController::shareOf(const Rollout& it, Stage stage) const
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

bool RolloutController::isSelected(const Rollout& it, std::uint64_t sessionHash, double share)
{
    return unitInterval(combineHashes(sessionHash, idOf(it.order))) < share;
}

bool RolloutController::usesTarget(const Rollout& it, std::uint64_t sessionHash, TimePoint now) const
{
    const Stage current = stage(it, now);
    const auto side = m_sessions.sideOf(sessionHash, now);
    if (current == Stage::Trial && side == SessionSide::OldVersion)
        return false;
    if (current == Stage::Proving && side == SessionSide::NewVersion)
        return true;
    return isSelected(it, sessionHash, shareOf(it, current));
}

double RolloutController::provingLoadOf(const Rollout& it) const
{
    const VersionCapacity& capacity = it.capacity;
    const double utilisation = capacity.newSlots > 0 ? static_cast<double>(capacity.inFlight) / capacity.newSlots : 0;
    return std::clamp(m_options.peakLoadFactor * utilisation, m_options.minProvingLoad, m_options.maxProvingLoad);
}

bool RolloutController::usesProvingUpstream(const Rollout& it, RequestProfile profile, TimePoint now) const
{
    const VersionCapacity& capacity = it.capacity;
    const bool full = capacity.provingInFlight >= provingLoadOf(it) * capacity.provingSlots;
    if (stage(it, now) != Stage::Proving || !capacity.provingUpstream || full || profile == RequestProfile::LongPrefill)
        return false;
    if (provingRequests(it, now) >= it.maxProvingRequests || hasPassedProving(it))
        return false;
    if (!leavesMove(it, now))
        return false;
    // Short requests put little load on an upstream for their number, which counts against the exposure budget. They
    // are used only in the second half of the proving stage, where the long ones have not sufficed.
    const Duration untilMove = timeLeft(it, now) - m_options.completionMargin;
    const bool halfOver = now - *it.provingSince > untilMove;
    return profile == RequestProfile::ShortPrefillLongDecode || halfOver;
}

std::optional<catalog::SoftwareVersion> RolloutController::unorderedVersion(
    const ServiceName& service, TimePoint now) const
{
    const auto versions = m_versions.find(service);
    if (versions == m_versions.end() || versions->second.size() < 2)
        return std::nullopt;
    for (const auto& [version, seenAt] : versions->second) {
        if (now - seenAt < m_options.unorderedVersionDelay)
            return version;
    }
    return std::nullopt;
}

VersionConstraint RolloutController::constraintFor(
    const ServiceName& service, std::uint64_t sessionHash, RequestProfile profile, TimePoint now) const
{
    VersionConstraint constraint;
    const auto rejected = m_rejected.find(service);
    if (rejected != m_rejected.end())
        constraint.excludedVersions.assign(rejected->second.begin(), rejected->second.end());
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end()) {
        if (const auto version = unorderedVersion(service, now))
            constraint.excludedVersions.push_back(*version);
        return constraint;
    }
    const Rollout& it = found->second;
    if (usesProvingUpstream(it, profile, now)) {
        constraint.requiredVersion = it.order.target;
        constraint.requiredUpstream = it.capacity.provingUpstream;
    } else if (usesTarget(it, sessionHash, now)) {
        constraint.requiredVersion = it.order.target;
    } else {
        constraint.excludedVersions.push_back(it.order.target);
    }
    return constraint;
}

bool RolloutController::isRejected(const ServiceName& service, const catalog::SoftwareVersion& version) const
{
    const auto it = m_rejected.find(service);
    return it != m_rejected.end() && it->second.contains(version);
}

void RolloutController::reject(
    const ServiceName& service, const catalog::SoftwareVersion& version, std::string_view reason)
{
    if (m_rejected[service].insert(version).second)
        telemetry::logEvent(spdlog::level::warn, "version_rejected",
            { { "service", service.value() }, { "version", version.value() }, { "reason", reason } });
    const auto it = m_rollouts.find(service);
    if (it != m_rollouts.end() && it->second.order.target == version)
        it->second.rejected = true;
}

void RolloutController::onSessionUsed(
    const ServiceName& service, std::uint64_t sessionHash, const catalog::SoftwareVersion& version, TimePoint now)
{
    const auto it = m_rollouts.find(service);
    const bool onNew = it != m_rollouts.end() && it->second.order.target == version;
    m_sessions.onUsed(sessionHash, onNew ? SessionSide::NewVersion : SessionSide::OldVersion, now);
}

void RolloutController::onAnswer(const AnswerSample& answer, TimePoint now)
{
    const auto found = m_rollouts.find(answer.service);
    const fleet::ShortHash route = hashOf(answer.route.value());
    if (answer.kind != AnswerKind::Overdue)
        countAnswers(answer.service, answer.version, 1);
    if (found == m_rollouts.end() || found->second.order.target != answer.version)
        return m_baseline.add(route, answer);
    found->second.evaluator.onAnswer(route, answer, m_baseline);
    evaluate(found->second, now);
}

void RolloutController::onPeerAnswers(
    const ServiceName& service, const catalog::SoftwareVersion& version, std::uint32_t n)
{
    countAnswers(service, version, n);
}

void RolloutController::countAnswers(
    const ServiceName& service, const catalog::SoftwareVersion& version, std::uint32_t n)
{
    const auto it = m_rollouts.find(service);
    if (it != m_rollouts.end())
        it->second.exposure.onAnswers(n, it->second.order.target == version ? n : 0);
}

void RolloutController::evaluate(const Rollout& it, TimePoint now)
{
    if (it.completed || it.rejected)
        return;
    if (const auto reason = it.evaluator.failureReason(it.capacity.newUpstreams))
        return reject(it.order.service, it.order.target, *reason);
    // Response times are evaluated only during the trial. Later shifts of load between the versions make the answers of
    // a good version slow too.
    if (stage(it, now) == Stage::Trial
        && it.evaluator.timeEvidence(m_baseline).verdict == quality::LatencyVerdict::ClearlySlower)
        reject(
            it.order.service, it.order.target, "response times are significantly longer than those of the old version");
}

void RolloutController::fillReport(fleet::HostReport& report, TimePoint now) const
{
    bool anyOpen = false;
    for (const auto& entry : m_rollouts) {
        const Rollout& it = entry.second;
        report.rollouts.items.push_back({ .rollout = idOf(it.order),
            .ageMs = static_cast<std::uint32_t>((now - it.receivedAt).count()),
            .rejected = it.rejected,
            .completed = it.completed });
        const Stage current = stage(it, now);
        const bool open = current != Stage::Completed && current != Stage::RolledBack && current != Stage::Replacing;
        if (!open)
            continue;
        anyOpen = true;
        it.evaluator.fillReport(report);
        // Reports only the sessions whose version differs from the one that their hash selects.
        const auto isIncluded = [&](std::uint64_t session, SessionSide side) {
            return isSelected(it, session, it.trialShare) != (side == SessionSide::NewVersion);
        };
        m_sessions.fillReport(report, isIncluded, m_manyHosts, now);
    }
    if (anyOpen)
        m_baseline.fillReport(report);
}

RolloutController::Rollout* RolloutController::find(fleet::ShortHash id)
{
    for (auto& [service, it] : m_rollouts) {
        if (idOf(it.order) == id)
            return &it;
    }
    return nullptr;
}

void RolloutController::onReport(const fleet::HostReport& previous, const fleet::HostReport& report, TimePoint now)
{
    for (const fleet::RolloutView& view : report.rollouts.items) {
        Rollout* it = find(view.rollout);
        if (!it)
            continue;
        // The earliest time at which any host received the order counts, so that a restarted host is at the same stage
        // as the others.
        it->receivedAt = std::min(it->receivedAt, now - Duration(view.ageMs));
        if (view.rejected && !it->completed)
            reject(it->order.service, it->order.target, "host " + report.host.value() + " rejected the version");
        it->completed = it->completed || (view.completed && !it->rejected);
    }
    m_sessions.onReport(report, now);
    m_baseline.onReport(report);
    for (auto& [service, it] : m_rollouts) {
        it.evaluator.onReport(previous, report, m_baseline);
        evaluate(it, now);
    }
}

std::optional<catalog::RolloutStatus> RolloutController::statusDue(
    const ServiceName& service, int oldInFlight, TimePoint now) const
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        return std::nullopt;
    const Rollout& it = found->second;
    const auto statusUnlessWritten = [&](catalog::RolloutPhase phase) -> std::optional<catalog::RolloutStatus> {
        if (it.writtenPhase == phase)
            return std::nullopt;
        return catalog::RolloutStatus { .service = service, .target = it.order.target, .phase = phase };
    };
    const bool finished = it.writtenPhase && *it.writtenPhase != catalog::RolloutPhase::Running;
    if (finished)
        return std::nullopt;
    const Stage current = stage(it, now);
    if (current == Stage::RolledBack)
        return statusUnlessWritten(catalog::RolloutPhase::RolledBack);
    if (current == Stage::Completed)
        return statusUnlessWritten(catalog::RolloutPhase::Completed);
    const bool oldVersionIdle = oldInFlight == 0;
    const bool marginReached = timeLeft(it, now) <= m_options.completionMargin;
    if (current == Stage::Replacing && (oldVersionIdle || (marginReached && it.mayComplete)))
        return statusUnlessWritten(catalog::RolloutPhase::Completed);
    return statusUnlessWritten(catalog::RolloutPhase::Running);
}

std::optional<Stage> RolloutController::stageOf(const ServiceName& service, TimePoint now) const
{
    const auto it = m_rollouts.find(service);
    return it == m_rollouts.end() ? std::nullopt : std::optional(stage(it->second, now));
}

std::vector<ServiceName> RolloutController::services() const
{
    std::vector<ServiceName> all;
    for (const auto& [service, it] : m_rollouts)
        all.push_back(service);
    return all;
}

std::optional<catalog::SoftwareVersion> RolloutController::targetOf(const ServiceName& service) const
{
    const auto it = m_rollouts.find(service);
    return it == m_rollouts.end() ? std::nullopt : std::optional(it->second.order.target);
}

bool RolloutController::mayEndTrial(const Rollout& it, TimePoint now) const
{
    const Duration age = now - it.receivedAt;
    const bool hasCapacity
        = it.capacity.newSlots > 0 && it.capacity.newSlots >= m_options.minCapacityRatio * it.capacity.oldSlots;
    if (age < partOfOrder(it, m_options.minTrialFraction) + TRIAL_MARGIN || !hasCapacity)
        return false;
    // While the comparison of response times is inconclusive, the trial continues up to its maximum duration.
    return age >= partOfOrder(it, m_options.maxTrialFraction)
        || it.evaluator.timeEvidence(m_baseline).verdict == quality::LatencyVerdict::NotSlower;
}

// A version that still looks slow at the end of the trial is rejected, because a needless rollback costs less than
// sending all requests to a slow version.
void RolloutController::endTrial(Rollout& it, TimePoint now)
{
    if (it.evaluator.timeEvidence(m_baseline).verdict == quality::LatencyVerdict::PossiblySlower)
        reject(it.order.service, it.order.target, "slowdown not ruled out by the end of the trial");
    else
        startProving(it, now);
}

void RolloutController::startProving(Rollout& it, TimePoint now) const
{
    it.provingSince = now;
    it.answersBeforeProving = it.evaluator.totals().sum();
    it.trialAnswerRate
        = it.answersBeforeProving / std::max(1., secondsOf(now - it.receivedAt - m_options.settlingTime));
    const double expected = static_cast<double>(it.exposure.answered()) + expectedRequests(it, timeLeft(it, now));
    it.maxProvingRequests = m_options.provingSlackFraction * m_options.exposureSlack
        + m_options.provingExposureFraction * m_options.exposureRatio * expected;
}

double RolloutController::targetRequests(const Rollout& it)
{
    return it.evaluator.totals().sum() + it.capacity.provingInFlight;
}

double RolloutController::provingRequests(const Rollout& it, TimePoint now)
{
    const double trialRequests = it.answersBeforeProving + it.trialAnswerRate * secondsOf(now - *it.provingSince);
    return targetRequests(it) - trialRequests;
}

double RolloutController::remainingExposure(const Rollout& it, double slackFraction) const
{
    // A host that has started during the order has not counted what was sent before, which may have used up the slack.
    const bool isCountComplete = it.countedSince - it.receivedAt <= m_options.settlingTime;
    const double slack = isCountComplete ? slackFraction * m_options.exposureSlack : 0;
    const ExposureLimit limit { .ratio = m_options.exposureRatio, .slack = slack };
    return it.exposure.remaining(limit, it.capacity.newInFlight);
}

double RolloutController::expectedRequests(const Rollout& it, Duration time) const
{
    return it.exposure.rate() * std::max(0., secondsOf(time));
}

bool RolloutController::leavesMove(const Rollout& it, TimePoint now) const
{
    const double left = remainingExposure(it, m_options.provingSlackFraction);
    const double growth = m_options.exposureRatio * it.exposure.rate()
        * std::max(0., secondsOf(timeLeft(it, now) - m_options.completionMargin));
    return left > 0 && left + growth > expectedRequests(it, m_options.minMoveTime);
}

bool RolloutController::isMoveDue(const Rollout& it, TimePoint now) const
{
    const Duration left = timeLeft(it, now);
    return left <= m_options.completionMargin + m_options.maxDrainTime
        && costOfMove(it, left) <= std::max(0., remainingExposure(it, m_options.moveSlackFraction));
}

double RolloutController::newRequests(const Rollout& it, Duration time) const
{
    return m_options.burstFactor * expectedRequests(it, time) * (1 - m_options.exposureRatio);
}

double RolloutController::costOfMove(const Rollout& it, Duration left) const
{
    const double resumed = m_options.resumedShare * std::max(0, it.capacity.inFlight - it.capacity.newInFlight);
    return left > Duration(0) ? newRequests(it, left) + resumed : 0;
}

bool RolloutController::bearsCompletion(const Rollout& it, TimePoint now) const
{
    const Duration left = timeLeft(it, now);
    const double cutOff = m_options.cutOffShare * std::max(0, it.capacity.inFlight - it.capacity.newInFlight);
    return left <= Duration(0)
        || newRequests(it, left) + cutOff <= remainingExposure(it, m_options.completionSlackFraction);
}

bool RolloutController::hasPassedProving(const Rollout& it) const
{
    return it.provingSince && it.evaluator.underLoad(m_baseline).passes(m_options.minProvingAnswers);
}

void RolloutController::tick(TimePoint now)
{
    m_sessions.expire(now);
    for (auto& [service, it] : m_rollouts) {
        if (!it.provingSince && mayEndTrial(it, now))
            endTrial(it, now);
        it.exposure.sample(now);
        if (it.provingSince && !it.sessionsMoved && !it.rejected)
            updateProving(it, now);
        it.mayComplete = it.mayComplete || (it.sessionsMoved && bearsCompletion(it, now));
        logStageChange(it, now);
    }
}

void RolloutController::updateProving(Rollout& it, TimePoint now)
{
    const AnswersUnderLoad underLoad = it.evaluator.underLoad(m_baseline);
    const bool moveDue = isMoveDue(it, now);
    const bool verdictDue = moveDue || timeLeft(it, now) <= m_options.completionMargin;
    if (underLoad.fails() && (verdictDue || underLoad.isFailureCertain()))
        return reject(it.order.service, it.order.target, "too many failures under load");
    // Without a passed load test, a failure rate well above that of the old version is reason enough to reject.
    if (verdictDue && !hasPassedProving(it) && underLoad.isSuspect())
        return reject(it.order.service, it.order.target, "failures under load, and load test not passed in time");
    if (!moveDue)
        return;
    it.sessionsMoved = true;
}

void RolloutController::logStageChange(Rollout& it, TimePoint now) const
{
    const Stage current = stage(it, now);
    if (it.loggedStage == current)
        return;
    it.loggedStage = current;
    const AnswerTotals totals = it.evaluator.totals();
    const AnswersUnderLoad underLoad = it.evaluator.underLoad(m_baseline);
    const quality::LatencyComparison times = it.evaluator.timeEvidence(m_baseline);
    telemetry::logEvent(spdlog::level::info, "rollout_stage",
        { { "service", it.order.service.value() }, { "version", it.order.target.value() },
            { "stage", stageName(current) }, { "age_ms", (now - it.receivedAt).count() }, { "good", totals.good },
            { "failed", totals.failed }, { "good_under_load", underLoad.good },
            { "failed_under_load", underLoad.failed }, { "answered", it.exposure.answered() },
            { "in_flight", it.capacity.newInFlight },
            { "budget_left", std::floor(remainingExposure(it, m_options.moveSlackFraction)) },
            { "times_compared", times.effectiveAnswers }, { "slowdown", times.slowdown },
            { "slowdown_error", times.standardError } });
}

}
