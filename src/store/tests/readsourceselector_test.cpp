#include "fireflyhaven/store/readsourceselector.h"

#include <map>
#include <set>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::store;

namespace {

constexpr TimePoint START { Duration(100'000) };

// Fleet of the hosts h0, h1, ...; the flags hold for each host whether it reaches the store.
struct Fleet {
    explicit Fleet(std::vector<bool> storeAccess)
        : reachesStorePerHost(std::move(storeAccess))
    {
    }

    fleet::HostTable tableOf(std::size_t self, TimePoint now) const
    {
        fleet::HostTable table(HostId("h" + std::to_string(self)));
        for (std::size_t n = 0; n < reachesStorePerHost.size(); ++n) {
            const fleet::HostReport report { .host = HostId("h" + std::to_string(n)),
                .incarnation = 1,
                .sequence = 1,
                .reachesStore = reachesStorePerHost[n] };
            table.onReport(report, { .ip = "10.0.0." + std::to_string(n + 1), .port = 7000 }, now);
        }
        return table;
    }

    std::vector<bool> reachesStorePerHost;
};

}

Test(readsourceselector, exactlyOneHostReadsStoreDirectly)
{
    const Fleet fleet(std::vector<bool>(9, true));
    int readers = 0;
    for (std::size_t n = 0; n < 9; ++n)
        readers += ReadSourceSelector().source(fleet.tableOf(n, START), START) ? 0 : 1;
    cr_assert_eq(readers, 1);
}

Test(readsourceselector, hostWithoutStoreAccessReadsFromPeerAndRetriesStore)
{
    const Fleet fleet({ true, false, true });
    ReadSourceSelector selector;
    selector.onStoreRead(false, START);
    const auto source = selector.source(fleet.tableOf(1, START), START);
    cr_assert(source.has_value() && *source != HostId("h1"));
    cr_assert_not(selector.source(fleet.tableOf(1, START), START + Duration(1500)).has_value(), "retries the store");
    selector.onStoreRead(true, START + Duration(1500));
    cr_assert(selector.reachesStore());
}

Test(readsourceselector, readsStoreDirectlyAfterPeerFailure)
{
    const Fleet fleet(std::vector<bool>(3, true));
    for (std::size_t n = 0; n < 3; ++n) {
        ReadSourceSelector it;
        if (!it.source(fleet.tableOf(n, START), START))
            continue;
        it.onPeerFailed(fleet.tableOf(n, START), *it.source(fleet.tableOf(n, START), START), START);
        cr_assert_not(it.source(fleet.tableOf(n, START), START + Duration(1999)).has_value());
        cr_assert(it.source(fleet.tableOf(n, START + Duration(2000)), START + Duration(2000)).has_value());
    }
}

Test(readsourceselector, readsStoreDirectlyIfNoHostReachesIt)
{
    const Fleet fleet(std::vector<bool>(3, false));
    ReadSourceSelector it;
    it.onStoreRead(false, START);
    cr_assert_not(it.source(fleet.tableOf(0, START), START).has_value());
}

Test(readsourceselector, singleHostReadsStoreDirectly)
{
    cr_assert_not(ReadSourceSelector().source(fleet::HostTable(HostId("h0")), START).has_value());
}

namespace {

HostId hostId(int dataCentre, int host)
{
    return HostId("h-" + std::to_string(dataCentre) + "-" + std::to_string(host));
}

void receiveRosters(fleet::HostTable& table, int dataCentres, int hostsInEach, bool hasStoreAccess, TimePoint now)
{
    for (int dcIndex = 0; dcIndex < dataCentres; ++dcIndex) {
        fleet::Roster roster { .dataCentre = DataCentreId("dc" + std::to_string(dcIndex)) };
        for (int n = 0; n < hostsInEach; ++n) {
            roster.entries.items.push_back({ .host = hostId(dcIndex, n),
                .incarnation = 1,
                .peerAddress = { .ip = "10.0." + std::to_string(dcIndex) + "." + std::to_string(n + 1), .port = 7000 },
                .capacity = 120,
                .acceptsRequests = true,
                .reachesStore = hasStoreAccess });
        }
        table.onRoster(roster, now);
    }
}

// Host table of one host in a layered fleet of several data centres.
fleet::HostTable layeredTableOf(int dataCentre, int host, int dataCentres, int hostsInEach, bool hasStoreAccess = true)
{
    fleet::HostTable table(
        hostId(dataCentre, host), { .dataCentre = DataCentreId("dc" + std::to_string(dataCentre)), .capacity = 120 });
    table.setOwnState({ .acceptsRequests = true, .reachesStore = hasStoreAccess });
    table.setLayered(true);
    receiveRosters(table, dataCentres, hostsInEach, hasStoreAccess, START);
    return table;
}

}

// Guards against a read of the store by every host where hundreds of hosts start together.
Test(readsourceselector, layeredFleetHasOneStoreReaderAndOneSourcePerDataCentre)
{
    constexpr int DATA_CENTRES = 5;
    constexpr int HOSTS = 40;
    int readers = 0;
    std::set<HostId> sources;
    for (int dcIndex = 0; dcIndex < DATA_CENTRES; ++dcIndex) {
        for (int n = 0; n < HOSTS; ++n) {
            const fleet::HostTable table = layeredTableOf(dcIndex, n, DATA_CENTRES, HOSTS);
            const auto source = ReadSourceSelector().source(table, START);
            readers += source ? 0 : 1;
            if (source)
                sources.insert(*source);
        }
    }
    cr_assert_eq(readers, 1);
    cr_assert_eq(sources.size(), DATA_CENTRES, "each data centre has one host from which its other hosts read");
}

// Guards against calls to the store by every host of a data centre after the host from which they read was killed.
Test(readsourceselector, layeredFleetLimitsDirectReadersAfterSourceLoss)
{
    constexpr int HOSTS = 59;
    std::vector<ReadSourceSelector> selectors(HOSTS);
    std::optional<HostId> lost;
    int directReaders = 0;
    for (int n = 0; n < HOSTS; ++n) {
        const fleet::HostTable table = layeredTableOf(1, n, 5, HOSTS);
        ReadSourceSelector& it = selectors[static_cast<std::size_t>(n)];
        const auto source = it.source(table, START);
        if (!source)
            continue;
        it.onPeerFailed(table, *source, START);
        const auto next = it.source(table, START + Duration(100));
        cr_assert(next != source, "the failed host is not selected again");
        directReaders += next ? 0 : 1;
    }
    cr_assert_leq(directReaders, 2, "%d hosts read the store", directReaders);
}

// Calls to the store by all hosts of a layered fleet while no host reaches it.
struct OutageCalls {
    int perSecond = 0;
    // Most calls within 100 ms, after the first failure of each host.
    int mostAtOnce = 0;
    Duration longestPause { 0 };
};

OutageCalls callsDuringOutage(int dataCentres, int hostsInEach)
{
    constexpr Duration OUTAGE { 10'000 };
    constexpr Duration STEP { 100 };
    std::map<Duration, int> calls;
    OutageCalls found;
    for (int host = 0; host < dataCentres * hostsInEach; ++host) {
        fleet::HostTable table
            = layeredTableOf(host % dataCentres, host / dataCentres, dataCentres, hostsInEach, false);
        ReadSourceSelector it;
        it.onStoreRead(false, START);
        Duration last { 0 };
        for (Duration age = STEP; age < OUTAGE; age += STEP) {
            const TimePoint now = START + age;
            if (age % Duration(1000) == Duration(0))
                receiveRosters(table, dataCentres, hostsInEach, false, now);
            if (it.source(table, now) || it.mustWait(table, now))
                continue;
            it.onStoreRead(false, now);
            found.longestPause = std::max(found.longestPause, age - last);
            last = age;
            ++calls[age];
        }
    }
    int sum = 0;
    for (const auto& [age, n] : calls) {
        sum += n;
        found.mostAtOnce = std::max(found.mostAtOnce, n);
    }
    found.perSecond = sum / static_cast<int>(OUTAGE / Duration(1000));
    return found;
}

// Guards against hosts that call the store again later than their budget allows, the more so the more hosts there are,
// and against hosts that call it all at once. The load is that of a small part of what the store takes.
Test(readsourceselector, hostsRetryStoreInTimeAndSpread)
{
    struct Deployment {
        int dataCentres = 0;
        int hostsInEach = 0;
        int storeReadsPerSecond = 0;
    };
    for (const Deployment& it : { Deployment { 4, 17, 6000 }, Deployment { 5, 59, 16'000 } }) {
        const OutageCalls calls = callsDuringOutage(it.dataCentres, it.hostsInEach);
        const int hosts = it.dataCentres * it.hostsInEach;
        cr_expect_leq(calls.longestPause.count(), ReadSourceOptions().storeRetry.count(), "%d hosts", hosts);
        cr_expect_leq(calls.perSecond, it.storeReadsPerSecond / 20, "%d hosts: %d", hosts, calls.perSecond);
        cr_expect_leq(calls.mostAtOnce, hosts / 2, "%d hosts: %d at once", hosts, calls.mostAtOnce);
    }
}

// Guards against a host without a way to the store that asks nobody, because the only host that reaches it has failed a
// short time ago.
Test(readsourceselector, hostWithoutStoreReturnsToItsOnlySource)
{
    for (const bool layered : { false, true }) {
        fleet::HostTable table = layeredTableOf(0, 0, 2, 1);
        table.setLayered(layered);
        table.setOwnState({ .acceptsRequests = true, .reachesStore = false });
        ReadSourceSelector it;
        it.onStoreRead(false, START);
        const auto source = it.source(table, START);
        cr_assert(source.has_value());
        it.onPeerFailed(table, *source, START);
        cr_assert(it.source(table, START) == source);
    }
}

Test(readsourceselector, readsStoreDirectlyAfterSeveralFailedSources)
{
    const fleet::HostTable table = layeredTableOf(1, 7, 5, 40);
    ReadSourceSelector it;
    int failed = 0;
    while (const auto source = it.source(table, START)) {
        it.onPeerFailed(table, *source, START);
        cr_assert_leq(++failed, 2);
    }
    cr_assert(it.readsDirectly(START));
}

// Guards against an outdated configuration on a host that is partitioned for seconds from the hosts from which it
// reads, and reaches the store all the time.
Test(readsourceselector, partitionedHostKeepsReadingStoreDirectly)
{
    fleet::HostTable table = layeredTableOf(1, 7, 5, 40);
    ReadSourceSelector it;
    Duration maxPause {};
    TimePoint lastReadAt = START;
    for (Duration age { 0 }; age < Duration(12'000); age += Duration(50)) {
        const TimePoint now = START + age;
        receiveRosters(table, 5, 40, true, now);
        if (const auto source = it.source(table, now)) {
            it.onPeerFailed(table, *source, now);
            continue;
        }
        if (it.mustWait(table, now))
            continue;
        maxPause = std::max(maxPause, now - lastReadAt);
        lastReadAt = now;
        it.onStoreRead(true, now);
    }
    cr_assert_lt(maxPause.count(), 1500, "%lld ms", static_cast<long long>(maxPause.count()));
    cr_assert(START + Duration(12'000) - lastReadAt < Duration(1500));
}

Test(readsourceselector, startupWaitForPeersIsBounded)
{
    ReadSourceSelector it;
    it.onStart(false, START);
    const fleet::HostTable tableWithoutPeers(HostId("h0"));
    cr_assert(it.mustWait(tableWithoutPeers, START + Duration(399)));
    cr_assert_not(it.mustWait(tableWithoutPeers, START + Duration(400)));
    it.onPeerFailed(tableWithoutPeers, HostId("h1"), START + Duration(500));
    cr_assert_not(it.readsDirectly(START + Duration(500)), "the other host may not have read anything yet");
    it.onPeerFailed(tableWithoutPeers, HostId("h1"), START + Duration(1'200));
    cr_assert(it.readsDirectly(START + Duration(1'200)));
}
