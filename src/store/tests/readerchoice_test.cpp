#include "fireflyhaven/store/readerchoice.h"

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
