#include "rolloutrun.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::rollout;
using namespace fireflyhaven::rollout::test;

Test(rollout, goodVersionCompletesBeforeDeadline)
{
    Deployment it(8);
    const Outcome outcome = runRollout(it, 8, [](Duration) { return 0.0; });
    cr_assert_not(outcome.rejectedAt.has_value());
    const TimePoint end = START + ORDER_TIME - Duration(1050);
    cr_assert(it.controller(0).stageOf(SERVICE, end) == Stage::Replacing);
    cr_assert_not(it.controller(0).statusDue(SERVICE, 3, end)->phase == RolloutPhase::Completed,
        "requests still run on the old version");
    cr_assert(it.controller(0).statusDue(SERVICE, 0, end)->phase == RolloutPhase::Completed);
    const TimePoint last = START + ORDER_TIME - Duration(1000);
    cr_assert(it.controller(0).statusDue(SERVICE, 3, last)->phase == RolloutPhase::Completed);
}

// Guards against a rollback that comes too late when a share of the new version's answers fails from the start.
Test(rollout, badVersionRolledBackWithinExposureBound)
{
    for (const double share : { 0.3, 0.5, 1.0 }) {
        Deployment it(8);
        const Outcome outcome = runRollout(it, 8, [share](Duration) { return share; });
        cr_assert(outcome.rejectedAt.has_value());
        cr_assert_lt(outcome.newVersionRequests, 0.15 * outcome.requests + 30, "share %f: %d of %d", share,
            outcome.newVersionRequests, outcome.requests);
        cr_assert_lt(outcome.badAnswers, 15, "share %f: %d bad answers", share, outcome.badAnswers);
        cr_assert(it.controller(0).statusDue(SERVICE, 0, START + ORDER_TIME)->phase == RolloutPhase::RolledBack);
    }
}

// A version that fails only once it serves all requests gives no evidence during the trial. Guards against a trial that
// uses up the part of the exposure bound that the requests after the move need.
Test(rollout, trialUsesLessThanHalfOfExposureBound)
{
    constexpr double BOUND = 0.15;
    constexpr Duration MIN_MOVE_AGE = ORDER_TIME / 2;
    Deployment it(8);
    int onNewInTrial = 0;
    int all = 0;
    it.order();
    for (TimePoint now = START; now < START + MIN_MOVE_AGE; now += Duration(25)) {
        const std::uint64_t session = it.random()() % 400;
        onNewInTrial += it.request(it.random()() % 8, session * 7919 + 1, now, Answer::Good) ? 1 : 0;
        ++all;
        if ((now - START).count() % 250 == 0)
            it.exchangeReports(now);
    }
    cr_assert(onNewInTrial > 0);
    cr_assert(2 * onNewInTrial < BOUND * all, "%d of %d", onNewInTrial, all);
}

// Guards against earlier good answers hiding that a version has started to fail.
Test(rollout, lateFailuresRollBackVersion)
{
    for (const int from : { 4000, 9000, 14'500, 16'000 }) {
        Deployment it(8);
        const Outcome outcome = runRollout(it, 8, [from](Duration age) { return age >= Duration(from) ? 0.4 : 0.0; });
        cr_assert(outcome.rejectedAt.has_value(), "bad from %d on", from);
        cr_assert_lt(*outcome.rejectedAt - START, Duration(from + 5000), "bad from %d on", from);
        cr_assert_lt(outcome.newVersionRequests, 0.15 * outcome.requests + 30, "bad from %d on: %d of %d", from,
            outcome.newVersionRequests, outcome.requests);
    }
}

Test(rollout, goodVersionRarelyRolledBack)
{
    int rejected = 0;
    for (unsigned seed = 0; seed < 40; ++seed) {
        Deployment it(8);
        it.random().seed(seed);
        rejected += runRollout(it, 8, [](Duration) { return 0.01; }).rejectedAt ? 1 : 0;
    }
    cr_assert_leq(rejected, 1);
}

Test(rollout, slowVersionRolledBackWithinExposureBound)
{
    Deployment it(8);
    const Outcome outcome = runRollout(
        it, 8, [](Duration) { return 0.5; }, Answer::Slow);
    cr_assert(outcome.rejectedAt.has_value());
    cr_assert_lt(outcome.newVersionRequests, 0.15 * outcome.requests + 30, "%d of %d", outcome.newVersionRequests,
        outcome.requests);
}

