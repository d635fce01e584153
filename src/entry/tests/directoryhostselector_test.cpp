#include "../internal/directoryhostselector.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::entry;

namespace {

constexpr TimePoint START { Duration(100'000) };
const DataCentreId LOCAL_DATA_CENTRE("here");
const DataCentreId REMOTE_DATA_CENTRE("there");
const http::Endpoint OWN { .ip = "10.1.0.1", .port = 80 };

http::Endpoint frontend(int subnet, int n)
{
    return { .ip = "10." + std::to_string(subnet) + ".0." + std::to_string(n), .port = 80 };
}

// Table of this host, `localCount` more hosts of its data centre and `remoteCount` hosts of another one.
fleet::HostTable table(int localCount, int remoteCount, bool acceptsCallers = true)
{
    fleet::HostTable it(HostId("self"), { .dataCentre = LOCAL_DATA_CENTRE, .capacity = 120 });
    it.setOwnState({ .acceptsRequests = true, .reachesStore = true });
    it.setLayered(true);
    const auto add = [&](const DataCentreId& dataCentre, int subnet, int n) {
        fleet::Roster roster { .dataCentre = dataCentre };
        for (int host = 2; host < n + 2; ++host)
            roster.entries.items.push_back({ .host = HostId(dataCentre.value() + std::to_string(host)),
                .incarnation = 1,
                .frontend = frontend(subnet, host),
                .capacity = 120,
                .acceptsRequests = acceptsCallers });
        it.onRoster(roster, START);
    };
    add(LOCAL_DATA_CENTRE, 1, localCount);
    add(REMOTE_DATA_CENTRE, 2, remoteCount);
    return it;
}

}

// Guards against hundreds of hosts that each send so few requests that no connection or cached prompt part is reused.
Test(directory_host_selector, quarterOfManyHostsIsListed)
{
    const fleet::HostTable hosts = table(59, 8);
    const auto chosen = DirectoryHostSelector(OWN).choose(hosts, LOCAL_DATA_CENTRE, START);
    cr_assert_eq(chosen.size(), 15);
    for (const http::Endpoint& it : chosen)
        cr_assert(it.ip.starts_with("10.1."), "%s is in another data centre", it.ip.c_str());
}

Test(directory_host_selector, aggregatorsAreNotListedWhileOthersSuffice)
{
    const fleet::HostTable hosts = table(59, 8);
    const auto ranked = hosts.ranked(LOCAL_DATA_CENTRE, START);
    const auto chosen = DirectoryHostSelector(OWN).choose(hosts, LOCAL_DATA_CENTRE, START);
    for (std::size_t n = 0; n < 2; ++n) {
        const http::Endpoint aggregator = ranked[n] == hosts.self() ? OWN : hosts.hosts().at(ranked[n]).report.frontend;
        cr_assert(std::find(chosen.begin(), chosen.end(), aggregator) == chosen.end());
    }
}

// Guards against too few listed hosts after most hosts of a data centre were killed at the same time.
Test(directory_host_selector, fewLocalHostsAreAllListedWithRemoteOnes)
{
    const auto chosen = DirectoryHostSelector(OWN).choose(table(1, 8), LOCAL_DATA_CENTRE, START);
    cr_assert(std::find(chosen.begin(), chosen.end(), OWN) != chosen.end());
    cr_assert_geq(chosen.size(), 8);
}

Test(directory_host_selector, hostsThatRejectCallersAreNotListed)
{
    const auto chosen = DirectoryHostSelector(OWN).choose(table(59, 8, false), LOCAL_DATA_CENTRE, START);
    cr_assert_eq(chosen.size(), 1);
    cr_assert(chosen.front() == OWN);
}
