#include "fireflyhaven/catalog/catalog.h"

#include <random>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::catalog;

namespace {

constexpr TimePoint START { Duration(1000) };

Route route(const std::string& host, const std::string& prefix)
{
    return { .name = RouteName(host + prefix), .host = host, .pathPrefix = prefix };
}

std::string exhaustiveMatch(const std::vector<Route>& routes, const std::string& host, const std::string& path)
{
    std::string best;
    std::size_t length = 0;
    for (const Route& it : routes) {
        if (it.host == host && path.starts_with(it.pathPrefix) && it.pathPrefix.size() > length) {
            best = it.name.value();
            length = it.pathPrefix.size();
        }
    }
    return best;
}

std::string randomPath(std::mt19937_64& random, bool prefix)
{
    std::string path = "/";
    for (std::size_t n = random() % 4; n > 0; --n)
        path += std::string(1, static_cast<char>('a' + random() % 2)) + "/";
    return prefix || random() % 2 ? path : path + "a";
}

Upstream upstream(const std::string& id, std::int64_t startMs = 1)
{
    return {
        .id = UpstreamId(id), .startedAtMs = startMs, .service = ServiceName("s"), .dataCentre = DataCentreId("dc")
    };
}

}

Test(routetable, matchesExhaustivePrefixSearch)
{
    std::mt19937_64 random(1);
    int matched = 0;
    for (int round = 0; round < 300; ++round) {
        std::map<std::string, Route> distinct;
        for (int n = 0; n < 6; ++n) {
            const Route it = route(random() % 2 ? "one" : "two", randomPath(random, true));
            distinct[it.name.value()] = it;
        }
        std::vector<Route> routes;
        for (const auto& [name, it] : distinct)
            routes.push_back(it);
        const RouteTable table(routes);
        for (int n = 0; n < 20; ++n) {
            const std::string path = randomPath(random, false);
            const auto found = table.find("one", path);
            cr_assert_eq(found ? found->name.value() : "", exhaustiveMatch(routes, "one", path));
            matched += found ? 1 : 0;
        }
    }
    cr_assert_gt(matched, 1000);
}

Test(routetable, ignoresPortAndCaseOfHost)
{
    const RouteTable table({ route("a.example", "/x/") });
    cr_assert(table.find("A.example:8080", "/x/1") != nullptr);
    cr_assert(table.find("b.example", "/x/1") == nullptr);
    cr_assert(table.find("a.example", "") == nullptr);
    cr_assert(table.find("a.example", "*") == nullptr);
}

Test(catalog, ignoresOlderConfiguration)
{
    Catalog it;
    cr_assert_not(it.hasConfiguration());
    cr_assert(it.onConfiguration({ .version = ConfigurationVersion(5) }) == ConfigurationChange::Applied);
    cr_assert(it.onConfiguration({ .version = ConfigurationVersion(4) }) == ConfigurationChange::Older);
    cr_assert(it.onConfiguration({ .version = ConfigurationVersion(5) }) == ConfigurationChange::None);
    cr_assert_eq(it.version().value(), 5);
}

Test(catalog, revokedKeyHasNoCaller)
{
    Catalog it;
    const Workspace one { .id = WorkspaceId("w"), .keys = { "k1", "k2" }, .priority = 3 };
    it.onConfiguration({ .version = ConfigurationVersion(1), .workspaces = { one } });
    cr_assert(it.callerOf("k1")->workspace == WorkspaceId("w"));
    cr_assert_eq(*it.callerOf("k2")->priority, 3);
    it.onConfiguration({ .version = ConfigurationVersion(2), .workspaces = { { .id = one.id, .keys = { "k2" } } } });
    cr_assert_not(it.callerOf("k1").has_value());
    cr_assert(it.callerOf("k2").has_value());
}

// Guards against a configuration that lists no workspace any more and lets everybody in (review/11).
Test(catalog, keysAreAskedForWithoutWorkspaces)
{
    Catalog it;
    cr_assert_not(it.requiresApiKeys());
    it.onConfiguration({ .version = ConfigurationVersion(1), .requiresApiKeys = true });
    cr_assert(it.requiresApiKeys());
    it.onConfiguration({ .version = ConfigurationVersion(2) });
    cr_assert_not(it.requiresApiKeys());
}