// Answers that take twice as long are not certain to be slower by the end of the trial. Guards against moving all
// requests to such a version.
Test(rollout, inconclusiveSlowdownAtTrialEndRollsBack)
{
    Deployment it(8);
    const Outcome outcome = runRollout(
        it, 8, [](Duration) { return 1.0; }, Answer::TwiceAsSlow);
    cr_assert(outcome.rejectedAt.has_value());
    cr_assert_lt(outcome.newVersionRequests, 0.15 * outcome.requests + 30, "%d of %d", outcome.newVersionRequests,
        outcome.requests);
}

// Guards against rolling back a good version because its first full load makes some answers slow.
Test(rollout, transientSlowAnswersDoNotRollBack)
{
    int rejected = 0;
    for (unsigned seed = 0; seed < 40; ++seed) {
        Deployment it(8);
        it.random().seed(seed);
        const auto slowWhileMoving
            = [](Duration age) { return age > Duration(12'000) && age < Duration(18'000) ? 0.1 : 0.02; };
        rejected += runRollout(it, 8, slowWhileMoving, Answer::Slow).rejectedAt ? 1 : 0;
    }
    cr_assert_eq(rejected, 0);
}

// One host rejects a version while another writes the status Completed. Guards against every request being refused from
// then on.
Test(rollout, completedStatusOverridesRejection)
{
    RolloutController it;
    it.onOrder({ .service = SERVICE, .target = NEW, .duration = ORDER_TIME }, START);
    it.onCapacity(SERVICE, EQUAL);
    for (int n = 0; n < 20; ++n)
        it.onAnswer(failure("u" + std::to_string(n)), START);
    cr_assert(it.stageOf(SERVICE, START + Duration(2000)) == Stage::RolledBack);
    it.onStatus({ .service = SERVICE, .target = NEW, .phase = RolloutPhase::Completed });
    const VersionConstraint constraint = it.constraintFor(SERVICE, 1, RequestProfile::LongPrefill, START);
    cr_assert(constraint.requiredVersion == NEW && constraint.excludedVersions.empty());
}

Test(rollout, singleFailingUpstreamDoesNotRollBack)
{
    RolloutController it;
    it.onOrder({ .service = SERVICE, .target = NEW, .duration = ORDER_TIME }, START);
    it.onCapacity(SERVICE, EQUAL);
    for (int n = 0; n < 20; ++n)
        it.onAnswer(failure("u1"), START);
    cr_assert(it.stageOf(SERVICE, START + Duration(2000)) == Stage::Trial);
    it.onAnswer(failure("u2"), START);
    cr_assert(it.stageOf(SERVICE, START + Duration(2000)) == Stage::RolledBack);
}

