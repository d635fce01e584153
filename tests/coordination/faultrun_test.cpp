#include "fakecluster.h"

#include <cstdlib>
#include <iostream>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::tests;

namespace {

constexpr Duration RECOVERY_TIMEOUT { 60'000 };

std::size_t pickIndex(FakeCluster& cluster, std::size_t n)
{
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(cluster.random());
}

Duration randomDuration(FakeCluster& cluster, Duration::rep longestMs)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(100, longestMs)(cluster.random()));
}

void cutRandomLink(FakeCluster& cluster)
{
    FakeHost& a = cluster.host(pickIndex(cluster, cluster.size()));
    FakeHost& b = cluster.host(pickIndex(cluster, cluster.size()));
    cluster.cutLink(a.id, b.id);
    if (pickIndex(cluster, 2) == 0)
        cluster.cutLink(b.id, a.id);
    cluster.trace("cut " + a.id.value() + " " + b.id.value());
}

// Cuts all links between one data centre and the others.
void isolateDataCentre(FakeCluster& cluster)
{
    const DataCentreId centre = cluster.host(pickIndex(cluster, cluster.size())).dataCentre;
    for (std::size_t a = 0; a < cluster.size(); ++a) {
        for (std::size_t b = 0; b < cluster.size(); ++b) {
            const bool crossesBoundary
                = (cluster.host(a).dataCentre == centre) != (cluster.host(b).dataCentre == centre);
            if (crossesBoundary)
                cluster.cutLink(cluster.host(a).id, cluster.host(b).id);
        }
    }
    cluster.trace("isolate " + centre.value());
}

void injectFault(FakeCluster& cluster)
{
    const std::size_t n = pickIndex(cluster, cluster.size());
    FakeHost& host = cluster.host(n);
    switch (pickIndex(cluster, 10)) {
    case 0: {
        const Duration time = randomDuration(cluster, 20'000);
        cluster.trace("pause " + host.id.value() + " for " + std::to_string(time.count()));
        cluster.pause(n, time);
        break;
    }
    case 1:
        cluster.trace("kill " + host.id.value());
        cluster.kill(n);
        break;
    case 2:
        if (!host.alive)
            cluster.restart(n);
        break;
    case 3:
        cutRandomLink(cluster);
        break;
    case 4:
        isolateDataCentre(cluster);
        break;
    case 5:
        cluster.log().down = !cluster.log().down;
        cluster.trace(cluster.log().down ? "log down" : "log up");
        break;
    case 6:
        host.logUnreachable = !host.logUnreachable;
        host.recordFetchBlocked = host.logUnreachable && pickIndex(cluster, 2) == 0;
        cluster.trace(
            (host.recordFetchBlocked ? "log and record fetch toggled for " : "log toggled for ") + host.id.value());
        break;
    case 7:
        cluster.dropNextAppendAnswers(static_cast<int>(pickIndex(cluster, 3)) + 1);
        break;
    case 8:
        cluster.changeConfig(n, config::Collection::DataCentres,
            cluster.host(pickIndex(cluster, cluster.size())).dataCentre.value(),
            { { "in_service", pickIndex(cluster, 2) == 0 } });
        break;
    default: {
        const idempotency::CallKey call { WorkspaceId("w"), IdempotencyKey(std::to_string(pickIndex(cluster, 50))) };
        cluster.submitClaim(n, call);
        cluster.submitClaim(pickIndex(cluster, cluster.size()), call);
        break;
    }
    }
}

// Runs one seed. Returns false where an invariant was violated, or where an upstream has no owner RECOVERY_TIMEOUT
// after all faults ended.
bool runSeed(std::uint64_t seed)
{
    FakeCluster cluster(
        { .seed = seed, .hostsPerDataCentre = 2 + static_cast<int>(seed % 2), .upstreamsPerDataCentre = 1 });
    cluster.runFor(Duration(10'000));
    for (int round = 0; round < 12; ++round) {
        injectFault(cluster);
        cluster.runFor(randomDuration(cluster, 5000));
        if (pickIndex(cluster, 6) == 0)
            cluster.heal();
    }
    cluster.heal();
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        if (!cluster.host(n).alive)
            cluster.restart(n);
    }
    const TimePoint deadline = cluster.now() + RECOVERY_TIMEOUT;
    while (!cluster.allUpstreamsOwned() && cluster.now() < deadline)
        cluster.step();
    if (cluster.violations().empty() && cluster.allUpstreamsOwned())
        return true;
    if (!cluster.allUpstreamsOwned())
        cluster.trace("NOT RECOVERED: an upstream has no owner after all faults ended");
    cluster.printTrace();
    return false;
}

long numberFromEnvironment(const char* name, long defaultValue)
{
    const char* text = std::getenv(name);
    return text ? std::atol(text) : defaultValue;
}

}

// Guards against a sequence of faults that lets two hosts send to one upstream, overloads a cold upstream, runs a
// non-repeatable call twice, sends to an out-of-service data centre or leaves an upstream without an owner.
Test(faultrun, invariantsHoldUnderRandomFaults)
{
    const long first = numberFromEnvironment("FIREFLYHAVEN_FIRST_SEED", 1);
    const long seedCount = numberFromEnvironment("FIREFLYHAVEN_SEEDS", 300);
    long failedSeeds = 0;
    for (long seed = first; seed < first + seedCount && failedSeeds < 3; ++seed)
        failedSeeds += runSeed(static_cast<std::uint64_t>(seed)) ? 0 : 1;
    cr_assert_eq(failedSeeds, 0, "%ld seeds failed; see their traces above", failedSeeds);
}
