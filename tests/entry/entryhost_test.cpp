#include "hostfixture.h"

#include "fireflyhaven/telemetry/boundedsink.h"
#include "fireflyhaven/telemetry/jsonformatter.h"

#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <array>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::test;
using nlohmann::json;

Test(entry_host, requestIsForwardedAndAnswerReturned)
{
    Deployment it(1);
    it.configure(3);
    it.await([&] { return it.isReady(0); }, "the host is ready");
    const std::string answer = it.request(0, "/open/x?y=%20z");
    cr_assert(hasStatus(answer, 200) && answer.ends_with("from upstream"));
    cr_assert(it.received.size() == 1 && it.received.front().target == "/open/x?y=%20z");
    cr_assert(*it.received.front().headers.find("X-Expect-Instance") == "u-1");
}

Test(entry_host, unavailableWithoutConfiguration)
{
    Deployment it(1);
    cr_assert_not(it.isReady(0));
    cr_assert(hasStatus(it.request(0, "/open/x"), 503));
    cr_assert(it.received.empty());
}

// Guards against a host that refuses everybody in the moments between its start and its first configuration.
Test(entry_host, requestsBeforeTheFirstConfigurationAreServedOnceItIsThere)
{
    Deployment it(1);
    http::test::RawPeer keyed(it.loop, it.hosts[0].settings.frontend);
    http::test::RawPeer order(it.loop, it.hosts[0].settings.frontend);
    keyed.send("GET /keyed/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a-1\r\nConnection: close\r\n" + KEY_HEADER + "\r\n");
    order.send("GET /order/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a-2\r\nConnection: close\r\n\r\n");
    it.loop.runPending();
    cr_assert(keyed.received().empty() && order.received().empty());
    it.configure(3);
    keyed.awaitClose();
    order.awaitClose();
    cr_assert(hasStatus(keyed.received(), 200) && hasStatus(order.received(), 200));
    cr_assert_eq(it.received.size(), 2);
}

Test(entry_host, unknownRoutesAndKeysAreRejected)
{
    Deployment it(1);
    it.configure(3);
    it.await([&] { return it.isReady(0); }, "the host is ready");
    cr_assert(hasStatus(it.request(0, "/nowhere/x"), 404));
    cr_assert(hasStatus(it.request(0, "/keyed/x"), 401));
    cr_assert(hasStatus(it.request(0, "/keyed/x", "Authorization: Token other\r\n"), 401));
    cr_assert(hasStatus(it.request(0, "/keyed/x", KEY_HEADER), 200));
    cr_assert(it.received.size() == 1);
}

// Guards against accepting revoked keys: a host that cannot reach the store does not learn of revocations.
Test(entry_host, keysExpireWithoutStoreAndOpenRoutesContinue)
{
    Deployment it(1);
    it.configure(3);
    it.await([&] { return it.isReady(0); }, "the host is ready");
    cr_assert(hasStatus(it.request(0, "/keyed/x", KEY_HEADER), 200));
    it.hosts[0].store->reachable = false;
    const TimePoint disconnectedAt = it.loop.clock().now();
    it.await([&] { return hasStatus(it.request(0, "/keyed/x", KEY_HEADER), 503); }, "keys have expired");
    cr_assert_lt(it.loop.clock().now() - disconnectedAt, REVOCATION + Duration(300));
    const std::size_t before = it.received.size();
    cr_assert(hasStatus(it.request(0, "/open/x"), 200));
    cr_assert(hasStatus(it.request(0, "/keyed/x", KEY_HEADER), 503));
    cr_assert(it.received.size() == before + 1);
    it.hosts[0].store->reachable = true;
    it.await([&] { return hasStatus(it.request(0, "/keyed/x", KEY_HEADER), 200); }, "keys are accepted again");
}

// Guards against outdated configurations and rejected keys on hosts that cannot reach the store while another one can.
Test(entry_host, hostWithoutStoreReadsFromAnotherHost)
{
    Deployment it(3);
    it.configure(3);
    for (std::size_t n = 0; n < it.hosts.size(); ++n)
        it.await([&] { return it.addresses(n).size() == it.hosts.size(); }, "all hosts have discovered each other");
    it.hosts[0].store->reachable = false;
    it.hosts[1].store->reachable = false;
    it.configure(4, true);
    for (std::size_t n = 0; n < it.hosts.size(); ++n)
        it.await([&] { return hasStatus(it.request(n, "/later/x"), 200); }, "the new route is served");
    const TimePoint now = it.loop.clock().now();
    it.await([&] { return it.loop.clock().now() - now > 2 * REVOCATION; }, "the bound has passed");
    for (std::size_t n = 0; n < it.hosts.size(); ++n)
        cr_assert(hasStatus(it.request(n, "/keyed/x", KEY_HEADER), 200), "host %zu", n);
}

