#include "hostfixture.h"

#include <criterion/criterion.h>

// Which configurations ask callers for an API key, seen by callers of whole hosts.
using namespace fireflyhaven;
using namespace fireflyhaven::test;
using nlohmann::json;

namespace {

constexpr std::size_t HOSTS = 3;
constexpr int FIRST_VERSION = 3;

const std::string UNKNOWN_KEY_HEADER = "Authorization: Token of-nobody\r\n";

void pass(Deployment& it, Duration time)
{
    const TimePoint end = it.loop.clock().now() + time;
    it.await([&] { return it.loop.clock().now() >= end; }, "time passes");
}

void configureTenants(Deployment& it, int version, const json& tenants)
{
    json document = configuration(version);
    document["tenants"] = tenants;
    it.put(store::Topic::Operator, "config", document);
}

void configureWithoutTenants(Deployment& it, int version)
{
    json document = configuration(version);
    document.erase("tenants");
    it.put(store::Topic::Operator, "config", document);
}

bool isServed(Deployment& it, std::size_t host, const std::string& headers)
{
    return hasStatus(it.request(host, "/keyed/x", headers), STATUS_OK);
}

std::unique_ptr<Deployment> startDeployment(std::size_t hosts)
{
    auto it = std::make_unique<Deployment>(hosts);
    it->configure(FIRST_VERSION);
    it->awaitDiscovery();
    for (std::size_t n = 0; n < hosts; ++n)
        it->await([&] { return isServed(*it, n, KEY_HEADER); }, "the host accepts the key");
    return it;
}

// No host runs a request with a key that the configuration in force does not hold, nor one without any.
void checkNobodyIsServed(Deployment& it, const std::string& when)
{
    for (std::size_t n = 0; n < it.hosts.size(); ++n) {
        for (const std::string& headers : { KEY_HEADER, UNKNOWN_KEY_HEADER, std::string() }) {
            const std::size_t before = it.received.size();
            it.request(n, "/keyed/x", headers);
            cr_expect_eq(
                it.received.size(), before, "%s: host %zu runs a request with '%s'", when.c_str(), n, headers.c_str());
        }
        cr_expect(hasStatus(it.request(n, "/open/x"), STATUS_OK), "%s: host %zu, a route for all", when.c_str(), n);
    }
}

}

// Guards against a configuration that takes the last keys away and lets everybody in (review/11).
Test(key_requirement, nobodyIsServedWhereTheLastTenantIsTakenAway, .timeout = 60)
{
    const auto it = startDeployment(HOSTS);
    configureTenants(*it, FIRST_VERSION + 1, json::array());
    pass(*it, REVOCATION);
    checkNobodyIsServed(*it, "no tenants");
    configureTenants(*it, FIRST_VERSION + 2, json::array());
    pass(*it, REVOCATION);
    checkNobodyIsServed(*it, "no tenants again");
    it->addHost();
    it->restartHosts({ 0 });
    it->await([&] { return it->isReady(0) && it->isReady(HOSTS); }, "the hosts that start are ready");
    checkNobodyIsServed(*it, "hosts that start");
}

// Guards against a list of tenants that cannot be read and lets everybody in.
Test(key_requirement, nobodyIsServedWhereTenantsCannotBeRead, .timeout = 60)
{
    const auto it = startDeployment(1);
    int version = FIRST_VERSION;
    for (const json& tenants : { json(nullptr), json(7), json("tenant-1"), json::object(), json::array({ 7, "w" }),
             json::array({ nullptr }), json::array({ { { "api_keys", { "secret" } } } }),
             json::array({ { { "name", "w" }, { "api_keys", "secret" } } }), json::array({ { { "name", "w" } } }),
             json::array({ { { "name", "w" }, { "api_keys", { 1, nullptr, "" } } } }) }) {
        configureTenants(*it, ++version, tenants);
        pass(*it, REVOCATION);
        checkNobodyIsServed(*it, tenants.dump());
    }
}

// Guards against one entry that cannot be read and locks out the callers of the others.
Test(key_requirement, readableTenantsAreServedBesideUnreadableOnes, .timeout = 60)
{
    const auto it = startDeployment(1);
    configureTenants(*it, FIRST_VERSION + 1, json::array({ 7, { { "name", "w" }, { "api_keys", { 1, "secret" } } } }));
    pass(*it, REVOCATION);
    cr_assert(isServed(*it, 0, KEY_HEADER));
    cr_assert_not(isServed(*it, 0, UNKNOWN_KEY_HEADER));
}

// The store comes back from a copy in which the keys still stand, while a host starts. Guards against a requirement
// that the copy, or a host that has only the copy, undoes.
Test(key_requirement, nobodyIsServedWhereTheStoreHoldsAnOlderCopy, .timeout = 60)
{
    const auto it = startDeployment(HOSTS);
    const SharedRecords copy = it->copyOfStore();
    configureTenants(*it, FIRST_VERSION + 1, json::array());
    pass(*it, REVOCATION);
    it->restoreStore(copy);
    it->restartHosts({ 1 });
    pass(*it, REVOCATION);
    checkNobodyIsServed(*it, "older copy");
    configureTenants(*it, FIRST_VERSION + 1, json::array());
    pass(*it, REVOCATION);
    checkNobodyIsServed(*it, "written again");
}

// Guards against asking for keys where the configuration knows none.
Test(key_requirement, everybodyIsServedWhereNoTenantsAreConfigured, .timeout = 60)
{
    Deployment it(HOSTS);
    configureWithoutTenants(it, FIRST_VERSION);
    it.awaitDiscovery();
    for (std::size_t n = 0; n < HOSTS; ++n) {
        it.await([&] { return isServed(it, n, {}); }, "the host serves a request without a key");
        cr_expect(isServed(it, n, UNKNOWN_KEY_HEADER), "host %zu asks for a key", n);
    }
}

// A request without a key waits, because keys are not asked for. Guards against sending it once they are.
Test(key_requirement, keyIsAskedForFromTheVersionThatIntroducesTenants, .timeout = 60)
{
    Deployment it(1);
    configureWithoutTenants(it, FIRST_VERSION);
    it.await([&] { return isServed(it, 0, {}); }, "the host serves a request without a key");
    it.configure(FIRST_VERSION + 1);
    pass(it, REVOCATION);
    cr_assert(hasStatus(it.request(0, "/keyed/x"), STATUS_UNAUTHORIZED));
    cr_assert(isServed(it, 0, KEY_HEADER));
}