Test(rollout, activeSessionsKeepVersionDuringTrial)
{
    Deployment it(8);
    std::map<std::uint64_t, std::pair<bool, TimePoint>> last;
    int moved = 0;
    int followed = 0;
    int onNew = 0;
    for (TimePoint now = START - Duration(6000); now < START + Duration(12'000); now += Duration(20)) {
        if (now == START)
            it.order();
        if ((now - START).count() % 200 == 0)
            it.exchangeReports(now);
        const auto host = static_cast<std::size_t>(it.random()() % 8);
        const std::uint64_t session = (it.random()() % 300) * 104'729 + 3;
        bool isNew = false;
        if (now < START)
            it.controller(host).onSessionUsed(SERVICE, session, OLD, now);
        else
            isNew = it.request(host, session, now, Answer::Good);
        const auto before = last.find(session);
        if (before != last.end() && now - before->second.second < Duration(5000)) {
            ++followed;
            moved += before->second.first != isNew ? 1 : 0;
        }
        onNew += isNew ? 1 : 0;
        last[session] = { isNew, now };
    }
    cr_assert_gt(followed, 300);
    cr_assert_gt(onNew, 15);
    cr_assert_leq(moved, 3, "%d sessions moved", moved);
}

Test(rollout, restartedHostAdoptsPeerStage)
{
    RolloutController peer;
    peer.onOrder({ .service = SERVICE, .target = NEW, .duration = ORDER_TIME }, START);
    for (int n = 0; n < 30; ++n) {
        for (const SoftwareVersion& version : { OLD, NEW }) {
            peer.onAnswer({ .service = SERVICE,
                              .route = ROUTE,
                              .version = version,
                              .upstream = UpstreamId("u"),
                              .time = quality::LatencySample {} },
                START);
        }
    }
    RolloutController restarted;
    const TimePoint now = START + Duration(15'000);
    restarted.onOrder({ .service = SERVICE, .target = NEW, .duration = ORDER_TIME }, now);
    restarted.onCapacity(SERVICE, EQUAL);
    cr_assert(restarted.stageOf(SERVICE, now) == Stage::Settling);
    fleet::HostReport report;
    peer.fillReport(report, now);
    restarted.onReport({}, report, now);
    restarted.tick(now);
    cr_assert(restarted.stageOf(SERVICE, now) == Stage::Proving);
}

Test(rollout, storedRollbackAppliesAfterHostStart)
{
    RolloutController it;
    it.onStatus({ .service = SERVICE, .target = NEW, .phase = RolloutPhase::RolledBack });
    it.onOrder({ .service = SERVICE, .target = NEW, .duration = ORDER_TIME }, START);
    cr_assert(excludes(it.constraintFor(SERVICE, 1, RequestProfile::LongPrefill, START), NEW));
    cr_assert_not(it.statusDue(SERVICE, 0, START).has_value());
    it.onWithdrawn(SERVICE);
    cr_assert(excludes(it.constraintFor(SERVICE, 1, RequestProfile::LongPrefill, START), NEW),
        "upstreams of the rejected version are still registered");
}

// A second order replaces one whose version was rolled back. Guards against requests going to the rolled back version
// again.
Test(rollout, rejectedVersionStaysExcludedAfterNewOrder)
{
    RolloutController it;
    it.onOrder({ .service = SERVICE, .target = NEW, .duration = ORDER_TIME }, START);
    it.onStatus({ .service = SERVICE, .target = NEW, .phase = RolloutPhase::RolledBack });
    const SoftwareVersion third("v3");
    it.onOrder({ .service = SERVICE, .target = third, .duration = ORDER_TIME }, START + Duration(5000));
    const TimePoint now = START + Duration(8000);
    for (std::uint64_t session = 0; session < 200; ++session) {
        const VersionConstraint constraint
            = it.constraintFor(SERVICE, session * 7919, RequestProfile::LongPrefill, now);
        cr_assert(constraint.requiredVersion == third || (excludes(constraint, NEW) && excludes(constraint, third)));
    }
}

Test(rollout, unorderedVersionExcludedDuringDelay)
{
    RolloutController it;
    it.onVersionSeen(SERVICE, OLD, START);
    cr_assert(it.constraintFor(SERVICE, 1, RequestProfile::LongPrefill, START).excludedVersions.empty(),
        "the only version is used without delay");
    it.onVersionSeen(SERVICE, NEW, START + Duration(10'000));
    cr_assert(excludes(it.constraintFor(SERVICE, 1, RequestProfile::LongPrefill, START + Duration(10'500)), NEW));
    cr_assert(
        it.constraintFor(SERVICE, 1, RequestProfile::LongPrefill, START + Duration(14'000)).excludedVersions.empty());
}

Test(rollout, sessionsWaitForTargetCapacity)
{
    RolloutController it;
    it.onOrder({ .service = SERVICE, .target = NEW, .duration = ORDER_TIME }, START);
    it.onCapacity(SERVICE, { .newSlots = 16, .oldSlots = 64, .newUpstreams = 1 });
    const TimePoint late = START + ORDER_TIME - Duration(1300);
    it.tick(late);
    cr_assert(it.stageOf(SERVICE, late) == Stage::Trial);
    it.onCapacity(SERVICE, EQUAL);
    it.tick(late + Duration(100));
    it.tick(late + Duration(150));
    cr_assert(it.stageOf(SERVICE, late + Duration(150)) == Stage::Replacing);
    it.onCapacity(SERVICE, { .newSlots = 16, .oldSlots = 64, .newUpstreams = 1 });
    it.tick(late + Duration(200));
    cr_assert(it.stageOf(SERVICE, late + Duration(200)) == Stage::Replacing, "sessions do not move back");
}
