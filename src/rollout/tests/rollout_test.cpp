#include "fireflyhaven/rollout/rolloutcontroller.h"

#include <random>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::rollout;
using catalog::RolloutPhase;
using catalog::SoftwareVersion;

namespace {

constexpr TimePoint START { Duration(100'000) };
constexpr Duration ORDER_TIME { 24'000 };
const ServiceName SERVICE("s");
const SoftwareVersion OLD("v1");
const SoftwareVersion NEW("v2");
const catalog::RouteName ROUTE("r");
const VersionCapacity EQUAL { .newSlots = 64, .oldSlots = 64, .newUpstreams = 4 };

bool excludes(const VersionConstraint& constraint, const SoftwareVersion& version)
{
    return std::find(constraint.excludedVersions.begin(), constraint.excludedVersions.end(), version)
        != constraint.excludedVersions.end();
}

enum class Answer { Good, TwiceAsSlow, Slow, Failed };

double slowdownOf(Answer answer)
{
    if (answer == Answer::TwiceAsSlow)
        return 2;
    return answer == Answer::Slow ? 8 : 1;
}

AnswerSample failure(const std::string& upstream)
{
    return {
        .service = SERVICE, .route = ROUTE, .version = NEW, .upstream = UpstreamId(upstream), .kind = AnswerKind::Failed
    };
}

// Several hosts that exchange reports, and one service whose new version may be bad.
class Deployment {
public:
    explicit Deployment(int hosts, std::uint64_t seed = 11)
        : m_controllers(static_cast<std::size_t>(hosts))
        , m_reports(static_cast<std::size_t>(hosts))
        , m_uncounted(static_cast<std::size_t>(hosts))
        , m_random(seed)
    {
    }

    void order()
    {
        for (RolloutController& it : m_controllers) {
            it.onOrder({ .service = SERVICE, .target = NEW, .duration = ORDER_TIME }, START);
            it.onCapacity(SERVICE, EQUAL);
        }
    }

    // The host forgets everything, and receives the order again.
    void restart(std::size_t n, TimePoint now)
    {
        m_controllers[n] = RolloutController();
        m_controllers[n].onOrder({ .service = SERVICE, .target = NEW, .duration = ORDER_TIME }, now);
        m_controllers[n].onCapacity(SERVICE, EQUAL);
    }

    RolloutController& controller(std::size_t n) { return m_controllers[n]; }

    // Sends one request of the session through the host; returns whether it went to the new version.
    bool request(std::size_t host, std::uint64_t session, TimePoint now, Answer onNewVersion)
    {
        RolloutController& it = m_controllers[host];
        const VersionConstraint constraint = it.constraintFor(SERVICE, session, RequestProfile::LongPrefill, now);
        const bool onNew = constraint.requiredVersion == NEW;
        const SoftwareVersion version = onNew ? NEW : OLD;
        const UpstreamId upstream("u" + std::to_string(m_random() % 4));
        it.onSessionUsed(SERVICE, session, version, now);
        onAnswered(host, version);
        // Response times vary at random between half and twice the expected time.
        const double timeRatio = std::exp2(static_cast<double>(m_random() % 200) / 100 - 1);
        const bool bad = onNew && onNewVersion != Answer::Good;
        it.onAnswer(
            { .service = SERVICE,
                .route = ROUTE,
                .version = version,
                .upstream = upstream,
                .kind = bad && onNewVersion == Answer::Failed ? AnswerKind::Failed : AnswerKind::Good,
                .time = quality::LatencySample { .ratio = timeRatio * (onNew ? slowdownOf(onNewVersion) : 1) } },
            now);
        return onNew;
    }

    // The host has received an answer of the version, which its next report tells the others.
    void onAnswered(std::size_t host, const SoftwareVersion& version) { ++m_uncounted[host][version]; }

    void exchangeReports(TimePoint now)
    {
        for (std::size_t from = 0; from < m_controllers.size(); ++from) {
            fleet::HostReport report { .host = HostId(std::to_string(from)) };
            m_controllers[from].fillReport(report, now);
            for (std::size_t to = 0; to < m_controllers.size(); ++to) {
                if (to == from)
                    continue;
                m_controllers[to].onReport(m_reports[from], report, now);
                for (const auto& [version, n] : m_uncounted[from])
                    m_controllers[to].onPeerAnswers(SERVICE, version, n);
            }
            m_uncounted[from].clear();
            m_reports[from] = report;
        }
        for (RolloutController& it : m_controllers)
            it.tick(now);
    }

    std::mt19937_64& random() { return m_random; }

private:
    std::vector<RolloutController> m_controllers;
    std::vector<fleet::HostReport> m_reports;
    std::vector<std::map<SoftwareVersion, std::uint32_t>> m_uncounted;
    std::mt19937_64 m_random;
};

struct Outcome {
    int requests = 0;
    int newVersionRequests = 0;
    int badAnswers = 0;
    int afterFiftyBad = 0;
    std::optional<TimePoint> rejectedAt;
};

// Sends 40 requests per second through random hosts for the duration of the order. The share of the new version's
// answers that are `badAnswer` is `badShare` of the order's age.
template <typename BadShare>
Outcome runRollout(Deployment& it, int hosts, BadShare badShare, Answer badAnswer = Answer::Failed)
{
    Outcome outcome;
    it.order();
    for (TimePoint now = START; now < START + ORDER_TIME; now += Duration(25)) {
        const auto host = static_cast<std::size_t>(it.random()() % static_cast<unsigned>(hosts));
        const std::uint64_t session = it.random()() % 400;
        const double share = badShare(now - START);
        const bool good = static_cast<double>(it.random()() % 1000) >= share * 1000;
        const bool onNew = it.request(host, session * 7919 + 1, now, good ? Answer::Good : badAnswer);
        ++outcome.requests;
        outcome.newVersionRequests += onNew ? 1 : 0;
        outcome.badAnswers += onNew && !good ? 1 : 0;
        if ((now - START).count() % 250 == 0)
            it.exchangeReports(now);
        if (!outcome.rejectedAt && it.controller(0).stageOf(SERVICE, now) == Stage::RolledBack)
            outcome.rejectedAt = now;
    }
    return outcome;
}

}

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
// requests to such a version. Seen in scenario slow-version-and-grey-upstreams of Urna Viva.
Test(rollout, inconclusiveSlowdownAtTrialEndRollsBack)
{
    Deployment it(8);
    const Outcome outcome = runRollout(
        it, 8, [](Duration) { return 1.0; }, Answer::TwiceAsSlow);
    cr_assert(outcome.rejectedAt.has_value());
    cr_assert_lt(outcome.newVersionRequests, 0.15 * outcome.requests + 30, "%d of %d", outcome.newVersionRequests,
        outcome.requests);
}

// Guards against rolling back a good version because its first full load makes some answers slow. Evaluating response
// times after the trial caused this in half of the runs of scenario quiet-1 of Urna Viva.
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
// then on. Seen in scenario quiet-1 of Urna Viva.
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
// again. Seen in scenario mix of Vitalkör, seed 798915736156: it got a third of all requests.
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

namespace {

// Requests of 1.5 s each, on eight upstreams per version with `slots` slots each.
class LoadedService {
public:
    explicit LoadedService(Deployment& deployment, int slots = 64)
        : m_deployment(deployment)
        , m_slots(slots)
    {
    }

    // Updates each host with the capacity and the in-flight requests at the upstream under load test.
    void updateCapacity(TimePoint now)
    {
        endRequests(now);
        for (std::size_t host = 0; host < HOSTS; ++host) {
            m_deployment.controller(host).onCapacity(SERVICE,
                { .newSlots = 8 * m_slots,
                    .oldSlots = 8 * m_slots,
                    .newUpstreams = 8,
                    .provingUpstream = UpstreamId("n" + std::to_string(m_proving)),
                    .provingSlots = m_slots,
                    .provingInFlight = inFlight("n" + std::to_string(m_proving)),
                    .inFlight = static_cast<int>(m_running.size()),
                    .newInFlight = static_cast<int>(std::count_if(m_running.begin(), m_running.end(),
                        [](const Running& it) { return it.answer.version == NEW; })) });
        }
    }

    // Sends a request through the host. Half of the new version's answers fail where the upstream's load is at least
    // `failsAbove`.
    void request(std::size_t host, std::uint64_t session, TimePoint now, double failsAbove)
    {
        RolloutController& controller = m_deployment.controller(host);
        const VersionConstraint constraint
            = controller.constraintFor(SERVICE, session, RequestProfile::ShortPrefillLongDecode, now);
        const bool onNew = constraint.requiredVersion == NEW;
        const std::string any = std::to_string(m_deployment.random()() % 8);
        const std::string upstream
            = constraint.requiredUpstream ? constraint.requiredUpstream->value() : (onNew ? "n" : "o") + any;
        const double load = static_cast<double>(inFlight(upstream) + 1) / m_slots;
        const bool fails = onNew && load >= failsAbove && m_deployment.random()() % 2 == 0;
        controller.onSessionUsed(SERVICE, session, onNew ? NEW : OLD, now);
        m_running.push_back({ .host = host,
            .until = now + Duration(1500),
            .answer = { .service = SERVICE,
                .route = ROUTE,
                .version = onNew ? NEW : OLD,
                .upstream = UpstreamId(upstream),
                .kind = fails ? AnswerKind::Failed : AnswerKind::Good,
                .load = load } });
        // A failing upstream is taken out of use, and the load test continues at the next one.
        m_failures += fails ? 1 : 0;
        if (m_failures >= 3) {
            m_failures = 0;
            ++m_proving;
        }
        onNewCount += onNew ? 1 : 0;
        ++count;
    }

    static constexpr std::size_t HOSTS = 8;
    int onNewCount = 0;
    int count = 0;

private:
    struct Running {
        std::size_t host = 0;
        TimePoint until {};
        AnswerSample answer;
    };

    // Hands the answers that are due to the hosts that wait for them.
    void endRequests(TimePoint now)
    {
        for (const Running& it : m_running) {
            if (it.until > now)
                continue;
            m_deployment.controller(it.host).onAnswer(it.answer, now);
            m_deployment.onAnswered(it.host, it.answer.version);
        }
        std::erase_if(m_running, [&](const Running& it) { return it.until <= now; });
    }

    int inFlight(const std::string& upstream) const
    {
        return static_cast<int>(std::count_if(m_running.begin(), m_running.end(),
            [&](const Running& it) { return it.answer.upstream == UpstreamId(upstream); }));
    }

    Deployment& m_deployment;
    const int m_slots;
    std::vector<Running> m_running;
    int m_proving = 0;
    int m_failures = 0;
};

// Sends 45 requests per second for the duration of the order.
LoadedService runRolloutUnderLoad(Deployment& it, double failsAbove, int slots = 64)
{
    LoadedService service(it, slots);
    it.order();
    for (TimePoint now = START; now < START + ORDER_TIME; now += Duration(22)) {
        if ((now - START).count() % 110 == 0)
            service.updateCapacity(now);
        if ((now - START).count() % 220 == 0)
            it.exchangeReports(now);
        const std::uint64_t session = (it.random()() % 400) * 7919 + 1;
        const std::size_t host = it.random()() % LoadedService::HOSTS;
        service.request(host, session, now, failsAbove);
    }
    return service;
}

}

// A version fails only above half of an upstream's slots, a load that the few sessions of the trial never reach.
// Without a load test such versions got 19 % and 36 % of the requests in scenario bad-version-during-burst of the two
// sites.
Test(rollout, failuresUnderLoadRollBackWithinExposureBound)
{
    Deployment it(LoadedService::HOSTS);
    const LoadedService service = runRolloutUnderLoad(it, 0.48);
    cr_assert(it.controller(0).stageOf(SERVICE, START + ORDER_TIME) == Stage::RolledBack);
    cr_assert_lt(service.onNewCount, 0.15 * service.count + 30, "%d of %d", service.onNewCount, service.count);
}

// The upstreams of a large deployment are highly loaded, and the version fails only above the minimum proving load.
// Guards against a load test below the load that the version reaches once it serves all requests. Seen in scenario
// version-fails-under-load of the grown sites.
Test(rollout, provingLoadScalesWithServiceLoad)
{
    constexpr int SLOTS = 14;
    Deployment it(LoadedService::HOSTS);
    const LoadedService service = runRolloutUnderLoad(it, 0.72, SLOTS);
    cr_assert(it.controller(0).stageOf(SERVICE, START + ORDER_TIME) == Stage::RolledBack);
    cr_assert_lt(service.onNewCount, 0.15 * service.count + 30, "%d of %d", service.onNewCount, service.count);
}

// There are too few requests to load-test an upstream, and a bad version shows no failures before the end of its order.
// The move has to be late enough to keep the exposure bound in this case too. Seen in scenario bad-version-during-burst
// of both sites.
Test(rollout, unprovenVersionMovesWithinExposureBound)
{
    constexpr int SLOTS = 2'000;
    constexpr double NEVER = 2;
    Deployment it(LoadedService::HOSTS);
    const LoadedService service = runRolloutUnderLoad(it, NEVER, SLOTS);
    const TimePoint end = START + ORDER_TIME;
    cr_assert(it.controller(0).stageOf(SERVICE, end) == Stage::Replacing);
    cr_assert(it.controller(0).statusDue(SERVICE, 1, end - Duration(1000))->phase == RolloutPhase::Completed);
    cr_assert_lt(service.onNewCount, 0.15 * service.count + 30, "%d of %d", service.onNewCount, service.count);
}

namespace {

// Stage of one host at the end of the proving stage, after `good` and `failed` answers of the new version under load,
// and 400 answers of the old version of which `oldFailedInHundred` per cent failed.
Stage stageAfterProving(int good, int failed, int oldFailedInHundred)
{
    RolloutController it;
    it.onOrder({ .service = SERVICE, .target = NEW, .duration = ORDER_TIME }, START);
    it.onCapacity(SERVICE, EQUAL);
    const auto answer = [&](const SoftwareVersion& version, int n, bool fails) {
        it.onAnswer({ .service = SERVICE,
                        .route = ROUTE,
                        .version = version,
                        .upstream = UpstreamId("u"),
                        .kind = fails ? AnswerKind::Failed : AnswerKind::Good,
                        .time = quality::LatencySample {},
                        .load = 0.65 },
            START + Duration(n));
    };
    for (int n = 0; n < 400; ++n)
        answer(OLD, n, oldFailedInHundred > 0 && n % (100 / oldFailedInHundred) == 0);
    for (int n = 0; n < good + failed; ++n)
        answer(NEW, n, n % ((good + failed) / std::max(1, failed)) == 0 && failed > 0);
    const Duration end = ORDER_TIME - Duration(600);
    for (Duration age { 12'000 }; age < end; age += Duration(200))
        it.tick(START + age);
    return *it.stageOf(SERVICE, START + end);
}

}

// 3 of 31 answers under load have failed at the end of the proving stage, too few to fail the load test. Guards against
// moving all requests to a version that has not passed it. Seen in scenario bad-version-during-burst of Vitalkör, seed
// 60534991553.
Test(rollout, suspectUnprovenVersionRolledBack)
{
    cr_assert(stageAfterProving(28, 3, 0) == Stage::RolledBack);
    cr_assert(stageAfterProving(31, 0, 0) == Stage::Replacing);
}

// A tenth of the service's calls fails on every version. Guards against blaming the new version for them.
Test(rollout, baselineFailureRateToleratedUnderLoad) { cr_assert(stageAfterProving(27, 3, 10) == Stage::Replacing); }

// A version can pass the load test and fail later at a higher load. Guards against an early move after a passed test.
// Seen in scenario bad-version-during-burst of lavaclaro-quito-grown, seed 727980974020: after 40 good answers and no
// failure under load, 3,701 of 11,694 requests went to the bad version.
Test(rollout, provenVersionMovesWithinExposureBound)
{
    Deployment it(LoadedService::HOSTS);
    const LoadedService service = runRolloutUnderLoad(it, 2, 24);
    const TimePoint end = START + ORDER_TIME;
    cr_assert(it.controller(0).stageOf(SERVICE, end) == Stage::Replacing);
    cr_assert(it.controller(0).statusDue(SERVICE, 1, end - Duration(1000))->phase == RolloutPhase::Completed);
    cr_assert_lt(service.onNewCount, 0.15 * service.count + 30, "%d of %d", service.onNewCount, service.count);
}

namespace {

constexpr std::uint64_t SEEDS = 200;

// Counts the seeds in which a version gets more than the bound before its order's end, and prints the largest excess.
int seedsOverExposureBound(double failsAbove, int slots)
{
    int over = 0;
    double excess = 0;
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        Deployment it(LoadedService::HOSTS, seed);
        const LoadedService service = runRolloutUnderLoad(it, failsAbove, slots);
        const double by = service.onNewCount - (0.15 * service.count + 30);
        over += by > 0 ? 1 : 0;
        excess = std::max(excess, by);
    }
    cr_log_info("%d of %d seeds over the bound, by %.1f at most", over, static_cast<int>(SEEDS), excess);
    return over;
}

}

// Guards against a budget that is estimated from a few sessions: the bound has to hold for each seed, whatever the
// share of the sessions on trial turns out to be. Seen in under-load-calm on vitalkor-routing.
Test(rollout, exposureBoundHoldsForEachSeed)
{
    constexpr double NEVER = 2;
    cr_expect_eq(seedsOverExposureBound(NEVER, 2'000), 0);
    cr_expect_eq(seedsOverExposureBound(NEVER, 24), 0);
    cr_expect_eq(seedsOverExposureBound(0.48, 64), 0);
    cr_expect_eq(seedsOverExposureBound(0.72, 14), 0);
}

// A host that starts in the middle of an order does not know what was sent before. Guards against a grant of the whole
// slack once more for each restart.
Test(rollout, restartedHostGetsNoSlackAgain)
{
    constexpr Duration RESTART_AGE { 20'000 };
    constexpr Duration CHECK_AGE = ORDER_TIME - Duration(1100);
    Deployment it(2);
    it.order();
    for (Duration age { 0 }; age <= CHECK_AGE; age += Duration(25)) {
        const TimePoint now = START + age;
        if (age == RESTART_AGE)
            it.restart(1, now);
        it.request(0, (it.random()() % 400) * 7919 + 1, now, Answer::Good);
        if (age.count() % 250 == 0)
            it.exchangeReports(now);
    }
    it.exchangeReports(START + CHECK_AGE);
    cr_assert(it.controller(0).stageOf(SERVICE, START + CHECK_AGE) == Stage::Replacing);
    cr_assert(it.controller(1).stageOf(SERVICE, START + CHECK_AGE) == Stage::Proving);
}