// Guards against store load that grows with the number of hosts: those that read from another one make hardly any
// calls.
Test(entry_host, oneHostReadsTheStoreForAll)
{
    Deployment it(3);
    it.configure(3);
    for (std::size_t n = 0; n < it.hosts.size(); ++n)
        it.await([&] { return it.addresses(n).size() == it.hosts.size(); }, "all hosts have discovered each other");
    constexpr Duration OBSERVATION_TIME { 3000 };
    std::vector<std::uint64_t> before;
    for (const Host& host : it.hosts)
        before.push_back(host.store->calls());
    const TimePoint startedAt = it.loop.clock().now();
    it.await([&] { return it.loop.clock().now() - startedAt > OBSERVATION_TIME; }, "some time has passed");
    int readers = 0;
    for (std::size_t n = 0; n < it.hosts.size(); ++n)
        readers += it.hosts[n].store->calls() - before[n] > 4 ? 1 : 0;
    cr_assert(readers == 1, "%d hosts read the store", readers);
}

Test(entry_host, drainingHostFinishesRequestsAndLeavesDirectory)
{
    Deployment it(2);
    it.configure(3);
    for (std::size_t n = 0; n < 2; ++n)
        it.await([&] { return it.addresses(n).size() == 2; }, "both hosts have discovered each other");
    it.holdAnswers = true;
    RawPeer caller(it.loop, it.hosts[0].settings.frontend);
    caller.send("GET /open/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: held\r\n\r\n");
    it.loop.runUntil([&] { return !it.heldExchanges.empty(); }, "the upstream has received the request");
    bool stopped = false;
    it.hosts[0].host->shutDown([&] { stopped = true; });
    cr_assert_not(it.isReady(0));
    it.await([&] { return it.addresses(1) == std::vector { it.hosts[1].settings.frontend.text() }; },
        "the draining host is not listed");
    cr_assert_not(stopped);
    it.answer(*it.heldExchanges.front());
    caller.awaitClose();
    cr_assert(hasStatus(caller.received(), 200) && caller.received().ends_with("from upstream"));
    it.await([&] { return stopped; }, "the host has stopped");
}

Test(entry_host, metricsAndStateAreServed)
{
    Deployment it(1);
    it.configure(3);
    it.await([&] { return it.isReady(0); }, "the host is ready");
    it.request(0, "/open/x");
    it.request(0, "/nowhere/x");
    const std::string metrics = it.call(*it.hosts[0].settings.metrics, "/metrics");
    for (const std::string line : { "fireflyhaven_requests_total{route=\"open\",outcome=\"answered\"} 1",
             "fireflyhaven_requests_total{route=\"none\",outcome=\"rejected\"} 1",
             "fireflyhaven_configuration_version 3", "fireflyhaven_upstreams 1", "fireflyhaven_store_reachable 1" })
        cr_assert(metrics.find("\n" + line + "\n") != std::string::npos, "%s", line.c_str());
    for (const std::string name : { "fireflyhaven_loop_delay_seconds_count ", "fireflyhaven_exchange_layered 0",
             "fireflyhaven_knowledge_age_seconds_count " }) {
        const auto isServed
            = [&] { return it.call(*it.hosts[0].settings.metrics, "/metrics").find("\n" + name) != std::string::npos; };
        it.await(isServed, name.c_str());
    }
    const std::string answer = it.call(*it.hosts[0].settings.metrics, "/state");
    const json state = json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
    cr_assert(state["configuration"] == 3 && state["upstreams"][0]["upstream"] == "u-1");
    cr_assert(hasStatus(it.call(*it.hosts[0].settings.metrics, "/"), 404));
}

Test(entry_host, reloadedBoundsApply)
{
    Deployment it(1);
    it.configure(3);
    it.await([&] { return it.isReady(0); }, "the host is ready");
    it.hosts[0].store->reachable = false;
    it.await([&] { return hasStatus(it.request(0, "/keyed/x", KEY_HEADER), 503); }, "keys have expired");
    entry::EntrySettings settings = it.hosts[0].settings;
    settings.bounds.revocation = Duration(60'000);
    it.hosts[0].host->reload(settings);
    cr_assert(hasStatus(it.request(0, "/keyed/x", KEY_HEADER), 200));
}

// Guards against requests blocked by logging when the reader of standard output stops and the pipe is full.
Test(entry_host, fullLogPipeDelaysNoRequest)
{
    std::array<int, 2> pipeEnds {};
    cr_assert(pipe(pipeEnds.data()) == 0);
    auto sink = std::make_shared<telemetry::BoundedSink>(
        telemetry::BoundedSinkOptions { .descriptor = pipeEnds[1], .maxBufferedBytes = 8 * 1024 });
    auto logger = std::make_shared<spdlog::logger>("full", sink);
    logger->set_formatter(telemetry::makeJsonFormatter());
    spdlog::set_default_logger(logger);
    Deployment it(1);
    it.configure(3);
    it.await([&] { return it.isReady(0); }, "the host is ready");
    while (sink->droppedLines() == 0)
        spdlog::info("fills the pipe and the buffer");
    const std::uint64_t droppedBefore = sink->droppedLines();
    constexpr Duration MAX_ANSWER_TIME { 500 };
    for (int n = 0; n < 20; ++n) {
        const TimePoint startedAt = it.loop.clock().now();
        cr_assert(hasStatus(it.request(0, "/open/x"), 200));
        cr_assert_lt(it.loop.clock().now() - startedAt, MAX_ANSWER_TIME);
    }
    cr_assert_gt(sink->droppedLines(), droppedBefore);
}