// Guards against limits that cannot be read and are looser than those before.
Test(catalog, unreadableLimitsPermitNoMoreThanBefore)
{
    Catalog it;
    const CallerLimits strict { .maxHeaderBytes = 100, .maxBodyBytes = 1000, .headerTimeout = Duration(50) };
    it.onConfiguration({ .version = ConfigurationVersion(1), .callerLimits = strict });
    it.onConfiguration({ .version = ConfigurationVersion(2), .hasUnreadableLimits = true });
    cr_assert_eq(it.configuration().callerLimits.maxHeaderBytes, 100);
    cr_assert_eq(it.configuration().callerLimits.maxBodyBytes, 1000);
    cr_assert(it.configuration().callerLimits.headerTimeout == Duration(50));
    it.onConfiguration({ .version = ConfigurationVersion(3) });
    cr_assert_eq(it.configuration().callerLimits.maxBodyBytes, CallerLimits().maxBodyBytes);
}

Test(catalog, minTargetLatencyCoversAllRoutesOfService)
{
    Catalog it;
    Route slow = route("h", "/slow/");
    slow.services = { { .service = ServiceName("s") } };
    slow.targetLatency = Duration(3000);
    Route fast = slow;
    fast.pathPrefix = "/quick/";
    fast.targetLatency = Duration(1000);
    it.onConfiguration({ .version = ConfigurationVersion(1), .routes = { slow, fast } });
    cr_assert(it.minTargetLatency(ServiceName("s")) == Duration(1000));
    cr_assert_not(it.minTargetLatency(ServiceName("none")).has_value());
}

Test(catalog, reportsOfEarlierIncarnationAreIgnored)
{
    Catalog it;
    cr_assert(it.onUpstream(upstream("u", 10), START));
    cr_assert_not(it.onUpstream(upstream("u", 10), START), "same incarnation");
    Upstream delayed = upstream("u", 9);
    delayed.phase = UpstreamPhase::Draining;
    cr_assert_not(it.onUpstream(delayed, START));
    cr_assert(it.upstream(UpstreamId("u"))->isReady(START));
    cr_assert(it.onUpstream(upstream("u", 11), START));
}

Test(catalog, registrationExpiredDuringOutageKeepsGracePeriod)
{
    Catalog it;
    it.onUpstream(upstream("kept"), START);
    it.onUpstream(upstream("lost"), START);
    const TimePoint until = START + Duration(2000);
    it.onUpstreamGone(UpstreamId("kept"), until);
    it.onUpstreamGone(UpstreamId("lost"), until);
    cr_assert(it.upstream(UpstreamId("lost"))->isReady(START));
    it.onUpstream(upstream("kept"), START + Duration(1000));
    cr_assert_eq(it.removeExpired(until).size(), 1);
    cr_assert(it.upstream(UpstreamId("kept"))->isReady(until));
    cr_assert(it.upstream(UpstreamId("lost")) == nullptr);
}

Test(catalog, drainingUpstreamIsRemovedAtOnceDuringOutage)
{
    Catalog it;
    Upstream draining = upstream("u");
    draining.phase = UpstreamPhase::Draining;
    it.onUpstream(draining, START);
    it.onUpstreamGone(UpstreamId("u"), START + Duration(2000));
    cr_assert(it.upstream(UpstreamId("u")) == nullptr);
}

Test(catalog, repeatedRolloutOrderKeepsReceiveTime)
{
    Catalog it;
    const RolloutOrder order {
        .service = ServiceName("s"), .target = SoftwareVersion("v2"), .duration = Duration(100)
    };
    it.onRollout(order, START);
    it.onRollout(order, START + Duration(50));
    cr_assert(it.rollouts().at(ServiceName("s")).receivedAt == START);
    it.onRolloutWithdrawn(ServiceName("s"));
    cr_assert(it.rollouts().empty());
}
