#include "hostfixture.h"

#include <criterion/criterion.h>

// Whole hosts whose store comes back from an older copy of itself, seen by callers.
using namespace fireflyhaven;
using namespace fireflyhaven::test;

// One host reads the store, the others follow it. Guards against followers that miss what the operator writes after the
// restoration, and go on accepting a key that was taken away (review/2).
Test(restored_store, keyThatIsTakenAwayAfterwardsIsRefusedByAllHosts, .timeout = 60)
{
    constexpr std::size_t HOSTS = 4;
    // The bound of revocation, and as much again for the restoration to settle.
    constexpr Duration MAX_TIME = 2 * REVOCATION;
    Deployment it(HOSTS);
    it.configure(3);
    for (std::size_t n = 0; n < HOSTS; ++n)
        it.await([&] { return it.addresses(n).size() == HOSTS; }, "all hosts have discovered each other");
    const SharedRecords copy = it.copyOfStore();
    it.configure(4);
    it.configure(5);
    const auto servesAll = [&] {
        for (std::size_t n = 0; n < HOSTS; ++n) {
            if (!hasStatus(it.request(n, "/keyed/x", KEY_HEADER), STATUS_OK))
                return false;
        }
        return true;
    };
    it.await(servesAll, "all hosts accept the key");
    it.loop.runPending();
    it.restoreStore(copy);
    it.configure(5);
    constexpr Duration SETTLING_TIME { 3000 };
    const TimePoint settled = it.loop.clock().now() + SETTLING_TIME;
    it.await([&] { return it.loop.clock().now() >= settled; }, "the store has been back for long");
    it.await(servesAll, "all hosts accept the key");

    nlohmann::json withoutKey = configuration(6);
    withoutKey["tenants"][0]["api_keys"] = nlohmann::json::array({ "another" });
    it.put(store::Topic::Operator, "config", withoutKey);
    const TimePoint bound = it.loop.clock().now() + MAX_TIME;
    it.await([&] { return it.loop.clock().now() >= bound; }, "the time that the hosts have is over");
    for (std::size_t n = 0; n < HOSTS; ++n)
        cr_assert(!hasStatus(it.request(n, "/keyed/x", KEY_HEADER), STATUS_OK), "host %zu accepts the key", n);
}
