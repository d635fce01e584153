#include "fakecluster.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::tests;

namespace {

constexpr Duration STARTUP_DURATION { 20'000 };
// Limit for a takeover with the log up: suspicion, eviction, and expiry of the previous owner's lease.
constexpr Duration TAKEOVER_BOUND { 15'000 };

FakeCluster startedCluster(FakeClusterOptions options = {})
{
    FakeCluster cluster(options);
    cluster.runFor(STARTUP_DURATION);
    cr_assert(cluster.allUpstreamsOwned(), "an upstream has no owner after start-up");
    return cluster;
}

void assertNoViolations(const FakeCluster& cluster)
{
    if (!cluster.violations().empty())
        cluster.printTrace();
    cr_assert(cluster.violations().empty());
}

bool allUpstreamsOwnedWithin(FakeCluster& cluster, Duration limit)
{
    for (const TimePoint end = cluster.now() + limit; cluster.now() < end && !cluster.allUpstreamsOwned();)
        cluster.step();
    return cluster.allUpstreamsOwned();
}

// Index of the host that may send to the upstream.
std::size_t ownerIndex(FakeCluster& cluster, const UpstreamId& upstream)
{
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        if (cluster.maySendTo(cluster.host(n), upstream))
            return n;
    }
    cr_assert_fail("no host may send to the upstream");
    return 0;
}

std::uint64_t totalSent(const FakeCluster& cluster)
{
    std::uint64_t n = 0;
    for (const auto& [id, upstream] : cluster.upstreams())
        n += upstream.sent;
    return n;
}

std::uint64_t totalOverloads(const FakeCluster& cluster)
{
    std::uint64_t n = 0;
    for (const auto& [id, upstream] : cluster.upstreams())
        n += upstream.overloads;
    return n;
}

std::size_t voterCountAt(FakeCluster& cluster, std::size_t n)
{
    return cluster.host(n).fold.membership().voters(RegionId("r")).current.size();
}

const UpstreamId UPSTREAM("u0-0");

}

Test(scenarios, everyUpstreamGetsRequestsAfterStartup)
{
    FakeCluster cluster = startedCluster();
    cluster.runFor(Duration(10'000));
    for (const auto& [id, upstream] : cluster.upstreams())
        cr_assert_gt(upstream.sent, 0);
    assertNoViolations(cluster);
}

Test(scenarios, failoverAfterOwnerDeath)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerIndex(cluster, UPSTREAM);
    cluster.kill(owner);
    cr_assert_not(cluster.allUpstreamsOwned());
    cr_assert(allUpstreamsOwnedWithin(cluster, TAKEOVER_BOUND));
    cr_assert_neq(ownerIndex(cluster, UPSTREAM), owner);
    assertNoViolations(cluster);
}

Test(scenarios, resumedOwnerMayNotSendUntilItRejoins)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerIndex(cluster, UPSTREAM);
    cluster.pause(owner, Duration(20'000));
    cr_assert_not(cluster.allUpstreamsOwned());
    cr_assert(allUpstreamsOwnedWithin(cluster, TAKEOVER_BOUND));
    while (cluster.now() < cluster.host(owner).pausedUntil)
        cluster.step();
    cr_assert_not(cluster.maySendTo(cluster.host(owner), UPSTREAM));
    const Incarnation before = cluster.host(owner).tracker.selfIncarnation().incarnation;
    cluster.runFor(STARTUP_DURATION);
    cr_assert_gt(cluster.host(owner).tracker.selfIncarnation().incarnation, before, "rejoins under a new incarnation");
    cr_assert(cluster.mayAct(cluster.host(owner)));
    assertNoViolations(cluster);
}

Test(scenarios, repeatedRestartsDoNotInterruptOtherOwners)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerIndex(cluster, UPSTREAM);
    // Host 8 is in another data centre than the upstream, so the upstream keeps its owner.
    for (int n = 0; n < 3; ++n) {
        cluster.restart(8);
        for (const TimePoint end = cluster.now() + Duration(9000); cluster.now() < end;) {
            cluster.step();
            cr_assert(cluster.maySendTo(cluster.host(owner), UPSTREAM), "owner lost its right to send in round %d", n);
        }
    }
    assertNoViolations(cluster);
}

Test(scenarios, failoverAfterLossOfOneOfThreeDataCentres)
{
    FakeCluster cluster = startedCluster();
    for (std::size_t n = 0; n < 3; ++n)
        cluster.kill(n);
    cr_assert(allUpstreamsOwnedWithin(cluster, TAKEOVER_BOUND));
    cr_assert_eq(voterCountAt(cluster, 5), 6);
    assertNoViolations(cluster);
}

// Guards against a minority that evicts the other hosts on its own: it cannot tell their death from a partition.
Test(scenarios, minorityServesOnlyAfterHostListConfirmsLosses)
{
    FakeCluster cluster = startedCluster();
    for (std::size_t n = 0; n < 6; ++n)
        cluster.kill(n);
    cluster.runFor(STARTUP_DURATION);
    for (std::size_t n = 6; n < 9; ++n)
        cr_assert_not(cluster.mayAct(cluster.host(n)), "three of nine voters are no majority");
    // The platform's host list no longer contains the dead hosts.
    const std::set<HostId> all { cluster.host(0).id, cluster.host(1).id, cluster.host(2).id, cluster.host(3).id,
        cluster.host(4).id, cluster.host(5).id, cluster.host(6).id, cluster.host(7).id, cluster.host(8).id };
    const std::set<HostId> left { cluster.host(6).id, cluster.host(7).id, cluster.host(8).id };
    for (std::size_t n = 6; n < 9; ++n) {
        cluster.host(n).tracker.onHostList(all, cluster.now());
        cluster.host(n).tracker.onHostList(left, cluster.now());
    }
    cr_assert(allUpstreamsOwnedWithin(cluster, Duration(40'000)));
    assertNoViolations(cluster);
}

Test(scenarios, failoverOfTwoHostClusterNeedsHostList)
{
    FakeCluster cluster = startedCluster({ .dataCentres = 2, .hostsPerDataCentre = 1 });
    cluster.kill(0);
    cluster.runFor(STARTUP_DURATION);
    cr_assert_not(cluster.mayAct(cluster.host(1)), "one of two voters is no majority");
    cluster.host(1).tracker.onHostList({ cluster.host(0).id, cluster.host(1).id }, cluster.now());
    cluster.host(1).tracker.onHostList({ cluster.host(1).id }, cluster.now());
    cr_assert(allUpstreamsOwnedWithin(cluster, Duration(30'000)));
    assertNoViolations(cluster);
}

Test(scenarios, hostWithoutInboundHeartbeatsIsEvicted)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerIndex(cluster, UPSTREAM);
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        if (n != owner)
            cluster.cutLink(cluster.host(n).id, cluster.host(owner).id);
    }
    cluster.host(owner).logUnreachable = true;
    cluster.runFor(LEASE);
    cr_assert_not(cluster.maySendTo(cluster.host(owner), UPSTREAM));
    cr_assert(allUpstreamsOwnedWithin(cluster, Duration(30'000)));
    cr_assert_neq(ownerIndex(cluster, UPSTREAM), owner);
    assertNoViolations(cluster);
}

Test(scenarios, hostWithoutOutboundHeartbeatsIsEvicted)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerIndex(cluster, UPSTREAM);
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        if (n != owner)
            cluster.cutLink(cluster.host(owner).id, cluster.host(n).id);
    }
    cluster.runFor(LEASE);
    cr_assert_not(cluster.maySendTo(cluster.host(owner), UPSTREAM));
    cr_assert(allUpstreamsOwnedWithin(cluster, Duration(30'000)));
    assertNoViolations(cluster);
}

Test(scenarios, singleCutLinkCausesNoEviction)
{
    FakeCluster cluster = startedCluster();
    cluster.cutLink(cluster.host(0).id, cluster.host(4).id);
    cluster.runFor(Duration(8000));
    cr_assert_eq(voterCountAt(cluster, 5), 9);
    cr_assert(cluster.allUpstreamsOwned());
    assertNoViolations(cluster);
}

Test(scenarios, flappingLinkKeepsInvariantsAndRecovers)
{
    FakeCluster cluster = startedCluster();
    for (int n = 0; n < 20; ++n) {
        cluster.cutLink(cluster.host(0).id, cluster.host(3).id);
        cluster.cutLink(cluster.host(3).id, cluster.host(0).id);
        cluster.runFor(Duration(6000));
        cluster.heal();
        cluster.runFor(Duration(1000));
    }
    cr_assert(allUpstreamsOwnedWithin(cluster, Duration(30'000)));
    assertNoViolations(cluster);
}

Test(scenarios, partitionedRegionServesInMajorityOnly)
{
    FakeCluster cluster = startedCluster();
    for (std::size_t a = 0; a < 3; ++a) {
        cluster.host(a).logUnreachable = true;
        for (std::size_t b = 3; b < 9; ++b) {
            cluster.cutLink(cluster.host(a).id, cluster.host(b).id);
            cluster.cutLink(cluster.host(b).id, cluster.host(a).id);
        }
    }
    cluster.runFor(TAKEOVER_BOUND);
    for (std::size_t n = 0; n < 3; ++n)
        cr_assert_not(cluster.mayAct(cluster.host(n)));
    cr_assert(allUpstreamsOwnedWithin(cluster, TAKEOVER_BOUND));
    assertNoViolations(cluster);
}

Test(scenarios, logOutageFreezesOwnershipWhileServiceContinues)
{
    FakeCluster cluster = startedCluster({ .hostsPerDataCentre = 1 });
    cluster.log().down = true;
    const std::uint64_t before = totalSent(cluster);
    const std::size_t owner = ownerIndex(cluster, UPSTREAM);
    cluster.changeConfig(0, config::Collection::DataCentres, "dc0", { { "in_service", false } });
    cluster.runFor(std::chrono::hours(1));
    cr_assert_eq(ownerIndex(cluster, UPSTREAM), owner);
    cr_assert_gt(totalSent(cluster), before + 1000);
    cr_assert(cluster.host(0).fold.config().lists().dataCentres.at(DataCentreId("dc0")).value.inService,
        "no configuration change is accepted without the log");
    assertNoViolations(cluster);
}

Test(scenarios, failoverDuringLogOutageWaitsForLog)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerIndex(cluster, UPSTREAM);
    cluster.log().down = true;
    cluster.kill(owner);
    cluster.runFor(Duration(30'000));
    cr_assert_not(cluster.allUpstreamsOwned(), "the takeover needs an eviction record in the log");
    cluster.log().down = false;
    cr_assert(allUpstreamsOwnedWithin(cluster, TAKEOVER_BOUND));
    assertNoViolations(cluster);
}

Test(scenarios, hostWithoutLogAccessFetchesRecordsFromPeers)
{
    FakeCluster cluster = startedCluster();
    cluster.host(4).logUnreachable = true;
    cluster.changeConfig(0, config::Collection::DataCentres, "dc1", { { "in_service", false } });
    cluster.runFor(Duration(4000));
    cr_assert_not(cluster.host(4).fold.config().lists().dataCentres.at(DataCentreId("dc1")).value.inService);
    assertNoViolations(cluster);
}

// Guards against an owner that sends by an outdated configuration, because neither the log nor its peers give it
// records.
Test(scenarios, ownerThatMissesGoverningRecordMayNotSend)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerIndex(cluster, UPSTREAM);
    cluster.host(owner).logUnreachable = true;
    cluster.host(owner).recordFetchBlocked = true;
    cluster.changeConfig(owner == 8 ? 7 : 8, config::Collection::DataCentres, "dc0", { { "in_service", false } });
    cluster.runFor(OUT_OF_SERVICE_BOUND_WITHOUT_LOG);
    cr_assert(cluster.host(owner).fold.config().lists().dataCentres.at(DataCentreId("dc0")).value.inService,
        "the host has not folded the change");
    cr_assert_not(cluster.maySendTo(cluster.host(owner), UPSTREAM));
    cluster.runFor(Duration(10'000));
    assertNoViolations(cluster);
}

Test(scenarios, outOfServiceDataCentreGetsNoNewRequests)
{
    FakeCluster cluster = startedCluster();
    cluster.changeConfig(0, config::Collection::DataCentres, "dc1", { { "in_service", false } });
    cluster.changeConfig(8, config::Collection::Versions, "m@1", { { "state", "withdrawn" } });
    cluster.runFor(OUT_OF_SERVICE_BOUND);
    const std::uint64_t before = cluster.upstreams().at(UpstreamId("u1-0")).sent;
    cluster.runFor(Duration(10'000));
    cr_assert_eq(cluster.upstreams().at(UpstreamId("u1-0")).sent, before);
    cluster.changeConfig(0, config::Collection::DataCentres, "dc1", { { "in_service", true } });
    cluster.runFor(Duration(10'000));
    cr_assert_gt(cluster.upstreams().at(UpstreamId("u1-0")).sent, before);
    assertNoViolations(cluster);
}

Test(scenarios, leavingOwnerHandsOverWithoutSuspicionDelay)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerIndex(cluster, UPSTREAM);
    cluster.leave(owner);
    cr_assert(allUpstreamsOwnedWithin(cluster, LEASE + Duration(2000)), "the takeover does not wait for suspicion");
    assertNoViolations(cluster);
}

Test(scenarios, concurrentClaimsRunOnceDespiteLostAppendAnswers)
{
    FakeCluster cluster = startedCluster();
    for (int n = 0; n < 30; ++n) {
        const idempotency::CallKey call { WorkspaceId("w"), IdempotencyKey("k" + std::to_string(n)) };
        cluster.dropNextAppendAnswers(n % 3);
        cluster.submitClaim(0, call);
        cluster.submitClaim(4, call);
        cluster.submitClaim(8, call);
        cluster.runFor(Duration(300));
    }
    cluster.runFor(Duration(10'000));
    cr_assert_eq(cluster.dispatchCounts().size(), 30);
    for (const auto& [call, n] : cluster.dispatchCounts())
        cr_assert_eq(n, 1);
    assertNoViolations(cluster);
}

// Guards against a second run of a call whose first holder is paused after its claim was submitted, while another host
// claims the same call.
Test(scenarios, pausedClaimHolderCausesNoSecondRun)
{
    FakeCluster cluster = startedCluster();
    const idempotency::CallKey call { WorkspaceId("w"), IdempotencyKey("k") };
    cluster.submitClaim(0, call);
    cluster.step();
    cluster.pause(0, Duration(20'000));
    cluster.runFor(Duration(10'000));
    cluster.submitClaim(4, call);
    cluster.runFor(Duration(30'000));
    cr_assert_eq(cluster.dispatchCounts().at(call), 1);
    assertNoViolations(cluster);
}

Test(scenarios, recoveryAfterOwnerPauseDuringLogOutage)
{
    FakeCluster cluster = startedCluster();
    const std::size_t owner = ownerIndex(cluster, UPSTREAM);
    cluster.pause(owner, Duration(12'000));
    cluster.runFor(Duration(3000));
    cluster.log().down = true;
    cluster.runFor(Duration(20'000));
    cluster.log().down = false;
    cr_assert(allUpstreamsOwnedWithin(cluster, Duration(40'000)));
    assertNoViolations(cluster);
}

Test(scenarios, ownershipPreventsColdUpstreamOverload)
{
    FakeCluster coordinated = startedCluster({ .seed = 7 });
    coordinated.runFor(Duration(60'000));
    FakeCluster uncoordinated({ .seed = 7, .uncoordinatedSending = true });
    uncoordinated.runFor(STARTUP_DURATION + Duration(60'000));
    cr_assert_eq(totalOverloads(coordinated), 0);
    cr_assert_gt(totalOverloads(uncoordinated), 100, "the fake upstreams detect overloads");
}
