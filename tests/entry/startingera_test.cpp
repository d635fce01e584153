#include "hostfixture.h"

#include <criterion/criterion.h>

// Hosts that start while the store holds an older copy of itself, or long after that, seen by callers.
using namespace fireflyhaven;
using namespace fireflyhaven::test;

namespace {

constexpr std::size_t HOSTS = 3;
// As on the deployments: a host that starts is in touch after this time, and all hosts have recovered after that one.
constexpr Duration CONTACT { 3000 };
constexpr Duration RECOVERY { 12'000 };
// The operator writes again what the store has lost within about this time.
constexpr Duration REWRITE_TIME { 2000 };
// Longer than whatever a host waits for in a new era.
constexpr Duration SETTLED { 7000 };

const std::string STANDING_KEY = "Authorization: Token standing\r\n";

void pass(Deployment& it, Duration time)
{
    const TimePoint end = it.loop.clock().now() + time;
    it.await([&] { return it.loop.clock().now() >= end; }, "time passes");
}

void configure(Deployment& it, int version, const std::vector<std::string>& keys)
{
    nlohmann::json document = configuration(version);
    document["tenants"][0]["api_keys"] = keys;
    it.put(store::Topic::Operator, "config", document);
}

// The operator's newest configuration, which takes the key "secret" away.
void takeKeyAway(Deployment& it) { configure(it, 4, { "standing" }); }

std::unique_ptr<Deployment> startDeployment()
{
    auto it = std::make_unique<Deployment>(HOSTS);
    configure(*it, 3, { "secret", "standing" });
    it->awaitDiscovery();
    return it;
}

bool accepts(Deployment& it, std::size_t host, const std::string& key)
{
    return it.hosts[host].host && hasStatus(it.request(host, "/keyed/x", key), STATUS_OK);
}

// No running host accepts the key that was taken away, for as long as this.
void checkRefused(Deployment& it, Duration time)
{
    const TimePoint end = it.loop.clock().now() + time;
    while (it.loop.clock().now() < end) {
        for (std::size_t n = 0; n < it.hosts.size(); ++n)
            cr_assert_not(accepts(it, n, KEY_HEADER), "host %zu accepts a key that was taken away", n);
        it.loop.runPending();
    }
}

// The host accepts the key that stands within the time.
void checkServes(Deployment& it, std::size_t host, Duration time)
{
    const TimePoint end = it.loop.clock().now() + time;
    while (!accepts(it, host, STANDING_KEY)) {
        cr_assert(it.loop.clock().now() < end, "host %zu refuses a key that stands", host);
        it.loop.runPending();
    }
}

// A store that has come back from a copy of before the newest configuration.
SharedRecords olderCopy(Deployment& it)
{
    SharedRecords copy = it.copyOfStore();
    takeKeyAway(it);
    pass(it, 2 * REVOCATION);
    return copy;
}

}

// Guards against a host that takes the copy for whole because it knows no earlier era (review/9).
Test(starting_era, keyOfCopyIsRefusedByEachHostThatStarts, .timeout = 60)
{
    for (std::size_t n = 0; n < HOSTS; ++n) {
        const auto it = startDeployment();
        const SharedRecords copy = olderCopy(*it);
        it->stopHost(n);
        it->restoreStore(copy);
        it->restartHosts({ n });
        checkRefused(*it, REWRITE_TIME);
        takeKeyAway(*it);
        checkRefused(*it, REVOCATION);
        checkServes(*it, n, CONTACT);
    }
}

// Guards against hosts that learn from each other what none of them knows.
Test(starting_era, keyOfCopyIsRefusedWhereAllHostsStart, .timeout = 60)
{
    const auto it = startDeployment();
    const SharedRecords copy = olderCopy(*it);
    it->restoreStore(copy);
    const TimePoint startedAt = it->loop.clock().now();
    it->restartHosts({ 0, 1, 2 });
    checkRefused(*it, REWRITE_TIME);
    takeKeyAway(*it);
    for (std::size_t n = 0; n < HOSTS; ++n)
        checkServes(*it, n, RECOVERY - (it->loop.clock().now() - startedAt));
    checkRefused(*it, REVOCATION);
}

// Guards against the last host that knows better ending before those that started have learned from it.
Test(starting_era, keyOfCopyIsRefusedWhereHostsStartOneAfterTheOther, .timeout = 60)
{
    constexpr Duration BETWEEN { 600 };
    const auto it = startDeployment();
    const SharedRecords copy = olderCopy(*it);
    it->restoreStore(copy);
    for (std::size_t n = 0; n < HOSTS; ++n) {
        it->restartHosts({ n });
        checkRefused(*it, BETWEEN);
    }
    takeKeyAway(*it);
    checkRefused(*it, REVOCATION);
    for (std::size_t n = 0; n < HOSTS; ++n)
        checkServes(*it, n, CONTACT);
}

// Guards against a host that has verified the first copy and takes the second one for verified too.
Test(starting_era, keyOfSecondCopyIsRefused, .timeout = 60)
{
    constexpr Duration BETWEEN { 700 };
    const auto it = startDeployment();
    const SharedRecords copy = olderCopy(*it);
    it->restoreStore(copy);
    it->addHost();
    checkRefused(*it, BETWEEN);
    it->restoreStore(copy);
    it->addHost();
    checkRefused(*it, REWRITE_TIME);
    takeKeyAway(*it);
    checkRefused(*it, REVOCATION);
    for (std::size_t n = 0; n < it->hosts.size(); ++n)
        checkServes(*it, n, CONTACT);
}

// A host has read only the copy when the others are heard. Guards against keeping the copy's records until the operator
// has written again, though the others know better.
Test(starting_era, hostTakesWhatOthersKnowThoughTheyAnswerLate, .timeout = 60)
{
    const auto it = startDeployment();
    const SharedRecords copy = olderCopy(*it);
    it->put(store::Topic::Operator, "evacuate/a", nlohmann::json::object());
    pass(*it, 2 * REVOCATION);
    it->restoreStore(copy);
    it->addHost();
    const TimePoint end = it->loop.clock().now() + CONTACT;
    const auto isEvacuated = [&] {
        const std::string answer = it->call(*it->hosts.back().settings.metrics, "/state");
        const auto state = nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
        return state["evacuated"] == nlohmann::json::array({ "a" });
    };
    while (!isEvacuated()) {
        cr_assert(it->loop.clock().now() < end, "the newcomer does not know of the evacuation");
        it->loop.runPending();
    }
}

// A host could not read the store while the key was taken away, and knows no more than the copy then. Guards against
// taking a copy for whole because it has nothing older than the host itself.
Test(starting_era, keyOfCopyIsRefusedByHostThatWasCutOff, .timeout = 60)
{
    Deployment it(1);
    configure(it, 3, { "secret", "standing" });
    checkServes(it, 0, CONTACT);
    const SharedRecords copy = it.copyOfStore();
    it.hosts[0].store->reachable = false;
    takeKeyAway(it);
    pass(it, 2 * REVOCATION);
    it.restoreStore(copy);
    it.hosts[0].store->reachable = true;
    checkRefused(it, REWRITE_TIME);
    takeKeyAway(it);
    checkRefused(it, REVOCATION);
    checkServes(it, 0, RECOVERY);
}

// Guards against a pause at each start in an era that is not the first one.
Test(starting_era, standingKeyIsServedSoonByHostThatStartsInCalm, .timeout = 60)
{
    const auto it = startDeployment();
    const SharedRecords copy = olderCopy(*it);
    it->restoreStore(copy);
    takeKeyAway(*it);
    pass(*it, SETTLED);
    for (std::size_t n = 0; n < HOSTS; ++n) {
        it->restartHosts({ n });
        checkServes(*it, n, CONTACT);
    }
    it->addHost();
    checkServes(*it, HOSTS, CONTACT);
    checkRefused(*it, REVOCATION);
}

// Guards against a pause whenever all hosts start, although the store has lost nothing.
Test(starting_era, standingKeyIsServedSoonWhereAllHostsStartInCalm, .timeout = 60)
{
    const auto it = startDeployment();
    takeKeyAway(*it);
    pass(*it, 2 * REVOCATION);
    it->restartHosts({ 0, 1, 2 });
    for (std::size_t n = 0; n < HOSTS; ++n)
        checkServes(*it, n, CONTACT);
    checkRefused(*it, REVOCATION);
}
