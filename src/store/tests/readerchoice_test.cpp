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
                .host = HostId("h" + std::to_string(n)), .life = 1, .sequence = 1, .reachesStore = reaches[n]
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
        it.onPeerFailed(START);
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

// Hosts of several data centres, many of them, as one sees them.
fleet::HostTable manySeenBy(int dataCentre, int host, int dataCentres, int hostsInEach)
{
    const auto nameOf = [](int place, int n) { return HostId("h-" + std::to_string(place) + "-" + std::to_string(n)); };
    fleet::HostTable table(
        nameOf(dataCentre, host), { .dataCentre = DataCentreId("dc" + std::to_string(dataCentre)), .capacity = 120 });
    table.setOwnState({ .takesCallers = true, .reachesStore = true });
    table.setLayered(true);
    for (int place = 0; place < dataCentres; ++place) {
        fleet::Roster roster { .dataCentre = DataCentreId("dc" + std::to_string(place)) };
        for (int n = 0; n < hostsInEach; ++n) {
            roster.entries.items.push_back({ .host = nameOf(place, n),
                .life = 1,
                .peerAddress = { .ip = "10.0." + std::to_string(place) + "." + std::to_string(n + 1), .port = 7000 },
                .capacity = 120,
                .takesCallers = true,
                .reachesStore = true });
        }
        table.onRoster(roster, START);
    }
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

Test(readerchoice, aHostThatStartsWaitsForOthersAMomentOnly)
{
    ReaderChoice it;
    it.onStart(false, START);
    const fleet::HostTable alone(HostId("h0"));
    cr_assert(it.mustWait(alone, START + Duration(399)));
    cr_assert_not(it.mustWait(alone, START + Duration(400)));
    it.onPeerFailed(START + Duration(500));
    cr_assert_not(it.readsOwn(START + Duration(500)), "the other host may not have read anything yet");
    it.onPeerFailed(START + Duration(1'200));
    cr_assert(it.readsOwn(START + Duration(1'200)));
}
