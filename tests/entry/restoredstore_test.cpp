#include "hostfixture.h"

#include <criterion/criterion.h>

// Whole hosts whose store comes back from an older copy of itself, seen by callers.
using namespace fireflyhaven;
using namespace fireflyhaven::test;

namespace {

constexpr std::size_t HOSTS = 4;
// The bound of revocation, and as much again for the restoration to settle.
constexpr Duration MAX_TIME = 2 * REVOCATION;
// Longer than anything that a host does once the store is back, but for what was not written again.
constexpr Duration SETTLING_TIME { 3000 };

void pass(Deployment& it, Duration time)
{
    const TimePoint end = it.loop.clock().now() + time;
    it.await([&] { return it.loop.clock().now() >= end; }, "time passes");
}

std::unique_ptr<Deployment> startDeployment(std::size_t upstreams)
{
    auto it = std::make_unique<Deployment>(HOSTS, upstreams);
    it->configure(3);
    it->awaitDiscovery();
    return it;
}

bool servesAll(Deployment& it)
{
    for (std::size_t n = 0; n < HOSTS; ++n) {
        if (!hasStatus(it.request(n, "/keyed/x", KEY_HEADER), STATUS_OK))
            return false;
    }
    return true;
}

void awaitServesAll(Deployment& it)
{
    it.await([&] { return servesAll(it); }, "all hosts accept the key");
}

// The operator takes the key away; no host may accept it once its time is over.
void checkRevocation(Deployment& it, int version)
{
    nlohmann::json withoutKey = configuration(version);
    withoutKey["tenants"][0]["api_keys"] = nlohmann::json::array({ "another" });
    it.put(store::Topic::Operator, "config", withoutKey);
    pass(it, MAX_TIME);
    for (std::size_t n = 0; n < it.hosts.size(); ++n)
        cr_expect(!hasStatus(it.request(n, "/keyed/x", KEY_HEADER), STATUS_OK), "host %zu accepts the key", n);
}

// Requests that reach the upstream while each host gets some.
std::size_t arrivalsAt(Deployment& it, std::size_t upstream)
{
    constexpr int REQUESTS = 10;
    const std::size_t before = it.upstreams[upstream].arrivals.size();
    for (int n = 0; n < REQUESTS; ++n)
        servesAll(it);
    return it.upstreams[upstream].arrivals.size() - before;
}

}

// One host reads the store, the others follow it. Guards against followers that miss what the operator writes after the
// restoration, and go on accepting a key that was taken away (review/2).
Test(restored_store, keyThatIsTakenAwayAfterwardsIsRefusedByAllHosts, .timeout = 60)
{
    const auto it = startDeployment(1);
    const SharedRecords copy = it->copyOfStore();
    it->configure(4);
    it->configure(5);
    awaitServesAll(*it);
    it->loop.runPending();
    it->restoreStore(copy);
    it->configure(5);
    pass(*it, SETTLING_TIME);
    awaitServesAll(*it);
    checkRevocation(*it, 6);
}

// Until the operator has written again what the store has lost, no host's configuration is confirmed. Guards against
// hosts that all refuse requests without keys meanwhile, each because others reach the store.
Test(restored_store, openRouteIsServedUntilTheOperatorHasWrittenAgain, .timeout = 60)
{
    const auto it = startDeployment(1);
    const SharedRecords copy = it->copyOfStore();
    it->configure(4);
    pass(*it, SETTLING_TIME / 4);
    it->restoreStore(copy);
    pass(*it, SETTLING_TIME);
    for (std::size_t n = 0; n < it->hosts.size(); ++n)
        cr_expect(hasStatus(it->request(n, "/open/x"), STATUS_OK), "host %zu refuses", n);
}

// Guards against hosts that take the second restoration for the first one.
Test(restored_store, keyIsRefusedAfterTwoRestorationsInARow, .timeout = 60)
{
    constexpr Duration BETWEEN { 400 };
    const auto it = startDeployment(1);
    const SharedRecords copy = it->copyOfStore();
    it->configure(4);
    it->configure(5);
    awaitServesAll(*it);
    it->restoreStore(copy);
    it->configure(5);
    pass(*it, BETWEEN);
    it->restoreStore(copy);
    it->configure(5);
    pass(*it, SETTLING_TIME);
    awaitServesAll(*it);
    checkRevocation(*it, 6);
}

// A key was taken away before the loss, and the copy still has it. Guards against accepting it again meanwhile.
Test(restored_store, keyThatWasTakenAwayBeforeStaysRefused, .timeout = 60)
{
    const auto it = startDeployment(1);
    const SharedRecords copy = it->copyOfStore();
    checkRevocation(*it, 4);
    it->restoreStore(copy);
    const TimePoint end = it->loop.clock().now() + SETTLING_TIME;
    while (it->loop.clock().now() < end) {
        for (std::size_t n = 0; n < HOSTS; ++n)
            cr_assert(!hasStatus(it->request(n, "/keyed/x", KEY_HEADER), STATUS_OK), "host %zu accepts the key", n);
    }
}

// An upstream has left, and the copy still names it. Guards against sending to it again.
Test(restored_store, upstreamThatHasLeftIsNotUsedAgain, .timeout = 60)
{
    const auto it = startDeployment(2);
    awaitServesAll(*it);
    const SharedRecords copy = it->copyOfStore();
    it->remove(store::Topic::Upstreams, it->upstreams[0].id.value());
    pass(*it, MAX_TIME);
    cr_assert_eq(arrivalsAt(*it, 0), 0, "it has left");
    it->restoreStore(copy);
    pass(*it, SETTLING_TIME / 3);
    cr_assert_eq(arrivalsAt(*it, 0), 0, "the copy still names it");
    cr_assert_gt(arrivalsAt(*it, 1), 0);
}

// An evacuation was acknowledged and the copy lacks it. Guards against sending to its data centre before it is written
// again.
Test(restored_store, evacuationStaysInForce, .timeout = 60)
{
    const auto it = startDeployment(1);
    awaitServesAll(*it);
    const SharedRecords copy = it->copyOfStore();
    it->put(store::Topic::Operator, "evacuate/a", nlohmann::json::object());
    pass(*it, MAX_TIME);
    cr_assert_eq(arrivalsAt(*it, 0), 0, "the data centre is evacuated");
    it->restoreStore(copy);
    pass(*it, SETTLING_TIME / 3);
    cr_assert_eq(arrivalsAt(*it, 0), 0, "the copy lacks the evacuation");
}

// A host starts while the store is back and holds only the copy. Guards against what a newcomer takes from the copy
// although the others know better.
Test(restored_store, hostThatStartsMeanwhileAcceptsNoKeyThatWasTakenAway, .timeout = 60)
{
    const auto it = startDeployment(1);
    const SharedRecords copy = it->copyOfStore();
    checkRevocation(*it, 4);
    it->restoreStore(copy);
    it->addHost();
    const TimePoint end = it->loop.clock().now() + SETTLING_TIME;
    while (it->loop.clock().now() < end) {
        cr_assert(!hasStatus(it->request(HOSTS, "/keyed/x", KEY_HEADER), STATUS_OK), "the newcomer accepts the key");
        it->loop.runPending();
    }
}
