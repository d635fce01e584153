#include "fakecluster.h"

#include <cstdlib>
#include <iostream>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::tests;

namespace {

constexpr Duration SETTLE_TIME { 60'000 };

std::size_t pick(FakeCluster& cluster, std::size_t n)
{
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(cluster.random());
}

Duration someTime(FakeCluster& cluster, Duration::rep longest)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(100, longest)(cluster.random()));
}

void cutSome(FakeCluster& cluster)
{
    FakeHost& a = cluster.host(pick(cluster, cluster.size()));
    FakeHost& b = cluster.host(pick(cluster, cluster.size()));
    cluster.cut(a.id, b.id);
    if (pick(cluster, 2) == 0)
        cluster.cut(b.id, a.id);
    cluster.trace("cut " + a.id.value() + " " + b.id.value());
}

// Cuts one data centre off from the others.
void cutDataCentre(FakeCluster& cluster)
{
    const DataCentreId centre = cluster.host(pick(cluster, cluster.size())).dataCentre;
    for (std::size_t a = 0; a < cluster.size(); ++a) {
        for (std::size_t b = 0; b < cluster.size(); ++b) {
            const bool apart = (cluster.host(a).dataCentre == centre) != (cluster.host(b).dataCentre == centre);
            if (apart)
                cluster.cut(cluster.host(a).id, cluster.host(b).id);
        }
    }
    cluster.trace("cut off " + centre.value());
}

void injectFault(FakeCluster& cluster)
{
    const std::size_t n = pick(cluster, cluster.size());
    FakeHost& host = cluster.host(n);
    switch (pick(cluster, 10)) {
    case 0: {
        const Duration time = someTime(cluster, 20'000);
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
        cutSome(cluster);
        break;
    case 4:
        cutDataCentre(cluster);
        break;
    case 5:
        cluster.log().down = !cluster.log().down;
        cluster.trace(cluster.log().down ? "log down" : "log up");
        break;
    case 6:
        host.logCut = !host.logCut;
        host.fetchCut = host.logCut && pick(cluster, 2) == 0;
        cluster.trace((host.fetchCut ? "all records cut for " : "log cut for ") + host.id.value());
        break;
    case 7:
        cluster.loseNextAnswers(static_cast<int>(pick(cluster, 3)) + 1);
        break;
    case 8:
        cluster.change(n, config::Collection::DataCentres,
            cluster.host(pick(cluster, cluster.size())).dataCentre.value(),
            { { "in_service", pick(cluster, 2) == 0 } });
        break;
    default: {
        const idempotency::CallKey call { WorkspaceId("w"), IdempotencyKey(std::to_string(pick(cluster, 50))) };
        cluster.claim(n, call);
        cluster.claim(pick(cluster, cluster.size()), call);
        break;
    }
    }
}

// Runs one seed; returns whether every promise held and the cluster came back whole.
bool runSeed(std::uint64_t seed)
{
    FakeCluster cluster(
        { .seed = seed, .hostsPerDataCentre = 2 + static_cast<int>(seed % 2), .upstreamsPerDataCentre = 1 });
    cluster.run(Duration(10'000));
    for (int faults = 0; faults < 12; ++faults) {
        injectFault(cluster);
        cluster.run(someTime(cluster, 5000));
        if (pick(cluster, 6) == 0)
            cluster.heal();
    }
    cluster.heal();
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        if (!cluster.host(n).alive)
            cluster.restart(n);
    }
    const TimePoint deadline = cluster.now() + SETTLE_TIME;
    while (!cluster.isWhole() && cluster.now() < deadline)
        cluster.step();
    if (cluster.violations().empty() && cluster.isWhole())
        return true;
    if (!cluster.isWhole())
        cluster.trace("NOT WHOLE after the faults were healed");
    cluster.printTrace();
    return false;
}

long fromEnvironment(const char* name, long absentValue)
{
    const char* text = std::getenv(name);
    return text ? std::atol(text) : absentValue;
}

}

Test(faultrun, promisesHoldUnderRandomFaults)
{
    const long first = fromEnvironment("FIREFLYHAVEN_FIRST_SEED", 1);
    const long seeds = fromEnvironment("FIREFLYHAVEN_SEEDS", 300);
    long failed = 0;
    for (long seed = first; seed < first + seeds && failed < 3; ++seed)
        failed += runSeed(static_cast<std::uint64_t>(seed)) ? 0 : 1;
    cr_assert_eq(failed, 0, "%ld seeds failed; their traces are above", failed);
}
