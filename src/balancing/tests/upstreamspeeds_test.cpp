#include "fireflyhaven/balancing/upstreamspeeds.h"

#include "fireflyhaven/fleet/peerload.h"

#include <array>
#include <random>
#include <set>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::balancing;

namespace {
constexpr TimePoint START { Duration(100'000) };
const UpstreamId SLOW("slow");
const UpstreamId FAST("fast");
}

// The load: upstreams that share their machines with others, so that some answers report 2.5 times the usual time.
Test(upstreamSpeeds, lastingWorkTimeIgnoresMomentaryOnes)
{
    constexpr double DISTURBED = 2.5;
    constexpr int SEEDS = 200;
    int wrong = 0;
    for (unsigned seed = 1; seed <= SEEDS; ++seed) {
        std::mt19937 random(seed);
        UpstreamSpeeds it;
        for (int n = 0; n < 5; ++n)
            it.onReported(SLOW, 1.7 * (random() % 100 < 15 ? DISTURBED : 1), START + Duration(n * 1000));
        wrong += std::abs(it.lasting(SLOW, START + Duration(9000)) - 1.7) > 0.01 ? 1 : 0;
    }
    cr_assert_leq(wrong, SEEDS / 10);
}

Test(upstreamSpeeds, momentaryWorkTimeCountsWhileItIsFresh)
{
    UpstreamSpeeds it;
    for (int n = 0; n < 4; ++n)
        it.onReported(FAST, 0.7, START + Duration(n * 100));
    it.onReported(FAST, 1.75, START + Duration(400));
    cr_assert_float_eq(it.reported(FAST, START + Duration(400)), 1.75, 0.01);
    cr_assert_float_eq(it.reported(FAST, START + Duration(550)), 1.225, 0.01, "half of the deviation is left");
    cr_assert_float_eq(it.reported(FAST, START + Duration(3000)), 0.7, 0.01);
}

Test(upstreamSpeeds, nothingIsAssumedWithoutReports)
{
    const UpstreamSpeeds it;
    cr_assert_eq(it.lasting(SLOW, START), 1);
    cr_assert_eq(it.factor(SLOW, START), 1);
    cr_assert_not(it.isKnown(SLOW, START));
}

// Guards against an upstream whose reports are wrong: what it does counts.
Test(upstreamSpeeds, observedTimesCorrectFalseReports)
{
    UpstreamSpeeds it;
    for (int n = 0; n < 30; ++n) {
        const TimePoint now = START + Duration(n * 200);
        it.onReported(SLOW, 0.7, now);
        // The answers take as long as at an upstream of twice the usual work time.
        it.onObserved(SLOW, 2 / it.factor(SLOW, now), now);
    }
    cr_assert_float_eq(it.factor(SLOW, START + Duration(6000)), 2, 0.2);
}

// The load: a host of many, which has seen few answers of each upstream, or none since its restart.
Test(upstreamSpeeds, measurementsOfOtherHostsCountUntilOwnOnesSuffice)
{
    UpstreamSpeeds other;
    for (int n = 0; n < 3; ++n)
        other.onReported(SLOW, 1.7, START);
    UpstreamSpeeds restarted;
    for (const fleet::UpstreamSpeed& it : other.report(16, START + Duration(500)))
        restarted.onPeerMeasured(it.upstream, it.workTimeFactor(), it.age(), START + Duration(500));
    cr_assert_float_eq(restarted.lasting(SLOW, START + Duration(600)), 1.7, 0.01);
    for (int n = 0; n < 2; ++n)
        restarted.onReported(SLOW, 4.25, START + Duration(700));
    cr_assert_float_eq(restarted.lasting(SLOW, START + Duration(800)), 1.7, 0.01, "two reports may both be momentary");
    restarted.onReported(SLOW, 1.2, START + Duration(900));
    restarted.onReported(SLOW, 1.2, START + Duration(900));
    cr_assert_float_eq(restarted.lasting(SLOW, START + Duration(900)), 1.2, 0.01);
}

Test(upstreamSpeeds, lateReportsOfOtherHostsDoNotReplaceNewerOnes)
{
    UpstreamSpeeds it;
    const fleet::ShortHash slow = fleet::shortHashOf(SLOW);
    it.onPeerMeasured(slow, 1.7, Duration(100), START);
    it.onPeerMeasured(slow, 0.7, Duration(2000), START + Duration(50));
    cr_assert_float_eq(it.lasting(SLOW, START + Duration(50)), 1.7, 0.01);
    cr_assert_eq(it.lasting(SLOW, START + Duration(60'000)), 1, "nobody has measured it for long");
    it.onPeerMeasured(slow, 3, Duration(40'000), START);
    cr_assert_not(it.isKnown(SLOW, START + Duration(60'000)));
}

// Measurements that hosts pass on to each other must not keep themselves alive.
Test(upstreamSpeeds, passedOnMeasurementAges)
{
    UpstreamSpeeds measuring;
    for (int n = 0; n < 3; ++n)
        measuring.onReported(SLOW, 1.7, START);
    std::array<UpstreamSpeeds, 2> others;
    const auto passOn = [](UpstreamSpeeds& from, UpstreamSpeeds& to, TimePoint now) {
        for (const fleet::UpstreamSpeed& it : from.report(16, now))
            to.onPeerMeasured(it.upstream, it.workTimeFactor(), it.age(), now);
    };
    passOn(measuring, others[0], START);
    TimePoint now = START;
    for (int n = 0; n < 50; ++n) {
        now += Duration(1000);
        passOn(others[0], others[1], now);
        passOn(others[1], others[0], now);
    }
    cr_assert_not(others[0].isKnown(SLOW, now) || others[1].isKnown(SLOW, now));
}

Test(upstreamSpeeds, restartedUpstreamIsMeasuredAnew)
{
    UpstreamSpeeds it;
    for (int n = 0; n < 3; ++n)
        it.onReported(SLOW, 1.7, START);
    it.removeUpstream(SLOW, START + Duration(1000));
    cr_assert_eq(it.lasting(SLOW, START + Duration(1000)), 1);
    it.onPeerMeasured(fleet::shortHashOf(SLOW), 1.7, Duration(900), START + Duration(1500));
    cr_assert_eq(it.lasting(SLOW, START + Duration(1500)), 1, "the measurement is of the time before");
    it.onPeerMeasured(fleet::shortHashOf(SLOW), 0.7, Duration(100), START + Duration(1500));
    cr_assert_float_eq(it.lasting(SLOW, START + Duration(1500)), 0.7, 0.01);
}

Test(upstreamSpeeds, reportsListAllUpstreamsInTurn)
{
    UpstreamSpeeds it;
    for (int upstream = 0; upstream < 40; ++upstream) {
        for (int n = 0; n < 3; ++n)
            it.onReported(UpstreamId("u" + std::to_string(upstream)), 1.7, START);
    }
    std::set<fleet::ShortHash> listed;
    for (int n = 0; n < 3; ++n) {
        const auto speeds = it.report(16, START);
        cr_assert_leq(speeds.size(), 16);
        for (const fleet::UpstreamSpeed& speed : speeds)
            listed.insert(speed.upstream);
    }
    cr_assert_eq(listed.size(), 40);
}
