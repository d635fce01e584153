#include "partitionedfleet.h"

#include "fireflyhaven/store/propagationbudget.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::store;
using namespace fireflyhaven::store::tests;

namespace {

constexpr Duration BOUND { 3000 };
// A host is held to the bound again when it has had a way to the store, or to a current host, for this long.
constexpr Duration CONTACT { 4000 };
constexpr PropagationBounds BOUNDS { .configuration = BOUND, .upstreamDrain = BOUND, .reachable = CONTACT };
constexpr Duration WARM_UP { 5000 };

// The configuration changes all the time while a data centre is cut off; returns the longest lag of any host
// afterwards.
PartitionedFleet::Lag lagAfterCut(std::size_t hostsInEach, std::uint64_t seed)
{
    PartitionedFleet fleet({ .hostsInEach = hostsInEach, .seed = seed, .bounds = BOUNDS });
    fleet.run(WARM_UP);
    const auto cut = Duration(3000 + static_cast<long>(fleet.random() % 5000));
    fleet.cutDataCentre(fleet.random() % 4, cut);
    const TimePoint end = fleet.now() + cut + Duration(8000);
    while (fleet.now() < end) {
        fleet.change();
        fleet.run(Duration(700));
    }
    return fleet.longestLag();
}

void checkCuts(std::size_t hostsInEach, std::uint64_t seeds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const PartitionedFleet::Lag lag = lagAfterCut(hostsInEach, seed);
        const Duration worst = PropagationBudget(BOUNDS).worstCase(ReadPath::WayRegained, lag.topic);
        cr_expect_leq(lag.duration.count(), worst.count(), "seed %lu: host %zu was %ld ms behind", seed, lag.host,
            static_cast<long>(lag.duration.count()));
    }
}

// Longest lag of any host behind large configurations that follow each other, with no fault at all.
PartitionedFleet::Lag lagOfLargeConfigurations(std::size_t hostsInEach, std::uint64_t seed)
{
    // A configuration with 1,200 routes.
    constexpr std::size_t RECORD_BYTES = 520'000;
    // Hosts pass records on compressed.
    constexpr std::size_t PASSED_ON_BYTES = RECORD_BYTES / 4;
    PartitionedFleet fleet({ .hostsInEach = hostsInEach,
        .seed = seed,
        .bounds = BOUNDS,
        .recordBytes = RECORD_BYTES,
        .passedOnBytes = PASSED_ON_BYTES });
    fleet.run(WARM_UP);
    const Duration gap(300 + static_cast<long>(fleet.random() % 4000));
    const TimePoint end = fleet.now() + Duration(8000);
    while (fleet.now() < end) {
        fleet.change();
        fleet.run(gap);
    }
    return fleet.longestLag();
}

// Lets one trouble of any kind begin.
void beginTrouble(PartitionedFleet& fleet)
{
    const Duration period(1000 + static_cast<long>(fleet.random() % 4000));
    const std::size_t host = fleet.random() % fleet.size();
    switch (fleet.random() % 8) {
    case 0:
        return fleet.cutDataCentre(host % 4, period);
    case 1:
        fleet.restart(fleet.reader().value_or(host));
        return fleet.restart(host);
    case 2:
        for (std::size_t n = 0; n < fleet.size() / 3; ++n)
            fleet.cutFromStore((host + n) % fleet.size(), period % Duration(2) == Duration(0), period);
        return;
    case 3:
        return fleet.stopStore(period / 2);
    case 4:
        return fleet.dropHistory(Duration(1000));
    case 5:
        fleet.freeze(host, period);
        return fleet.freeze((host + 4) % fleet.size(), period);
    case 6:
        return fleet.freeze(fleet.reader().value_or(host), period);
    default:
        return;
    }
}

// Half a minute of troubles that overlap, while everything changes all the time. After it all hosts are left alone.
void checkTroubles(std::size_t hostsInEach, std::size_t recordBytes, std::uint64_t firstSeed, std::uint64_t seeds)
{
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        PartitionedFleet fleet({ .hostsInEach = hostsInEach,
            .seed = seed,
            .bounds = BOUNDS,
            .recordBytes = recordBytes,
            .passedOnBytes = recordBytes / 4 });
        fleet.run(WARM_UP);
        const TimePoint end = fleet.now() + Duration(25'000);
        while (fleet.now() < end) {
            beginTrouble(fleet);
            for (std::uint64_t n = 1 + fleet.random() % 4; n > 0; --n) {
                fleet.change();
                fleet.run(Duration(200 + static_cast<long>(fleet.random() % 800)));
            }
        }
        fleet.run(Duration(5000));
        const PartitionedFleet::Lag lag = fleet.longestLag();
        cr_expect_leq(lag.duration.count(), BOUND.count(), "%zu hosts, seed %lu: host %zu was %ld ms behind",
            hostsInEach, seed, lag.host, static_cast<long>(lag.duration.count()));
    }
}

}

// Guards against hosts that stay at an old configuration after a cut, because they retry the store the less often the
// more hosts there are, and hear late which other host reaches it.
Test(partition, hostsAreCurrentSoonAfterTheirDataCentreIsBack) { checkCuts(9, 100); }

Test(partition, hostsOfLargeDataCentreAreCurrentSoonAfterItIsBack) { checkCuts(17, 20); }

// Guards against reads that are given up while their answer arrives: a large configuration takes longer to transfer
// than a small record.
Test(partition, largeConfigurationIsInForceInTime)
{
    for (const std::size_t hostsInEach : { 2, 9, 17 }) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            const PartitionedFleet::Lag lag = lagOfLargeConfigurations(hostsInEach, seed);
            cr_expect_leq(lag.duration.count(), BOUND.count(), "%zu hosts, seed %lu: host %zu was %ld ms behind",
                hostsInEach, seed, lag.host, static_cast<long>(lag.duration.count()));
        }
    }
}

// Guards against any path on which a host waits longer for a change than the sum that the budget states: cuts, frozen
// and restarted readers, a store that is away for some or for all, silent watches, in a fleet of each topology.
Test(partition, changesAreInForceInTimeAmongTroubles) { checkTroubles(9, 0, 1, 60); }

Test(partition, changesAreInForceInTimeAmongTroublesOfFewHosts) { checkTroubles(3, 0, 1, 200); }

Test(partition, largeChangesAreInForceInTimeAmongTroubles) { checkTroubles(9, 100'000, 1, 60); }
