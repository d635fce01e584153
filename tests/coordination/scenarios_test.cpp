#include "fakecluster.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::tests;

namespace {

constexpr Duration START_TIME { 20'000 };
// Target for a takeover with the log up: suspicion, eviction, and the wait for the last holder's lease.
constexpr Duration TAKEOVER_BOUND { 15'000 };

FakeCluster startedCluster(FakeClusterOptions options = {})
{
    FakeCluster cluster(options);
    cluster.run(START_TIME);
    cr_assert(cluster.isWhole(), "the cluster did not come up");
    return cluster;
}

void assertKept(const FakeCluster& cluster)
{
    if (!cluster.violations().empty())
        cluster.printTrace();
    cr_assert(cluster.violations().empty());
}

bool becomesWhole(FakeCluster& cluster, Duration limit)
{
    for (const TimePoint end = cluster.now() + limit; cluster.now() < end && !cluster.isWhole();)
        cluster.step();
    return cluster.isWhole();
}

// Position of the host that owns the upstream.
std::size_t ownerOf(FakeCluster& cluster, const UpstreamId& upstream)
{
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        if (cluster.hasRight(cluster.host(n), upstream))
            return n;
    }
    cr_assert_fail("no owner");
    return 0;
}

std::uint64_t sentInAll(const FakeCluster& cluster)
{
    std::uint64_t n = 0;
    for (const auto& [id, upstream] : cluster.upstreams())
        n += upstream.sent;
    return n;
}

std::uint64_t overloadsInAll(const FakeCluster& cluster)
{
    std::uint64_t n = 0;
    for (const auto& [id, upstream] : cluster.upstreams())
        n += upstream.overloads;
    return n;
}

std::size_t votersSeenBy(FakeCluster& cluster, std::size_t n)
{
    return cluster.host(n).fold.membership().voters(RegionId("r")).current.size();
}

const UpstreamId UPSTREAM("u0-0");

}

Test(scenarios, clusterComesUpAndServes)
{
    FakeCluster cluster = startedCluster();
    cluster.run(Duration(10'000));
    for (const auto& [id, upstream] : cluster.upstreams())
        cr_assert_gt(upstream.sent, 0);
    assertKept(cluster);
}

Test(scenarios, deadOwnerIsReplaced)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerOf(cluster, UPSTREAM);
    cluster.kill(owner);
    cr_assert_not(cluster.isWhole());
    cr_assert(becomesWhole(cluster, TAKEOVER_BOUND));
    cr_assert_neq(ownerOf(cluster, UPSTREAM), owner);
    assertKept(cluster);
}

Test(scenarios, pausedOwnerHasLostItsRightWhenItResumes)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerOf(cluster, UPSTREAM);
    cluster.pause(owner, Duration(20'000));
    cr_assert_not(cluster.isWhole());
    cr_assert(becomesWhole(cluster, TAKEOVER_BOUND));
    while (cluster.now() < cluster.host(owner).pausedUntil)
        cluster.step();
    cr_assert_not(cluster.hasRight(cluster.host(owner), UPSTREAM));
    const Incarnation before = cluster.host(owner).tracker.selfIncarnation().incarnation;
    cluster.run(START_TIME);
    cr_assert_gt(cluster.host(owner).tracker.selfIncarnation().incarnation, before, "it joins as a new life");
    cr_assert(cluster.mayAct(cluster.host(owner)));
    assertKept(cluster);
}

Test(scenarios, hostsThatComeAndGoDoNotInterruptTheOthers)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerOf(cluster, UPSTREAM);
    // A host of another data centre restarts, so this upstream keeps its owner.
    for (int n = 0; n < 3; ++n) {
        cluster.restart(8);
        for (const TimePoint end = cluster.now() + Duration(9000); cluster.now() < end;) {
            cluster.step();
            cr_assert(cluster.hasRight(cluster.host(owner), UPSTREAM), "interrupted in round %d", n);
        }
    }
    assertKept(cluster);
}

Test(scenarios, dataCentreGoneOfThree)
{
    FakeCluster cluster = startedCluster();
    for (std::size_t n = 0; n < 3; ++n)
        cluster.kill(n);
    cr_assert(becomesWhole(cluster, TAKEOVER_BOUND));
    cr_assert_eq(votersSeenBy(cluster, 5), 6);
    assertKept(cluster);
}

Test(scenarios, twoDataCentresGoneStopsServiceInsteadOfGuessing)
{
    FakeCluster cluster = startedCluster();
    for (std::size_t n = 0; n < 6; ++n)
        cluster.kill(n);
    cluster.run(START_TIME);
    for (std::size_t n = 6; n < 9; ++n)
        cr_assert_not(cluster.mayAct(cluster.host(n)), "three of nine are no majority");
    // The platform's host list shows the others gone.
    const std::set<HostId> all { cluster.host(0).id, cluster.host(1).id, cluster.host(2).id, cluster.host(3).id,
        cluster.host(4).id, cluster.host(5).id, cluster.host(6).id, cluster.host(7).id, cluster.host(8).id };
    const std::set<HostId> left { cluster.host(6).id, cluster.host(7).id, cluster.host(8).id };
    for (std::size_t n = 6; n < 9; ++n) {
        cluster.host(n).tracker.onHostList(all, cluster.now());
        cluster.host(n).tracker.onHostList(left, cluster.now());
    }
    cr_assert(becomesWhole(cluster, Duration(40'000)));
    assertKept(cluster);
}

Test(scenarios, twoOfTwoHostsNeedTheHostList)
{
    FakeCluster cluster = startedCluster({ .dataCentres = 2, .hostsPerDataCentre = 1 });
    cluster.kill(0);
    cluster.run(START_TIME);
    cr_assert_not(cluster.mayAct(cluster.host(1)), "one of two is no majority");
    cluster.host(1).tracker.onHostList({ cluster.host(0).id, cluster.host(1).id }, cluster.now());
    cluster.host(1).tracker.onHostList({ cluster.host(1).id }, cluster.now());
    cr_assert(becomesWhole(cluster, Duration(30'000)));
    assertKept(cluster);
}

Test(scenarios, hostThatHearsNobodyIsEvicted)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerOf(cluster, UPSTREAM);
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        if (n != owner)
            cluster.cut(cluster.host(n).id, cluster.host(owner).id);
    }
    cluster.host(owner).logCut = true;
    cluster.run(LEASE);
    cr_assert_not(cluster.hasRight(cluster.host(owner), UPSTREAM));
    cr_assert(becomesWhole(cluster, Duration(30'000)));
    cr_assert_neq(ownerOf(cluster, UPSTREAM), owner);
    assertKept(cluster);
}

Test(scenarios, hostThatNobodyHearsIsEvicted)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerOf(cluster, UPSTREAM);
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        if (n != owner)
            cluster.cut(cluster.host(owner).id, cluster.host(n).id);
    }
    cluster.run(LEASE);
    cr_assert_not(cluster.hasRight(cluster.host(owner), UPSTREAM));
    cr_assert(becomesWhole(cluster, Duration(30'000)));
    assertKept(cluster);
}

Test(scenarios, oneBadLinkEvictsNobody)
{
    FakeCluster cluster = startedCluster();
    cluster.cut(cluster.host(0).id, cluster.host(4).id);
    cluster.run(Duration(8000));
    cr_assert_eq(votersSeenBy(cluster, 5), 9);
    cr_assert(cluster.isWhole());
    assertKept(cluster);
}

Test(scenarios, flappingLinkKeepsPromisesAndHeals)
{
    FakeCluster cluster = startedCluster();
    for (int n = 0; n < 20; ++n) {
        cluster.cut(cluster.host(0).id, cluster.host(3).id);
        cluster.cut(cluster.host(3).id, cluster.host(0).id);
        cluster.run(Duration(6000));
        cluster.heal();
        cluster.run(Duration(1000));
    }
    cr_assert(becomesWhole(cluster, Duration(30'000)));
    assertKept(cluster);
}

Test(scenarios, regionCutInTwoServesInTheLargerPart)
{
    FakeCluster cluster = startedCluster();
    for (std::size_t a = 0; a < 3; ++a) {
        cluster.host(a).logCut = true;
        for (std::size_t b = 3; b < 9; ++b) {
            cluster.cut(cluster.host(a).id, cluster.host(b).id);
            cluster.cut(cluster.host(b).id, cluster.host(a).id);
        }
    }
    cluster.run(TAKEOVER_BOUND);
    for (std::size_t n = 0; n < 3; ++n)
        cr_assert_not(cluster.mayAct(cluster.host(n)));
    cr_assert(becomesWhole(cluster, TAKEOVER_BOUND));
    assertKept(cluster);
}

Test(scenarios, logDownForAnHourFreezesOwnershipAndServiceGoesOn)
{
    FakeCluster cluster = startedCluster({ .hostsPerDataCentre = 1 });
    cluster.log().down = true;
    const std::uint64_t before = sentInAll(cluster);
    const std::size_t owner = ownerOf(cluster, UPSTREAM);
    cluster.change(0, config::Collection::DataCentres, "dc0", { { "in_service", false } });
    cluster.run(std::chrono::hours(1));
    cr_assert_eq(ownerOf(cluster, UPSTREAM), owner);
    cr_assert_gt(sentInAll(cluster), before + 1000);
    cr_assert(cluster.host(0).fold.config().lists().dataCentres.at(DataCentreId("dc0")).value.inService,
        "nothing is accepted without the log");
    assertKept(cluster);
}

Test(scenarios, hostDeathDuringLogOutage)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerOf(cluster, UPSTREAM);
    cluster.log().down = true;
    cluster.kill(owner);
    cluster.run(Duration(30'000));
    cr_assert_not(cluster.isWhole(), "the dead owner's upstreams wait for the log");
    cluster.log().down = false;
    cr_assert(becomesWhole(cluster, TAKEOVER_BOUND));
    assertKept(cluster);
}

Test(scenarios, hostThatCannotReadTheLogFetchesFromItsPeers)
{
    FakeCluster cluster = startedCluster();
    cluster.host(4).logCut = true;
    cluster.change(0, config::Collection::DataCentres, "dc1", { { "in_service", false } });
    cluster.run(Duration(4000));
    cr_assert_not(cluster.host(4).fold.config().lists().dataCentres.at(DataCentreId("dc1")).value.inService);
    assertKept(cluster);
}

Test(scenarios, hostThatLagsLosesItsRight)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerOf(cluster, UPSTREAM);
    cluster.host(owner).logCut = true;
    cluster.host(owner).fetchCut = true;
    cluster.change(owner == 8 ? 7 : 8, config::Collection::DataCentres, "dc0", { { "in_service", false } });
    cluster.run(CUT_OFF_BOUND);
    cr_assert(cluster.host(owner).fold.config().lists().dataCentres.at(DataCentreId("dc0")).value.inService,
        "it does not know");
    cr_assert_not(cluster.hasRight(cluster.host(owner), UPSTREAM));
    cluster.run(Duration(10'000));
    assertKept(cluster);
}

Test(scenarios, dataCentreTakenOutGetsNoNewWork)
{
    FakeCluster cluster = startedCluster();
    cluster.change(0, config::Collection::DataCentres, "dc1", { { "in_service", false } });
    cluster.change(8, config::Collection::Versions, "m@1", { { "state", "withdrawn" } });
    cluster.run(OUT_OF_SERVICE_BOUND);
    const std::uint64_t before = cluster.upstreams().at(UpstreamId("u1-0")).sent;
    cluster.run(Duration(10'000));
    cr_assert_eq(cluster.upstreams().at(UpstreamId("u1-0")).sent, before);
    cluster.change(0, config::Collection::DataCentres, "dc1", { { "in_service", true } });
    cluster.run(Duration(10'000));
    cr_assert_gt(cluster.upstreams().at(UpstreamId("u1-0")).sent, before);
    assertKept(cluster);
}

Test(scenarios, leavingHostHandsOverAtOnce)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerOf(cluster, UPSTREAM);
    cluster.leave(owner);
    cr_assert(becomesWhole(cluster, LEASE + Duration(2000)), "no suspicion is waited for");
    assertKept(cluster);
}

Test(scenarios, racingClaimsRunOnceAlthoughAnswersAreLost)
{
    FakeCluster cluster = startedCluster();
    for (int n = 0; n < 30; ++n) {
        const idempotency::CallKey call { WorkspaceId("w"), IdempotencyKey("k" + std::to_string(n)) };
        cluster.loseNextAnswers(n % 3);
        cluster.claim(0, call);
        cluster.claim(4, call);
        cluster.claim(8, call);
        cluster.run(Duration(300));
    }
    cluster.run(Duration(10'000));
    cr_assert_eq(cluster.dispatched().size(), 30);
    for (const auto& [call, n] : cluster.dispatched())
        cr_assert_eq(n, 1);
    assertKept(cluster);
}

Test(scenarios, holderPausedBetweenClaimAndSendDoesNoHarm)
{
    FakeCluster cluster = startedCluster();
    const idempotency::CallKey call { WorkspaceId("w"), IdempotencyKey("k") };
    cluster.claim(0, call);
    cluster.step();
    cluster.pause(0, Duration(20'000));
    cluster.run(Duration(10'000));
    cluster.claim(4, call);
    cluster.run(Duration(30'000));
    cr_assert_eq(cluster.dispatched().at(call), 1);
    assertKept(cluster);
}

Test(scenarios, pauseAcrossAnEvictionDuringAnOutage)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerOf(cluster, UPSTREAM);
    cluster.pause(owner, Duration(12'000));
    cluster.run(Duration(3000));
    cluster.log().down = true;
    cluster.run(Duration(20'000));
    cluster.log().down = false;
    cr_assert(becomesWhole(cluster, Duration(40'000)));
    assertKept(cluster);
}

Test(scenarios, uncoordinatedHostsOverloadColdUpstreamsAndOwnersDoNot)
{
    FakeCluster ours = startedCluster({ .seed = 7 });
    ours.run(Duration(60'000));
    FakeCluster naive({ .seed = 7, .naiveSending = true });
    naive.run(START_TIME + Duration(60'000));
    cr_assert_eq(overloadsInAll(ours), 0);
    cr_assert_gt(overloadsInAll(naive), 100, "the check would see an overload");
}
