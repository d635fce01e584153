#include "fireflyhaven/store/readerchoice.h"

#include <set>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::store;

namespace {

constexpr TimePoint START { Duration(100'000) };

// Hosts h0, h1, ... as h0 sees them; `reach` tells which reach the store.
struct Fleet {
    explicit Fleet(std::vector<bool> reach)
        : reaches(std::move(reach))
    {
    }

    fleet::HostTable seenBy(std::size_t self, TimePoint now) const
    {
        fleet::HostTable table(HostId("h" + std::to_string(self)));
        for (std::size_t n = 0; n < reaches.size(); ++n) {
            const fleet::HostReport report {
                .host = HostId("h" + std::to_string(n)), .incarnation = 1, .sequence = 1, .reachesStore = reaches[n]
            };
            table.onReport(report, { .ip = "10.0.0." + std::to_string(n + 1), .port = 7000 }, now);
        }
        return table;
    }

    std::vector<bool> reaches;
};

}

Test(readerchoice, oneHostReadsForAll)
{
    const Fleet fleet(std::vector<bool>(9, true));
    int readers = 0;
    for (std::size_t n = 0; n < 9; ++n)
        readers += ReaderChoice().source(fleet.seenBy(n, START), START) ? 0 : 1;
    cr_assert_eq(readers, 1);
}

Test(readerchoice, aHostThatTheStoreTurnsAwayReadsFromOneThatReachesIt)
{
    const Fleet fleet({ true, false, true });
    ReaderChoice turnedAway;
    turnedAway.onStoreRead(false, START);
    const auto source = turnedAway.source(fleet.seenBy(1, START), START);
    cr_assert(source.has_value() && *source != HostId("h1"));
    cr_assert_not(turnedAway.source(fleet.seenBy(1, START), START + Duration(1500)).has_value(), "it tries again");
    turnedAway.onStoreRead(true, START + Duration(1500));
    cr_assert(turnedAway.reachesStore());
}

Test(readerchoice, aHostReadsForItselfWhereItsSourceFails)
{
    const Fleet fleet(std::vector<bool>(3, true));
    for (std::size_t n = 0; n < 3; ++n) {
        ReaderChoice it;
        if (!it.source(fleet.seenBy(n, START), START))
            continue;
        it.onPeerFailed(fleet.seenBy(n, START), *it.source(fleet.seenBy(n, START), START), START);
        cr_assert_not(it.source(fleet.seenBy(n, START), START + Duration(1999)).has_value());
        cr_assert(it.source(fleet.seenBy(n, START + Duration(2000)), START + Duration(2000)).has_value());
    }
}

Test(readerchoice, whereNobodyReachesTheStoreEachTriesItself)
{
    const Fleet fleet(std::vector<bool>(3, false));
    ReaderChoice it;
    it.onStoreRead(false, START);
    cr_assert_not(it.source(fleet.seenBy(0, START), START).has_value());
}

Test(readerchoice, aHostAloneReadsForItself)
{
    cr_assert_not(ReaderChoice().source(fleet::HostTable(HostId("h0")), START).has_value());
}

namespace {

HostId nameOf(int dataCentre, int host)
{
    return HostId("h-" + std::to_string(dataCentre) + "-" + std::to_string(host));
}

void hearAll(fleet::HostTable& table, int dataCentres, int hostsInEach, bool reachStore, TimePoint now)
{
    for (int place = 0; place < dataCentres; ++place) {
        fleet::Roster roster { .dataCentre = DataCentreId("dc" + std::to_string(place)) };
        for (int n = 0; n < hostsInEach; ++n) {
            roster.entries.items.push_back({ .host = nameOf(place, n),
                .incarnation = 1,
                .peerAddress = { .ip = "10.0." + std::to_string(place) + "." + std::to_string(n + 1), .port = 7000 },
                .capacity = 120,
                .acceptsRequests = true,
                .reachesStore = reachStore });
        }
        table.onRoster(roster, now);
    }
}

// Hosts of several data centres, many of them, as one sees them.
fleet::HostTable manySeenBy(int dataCentre, int host, int dataCentres, int hostsInEach, bool reachStore = true)
{
    fleet::HostTable table(
        nameOf(dataCentre, host), { .dataCentre = DataCentreId("dc" + std::to_string(dataCentre)), .capacity = 120 });
    table.setOwnState({ .acceptsRequests = true, .reachesStore = reachStore });
    table.setLayered(true);
    hearAll(table, dataCentres, hostsInEach, reachStore, START);
    return table;
}

}

// Pattern: hundreds of hosts start together; the store must not be read by each of them.
Test(readerchoice, ofManyHostsOneReadsTheStoreAndOneOfEachDataCentreReadsFromIt)
{
    constexpr int DATA_CENTRES = 5;
    constexpr int HOSTS = 40;
    int readers = 0;
    std::set<HostId> sources;
    for (int place = 0; place < DATA_CENTRES; ++place) {
        for (int n = 0; n < HOSTS; ++n) {
            const fleet::HostTable table = manySeenBy(place, n, DATA_CENTRES, HOSTS);
            const auto source = ReaderChoice().source(table, START);
            readers += source ? 0 : 1;
            if (source)
                sources.insert(*source);
        }
    }
    cr_assert_eq(readers, 1);
    cr_assert_eq(sources.size(), DATA_CENTRES, "each data centre has one that the others read from");
}

// Pattern: the host that a data centre reads from is killed; the store must not be called by each of the others.
Test(readerchoice, ofManyHostsFewReadTheStoreWhereTheirSourceIsLost)
{
    constexpr int HOSTS = 59;
    std::vector<ReaderChoice> choices(HOSTS);
    std::optional<HostId> lost;
    int ownReaders = 0;
    for (int n = 0; n < HOSTS; ++n) {
        const fleet::HostTable table = manySeenBy(1, n, 5, HOSTS);
        ReaderChoice& it = choices[static_cast<std::size_t>(n)];
        const auto source = it.source(table, START);
        if (!source)
            continue;
        it.onPeerFailed(table, *source, START);
        const auto next = it.source(table, START + Duration(100));
        cr_assert(next != source, "the lost host is not asked again");
        ownReaders += next ? 0 : 1;
    }
    cr_assert_leq(ownReaders, 2, "%d hosts read the store", ownReaders);
}

// Pattern: the store is away for all; tries must not grow with the hosts (a large site's day with its store down).
Test(readerchoice, ofManyHostsFewTryAStoreThatIsLost)
{
    constexpr int HOSTS = 59;
    constexpr Duration OUTAGE { 15'000 };
    int tries = 0;
    for (int n = 0; n < HOSTS; ++n) {
        fleet::HostTable table = manySeenBy(1, n, 5, HOSTS, false);
        ReaderChoice it;
        for (Duration age { 0 }; age < OUTAGE; age += Duration(100)) {
            const TimePoint now = START + age;
            if (age % Duration(1000) == Duration(0))
                hearAll(table, 5, HOSTS, false, now);
            if (it.source(table, now) || it.mustWait(table, now))
                continue;
            it.onStoreRead(false, now);
            ++tries;
        }
    }
    // Each host finds out for itself, the first two go on, the others share their tries.
    const int bound = HOSTS + 2 * static_cast<int>(OUTAGE / Duration(1500)) + HOSTS;
    cr_assert_leq(tries, bound, "%d tries", tries);
}

Test(readerchoice, aHostThatSeveralSourcesFailReadsForItself)
{
    const fleet::HostTable table = manySeenBy(1, 7, 5, 40);
    ReaderChoice it;
    int failed = 0;
    while (const auto source = it.source(table, START)) {
        it.onPeerFailed(table, *source, START);
        cr_assert_leq(++failed, 2);
    }
    cr_assert(it.readsOwn(START));
}

// Pattern: a host is cut off from the hosts that it reads from for seconds, and reaches the store all the time
// (vitalkor-routing-grown, revocation-during-cuts, seed 904468461611: it held an old configuration for over 3 s).
Test(readerchoice, aHostThatIsCutOffFromItsSourcesReadsForItselfAllTheTime)
{
    fleet::HostTable table = manySeenBy(1, 7, 5, 40);
    ReaderChoice it;
    Duration longest {};
    TimePoint readAt = START;
    for (Duration age { 0 }; age < Duration(12'000); age += Duration(50)) {
        const TimePoint now = START + age;
        hearAll(table, 5, 40, true, now);
        if (const auto source = it.source(table, now)) {
            it.onPeerFailed(table, *source, now);
            continue;
        }
        if (it.mustWait(table, now))
            continue;
        longest = std::max(longest, now - readAt);
        readAt = now;
        it.onStoreRead(true, now);
    }
    cr_assert_lt(longest.count(), 1500, "%lld ms", static_cast<long long>(longest.count()));
    cr_assert(START + Duration(12'000) - readAt < Duration(1500));
}

Test(readerchoice, aHostThatStartsWaitsForOthersAMomentOnly)
{
    ReaderChoice it;
    it.onStart(false, START);
    const fleet::HostTable alone(HostId("h0"));
    cr_assert(it.mustWait(alone, START + Duration(399)));
    cr_assert_not(it.mustWait(alone, START + Duration(400)));
    it.onPeerFailed(alone, HostId("h1"), START + Duration(500));
    cr_assert_not(it.readsOwn(START + Duration(500)), "the other host may not have read anything yet");
    it.onPeerFailed(alone, HostId("h1"), START + Duration(1'200));
    cr_assert(it.readsOwn(START + Duration(1'200)));
}
