#include "fireflyhaven/fleet/reportaggregate.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::fleet;

namespace {

constexpr TimePoint START { Duration(100'000) };
constexpr ShortHash UPSTREAM = 7;
constexpr ShortHash ROLLOUT = 8;
constexpr ShortHash ROUTE = 9;

HostReport load(std::uint16_t inFlight, std::uint32_t good, std::uint32_t failed = 0)
{
    HostReport it;
    it.upstreams.items = { { .upstream = UPSTREAM,
        .inFlight = inFlight,
        .pendingPrefillMs = inFlight * 10U,
        .good = good,
        .failed = failed } };
    return it;
}

HostReport trial(std::uint32_t good, std::uint32_t failed)
{
    HostReport it;
    it.rollouts.items = { { .rollout = ROLLOUT } };
    it.trials.items = { { .rollout = ROLLOUT, .route = ROUTE, .good = good, .failed = failed, .badUpstreams = 1 } };
    return it;
}

FleetDigest sums(const ReportAggregate& it, const std::string& excluded = {}, TimePoint now = START)
{
    FleetDigest digest;
    it.fill(digest, HostId(excluded), now);
    return digest;
}

const HostId A("a");
const HostId B("b");

}

Test(reportaggregate, duplicateReportCountsOnce)
{
    ReportAggregate it;
    it.onReport(A, load(2, 10), true, START);
    it.onReport(B, load(3, 20, 1), true, START);
    it.onReport(A, load(2, 15), false, START);
    it.onReport(A, load(2, 15), false, START);
    const FleetDigest digest = sums(it);
    cr_assert_eq(digest.upstreams.items.size(), 1);
    const UpstreamCounters sum = digest.upstreams.items.front();
    cr_assert(sum
        == (UpstreamCounters { .upstream = UPSTREAM, .inFlight = 5, .pendingPrefillMs = 50, .good = 5, .failed = 0 }));
}

// Answers in the first report of a source are its baseline. If a new aggregator counted them, their failures would make
// healthy upstreams look bad.
Test(reportaggregate, answersCountFromFirstReport)
{
    ReportAggregate it;
    it.onReport(A, load(0, 10, 3), true, START);
    it.onSilent(A);
    it.onReport(A, load(0, 12, 4), false, START);
    it.onReport(A, load(0, 1, 1), true, START);
    const UpstreamCounters sum = sums(it).upstreams.items.front();
    cr_assert_eq(sum.good, 2);
    cr_assert_eq(sum.failed, 1);
}

Test(reportaggregate, receiverContributionExcluded)
{
    ReportAggregate it;
    it.onReport(A, load(2, 10), true, START);
    it.onReport(B, load(3, 20), true, START);
    cr_assert_eq(sums(it, "a").upstreams.items.front().inFlight, 3);
    it.onReport(A, load(2, 14), false, START);
    cr_assert_eq(sums(it, "b").upstreams.items.front().good, 4);
    cr_assert_eq(sums(it, "a").upstreams.items.front().good, 0);
}

Test(reportaggregate, silentHostLoadExcluded)
{
    ReportAggregate it;
    it.onReport(A, load(2, 10), true, START);
    it.onReport(B, load(3, 20), true, START);
    it.onSilent(A);
    it.onSilent(A);
    cr_assert_eq(sums(it).upstreams.items.front().inFlight, 3);
}

Test(reportaggregate, trialCountersSurviveSourceLossAndRestart)
{
    ReportAggregate it;
    it.onReport(A, trial(5, 4), true, START);
    it.onReport(B, trial(6, 0), true, START);
    it.onSilent(A);
    cr_assert_eq(sums(it).trials.items.front().failed, 4, "counters of a silent source stay");
    HostReport restarted = trial(1, 1);
    restarted.incarnation = 2;
    it.onReport(A, restarted, true, START);
    const TrialCounters sum = sums(it).trials.items.front();
    cr_assert_eq(sum.failed, 5, "counters of both incarnations are added");
    cr_assert_eq(sum.good, 12);
}

Test(reportaggregate, rolloutViewsAndSessionsAge)
{
    ReportAggregate it;
    HostReport report = trial(1, 0);
    report.rollouts.items.front().ageMs = 100;
    report.sessions.items = { { .session = 1, .ageMs = 50, .onNewVersion = true } };
    it.onReport(A, report, true, START);
    const FleetDigest digest = sums(it, {}, START + Duration(30));
    cr_assert_eq(digest.rollouts.items.front().ageMs, 130);
    cr_assert_eq(digest.sessions.items.front().ageMs, 80);
}

Test(reportaggregate, onlyHostsReportingUpstreamsAreBusy)
{
    ReportAggregate it;
    it.onReport(A, load(1, 0), true, START);
    it.onReport(B, trial(1, 0), true, START);
    cr_assert(it.isBusy(A, Duration(1000), START + Duration(999)));
    cr_assert_not(it.isBusy(A, Duration(1000), START + Duration(1000)));
    cr_assert_not(it.isBusy(B, Duration(1000), START));
}

// Guards against sums that wrap below 0: the counts of an upstream restart at 0 when it restarts or is removed.
Test(reportaggregate, restartedCountsOfAnUpstreamKeepTheSum)
{
    ReportAggregate it;
    it.onReport(A, load(0, 0), true, START);
    it.onReport(A, load(0, 100, 5), false, START);
    it.onReport(A, load(0, 1, 0), false, START);
    it.onReport(B, load(0, 0), true, START);
    it.onReport(B, load(0, 7), false, START);
    const UpstreamCounters sum = sums(it).upstreams.items.front();
    cr_assert_eq(sum.good, 108);
    cr_assert_eq(sum.failed, 5);
    const UpstreamCounters ofOthers = sums(it, "a").upstreams.items.front();
    cr_assert_eq(ofOthers.good, 7);
    cr_assert_eq(ofOthers.failed, 0);
}

// Guards against counting the answers of a version on trial twice.
Test(reportaggregate, trialCountsOfAReturningSourceCountOnce)
{
    ReportAggregate it;
    it.onReport(A, trial(10, 2), true, START);
    it.onSilent(A);
    it.onReport(A, trial(10, 2), true, START);
    const TrialCounters sum = sums(it).trials.items.front();
    cr_assert_eq(sum.good, 10);
    cr_assert_eq(sum.failed, 2);
}
