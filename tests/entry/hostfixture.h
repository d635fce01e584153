#pragma once

#include "../../src/http/tests/loopfixture.h"
#include "fireflyhaven/entry/entryhost.h"
#include "fireflyhaven/http/eventserver.h"
#include "fireflyhaven/http/types/status.h"
#include "cuttableclient.h"
#include "memorystore.h"
#include "platform/wirecodec.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <vector>

// Entry hosts with real sockets in one process, with in-process upstreams and an in-memory store.
namespace fireflyhaven::test {

using http::test::EventLoop;
using http::test::RawPeer;

inline constexpr Duration REVOCATION { 1200 };
inline constexpr Duration ROUTE_TIMEOUT { 5000 };
inline constexpr Duration BRIEF_ROUTE_TIMEOUT { 800 };
// The same on all hosts. Below the ports that the system assigns, so that no other listener of a host has it.
inline constexpr std::uint16_t FIRST_PEER_PORT = 20'000;

inline nlohmann::json configuration(int version, bool withSecondRoute = false)
{
    using nlohmann::json;
    json routes = json::array();
    const auto add = [&](const std::string& name, const std::string& type, Duration timeout, bool anonymous) {
        routes.push_back({ { "name", name }, { "host", "h" }, { "path_prefix", "/" + name + "/" }, { "type", type },
            { "timeout_ms", timeout.count() }, { "max_attempts", 2 }, { "anonymous", anonymous }, { "service", "s" } });
    };
    add("keyed", "idempotent", ROUTE_TIMEOUT, false);
    add("open", "idempotent", ROUTE_TIMEOUT, true);
    add("order", "non_idempotent", ROUTE_TIMEOUT, true);
    add("brief", "non_idempotent", BRIEF_ROUTE_TIMEOUT, true);
    if (withSecondRoute)
        add("later", "idempotent", ROUTE_TIMEOUT, true);
    return { { "version", version }, { "routes", routes },
        { "services", { { { "name", "s" }, { "max_connections", 50 } } } },
        { "tenants", { { { "name", "w" }, { "api_keys", { "secret" } } } } } };
}

// An upstream of the test, which answers at once.
struct FakeUpstream {
    UpstreamId id;
    http::Endpoint address;
    std::unique_ptr<http::EventServer> server;
    // Request limit that its answers name, as sent; none if empty.
    std::string limit;
    // Arrival times of the requests, oldest first.
    std::vector<TimePoint> arrivals;
    // When a crashed upstream starts again; no value while it runs.
    std::optional<TimePoint> restartsAt;
    int starts = 0;
};

// A request that an upstream is processing, and will answer at the given time.
struct PendingAnswer {
    std::size_t upstream = 0;
    std::shared_ptr<http::Exchange> exchange;
    TimePoint answeredAt {};
};

struct Host {
    std::unique_ptr<MemoryStore> store;
    entry::EntrySettings settings;
    std::unique_ptr<Links> links = std::make_unique<Links>();
    std::unique_ptr<entry::EntryHost> host;
};

class Deployment {
public:
    explicit Deployment(std::size_t hosts, std::size_t upstreamCount = 1)
        : upstreams(upstreamCount)
    {
        for (std::size_t n = 0; n < upstreamCount; ++n)
            startUpstream(n);
        for (std::size_t n = 0; n < hosts; ++n)
            startHost(n, FirstStart::Yes);
    }

    void put(store::Topic topic, const std::string& key, const nlohmann::json& value)
    {
        m_records.topics[topic].push_back({ .key = key, .value = value.dump() });
    }
    void remove(store::Topic topic, const std::string& key) { m_records.topics[topic].push_back({ .key = key }); }
    // A host that starts later than the system.
    void addHost() { startHost(hosts.size(), FirstStart::No); }
    // The hosts' processes end and start again.
    void restartHosts(const std::vector<std::size_t>& numbers)
    {
        for (const std::size_t n : numbers)
            stopHost(n);
        for (const std::size_t n : numbers)
            startProcess(hosts[n]);
    }
    void stopHost(std::size_t n)
    {
        hosts[n].host.reset();
        // The callbacks of the calls that it had made to the store have to find it.
        m_stores.push_back(std::move(hosts[n].store));
        hosts[n].settings.bootstrap = false;
    }
    void configure(int version, bool withSecondRoute = false)
    {
        put(store::Topic::Operator, "config", configuration(version, withSecondRoute));
    }

    SharedRecords copyOfStore() const { return m_records; }
    void restoreStore(const SharedRecords& copy) { m_records.restore(copy); }

    // Sends one GET request; returns the raw bytes of the answer.
    std::string call(const http::Endpoint& address, const std::string& target, const std::string& headers = {})
    {
        RawPeer caller(loop, address);
        caller.send("GET " + target + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + nextId() + "\r\nConnection: close\r\n"
            + headers + "\r\n");
        caller.awaitClose();
        return caller.received();
    }
    std::string request(std::size_t host, const std::string& target, const std::string& headers = {})
    {
        return call(hosts[host].settings.frontend, target, headers);
    }
    bool isReady(std::size_t host)
    {
        return call(hosts[host].settings.readiness, "/fireflyhaven/readyz").starts_with("HTTP/1.1 200 ");
    }
    std::vector<std::string> addresses(std::size_t host)
    {
        const std::string answer = call(hosts[host].settings.directory, "/fireflyhaven/resolve?name=h&region=r&zone=a");
        return nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n") + 4))["addresses"]
            .get<std::vector<std::string>>();
    }
    void awaitDiscovery()
    {
        for (std::size_t n = 0; n < hosts.size(); ++n)
            await([&] { return addresses(n).size() == hosts.size(); }, "all hosts have discovered each other");
    }
    // Cuts the host off from all upstreams, and waits until it hands its requests to another host.
    void cutOffUntilHandedOver(std::size_t n);
    // Runs the loop until the condition holds.
    template <typename Condition> void await(Condition condition, const char* description)
    {
        constexpr Duration AWAIT_TIMEOUT { 10'000 };
        const TimePoint end = loop.clock().now() + AWAIT_TIMEOUT;
        while (!condition()) {
            cr_assert(loop.clock().now() < end, "timed out waiting until %s", description);
            loop.runPending();
        }
    }

    EventLoop loop;
    std::vector<Host> hosts;
    std::vector<FakeUpstream> upstreams;
    // Heads of the requests that the upstreams received.
    std::vector<http::RequestHead> received;
    // Exchanges that the upstreams have not answered; filled while `holdAnswers` is set.
    std::vector<std::shared_ptr<http::Exchange>> heldExchanges;
    bool holdAnswers = false;
    // Time that the upstreams take for each answer; the test calls `stepUpstreams` in short intervals where it is set.
    Duration answerTime {};
    // Upstreams crash when they begin to answer a request whose prompt has this part; none if empty.
    std::string deadlyPart;
    // Instead of crashing, they only close the connection of such a request.
    bool closeInsteadOfCrash = false;
    // Arrivals of such requests, and the crashes.
    std::vector<TimePoint> deadlyArrivals;
    std::vector<TimePoint> crashes;

    // Sends the answers that are due, and restarts crashed upstreams.
    void stepUpstreams()
    {
        const TimePoint now = loop.clock().now();
        for (std::size_t n = 0; n < m_pending.size();) {
            if (m_pending[n].answeredAt > now) {
                ++n;
                continue;
            }
            const PendingAnswer due = std::move(m_pending[n]);
            m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(n));
            if (isDeadly(due.exchange->head()) && closeInsteadOfCrash) {
                due.exchange->abort();
            } else if (isDeadly(due.exchange->head())) {
                crash(due.upstream);
                n = 0;
            } else {
                answer(*due.exchange);
            }
        }
        for (std::size_t n = 0; n < upstreams.size(); ++n) {
            if (upstreams[n].restartsAt && now >= *upstreams[n].restartsAt)
                startUpstream(n);
        }
    }
    // Ends all connections of the upstream; it starts again after a second.
    void crash(std::size_t n)
    {
        constexpr Duration RESTART_TIME { 1000 };
        if (upstreams[n].restartsAt)
            return;
        crashes.push_back(loop.clock().now());
        std::erase_if(m_pending, [n](const PendingAnswer& it) { return it.upstream == n; });
        upstreams[n].server.reset();
        upstreams[n].restartsAt = loop.clock().now() + RESTART_TIME;
    }

    void answer(http::Exchange& exchange, const std::string& limit = {})
    {
        http::ResponseHead head { .status = STATUS_OK };
        if (!limit.empty())
            head.headers.add("Server-Limit", limit);
        head.headers.add("X-Server-Seal", "seal");
        head.headers.add("X-Attempt-Id", *exchange.head().headers.find("X-Attempt-Id"));
        exchange.sendResponse(head, "from upstream");
    }

private:
    std::string nextId() { return "attempt-" + std::to_string(++m_lastId); }

    void startUpstream(std::size_t n)
    {
        FakeUpstream& it = upstreams[n];
        it.id = UpstreamId("u-" + std::to_string(n + 1));
        if (it.starts++ == 0)
            it.address = loop.freeEndpoint(http::test::uniqueLoopbackIp());
        it.restartsAt.reset();
        const auto onRequest = [this, &it, n](std::shared_ptr<http::Exchange> exchange) {
            received.push_back(exchange->head());
            it.arrivals.push_back(loop.clock().now());
            if (isDeadly(exchange->head()))
                deadlyArrivals.push_back(loop.clock().now());
            if (holdAnswers)
                heldExchanges.push_back(std::move(exchange));
            else if (answerTime > Duration(0))
                m_pending.push_back(
                    { .upstream = n, .exchange = std::move(exchange), .answeredAt = loop.clock().now() + answerTime });
            else
                answer(*exchange, it.limit);
        };
        handleFailure(
            [&]() -> Result<int> {
                BOOST_LEAF_ASSIGN(
                    it.server, http::EventServer::start(loop.io(), loop.clock(), { .listen = it.address }, onRequest));
                return 0;
            },
            [](const Failure& failure) {
                cr_assert(false, "%s", failure.message.c_str());
                return 1;
            });
        put(store::Topic::Upstreams, it.id.value(),
            { { "service", "s" }, { "address", it.address.text() }, { "zone", "a" }, { "version", "v1" },
                { "batch_slots", 8 }, { "phase", "ready" }, { "warmup_left_ms", 0 }, { "born", it.starts } });
    }
    bool isDeadly(const http::RequestHead& head) const
    {
        const std::string* parts = head.headers.find("X-Prefix-Hash");
        return !deadlyPart.empty() && parts && parts->find(deadlyPart + ":") != std::string::npos;
    }

    enum class FirstStart { Yes, No };

    void startHost(std::size_t n, FirstStart first)
    {
        const std::string ip = http::test::uniqueLoopbackIp(static_cast<int>(11 + n));
        const auto [frontend, readiness, directory, metrics] = loop.freeEndpoints<4>(ip);
        Host it;
        it.settings = { .host = HostId("host-" + std::to_string(n)),
            .dataCentre = DataCentreId("a"),
            .region = RegionId("r"),
            .frontend = frontend,
            .readiness = readiness,
            .directory = directory,
            .metrics = metrics };
        it.settings.firstPeerPort = FIRST_PEER_PORT;
        it.settings.lastPeerPort = FIRST_PEER_PORT + 1;
        it.settings.bounds.revocation = REVOCATION;
        it.settings.bootstrap = first == FirstStart::Yes;
        hosts.push_back(std::move(it));
        startProcess(hosts.back());
    }

    void startProcess(Host& it)
    {
        it.store = std::make_unique<MemoryStore>(loop.io(), m_records);
        const auto createClient = [this, links = it.links.get()] {
            return std::make_unique<CuttableClient>(loop.io(), loop.clock(), *links);
        };
        handleFailure(
            [&]() -> Result<int> {
                BOOST_LEAF_ASSIGN(it.host,
                    entry::EntryHost::start(loop.io(), loop.clock(), m_codec, *it.store, it.settings, createClient));
                return 0;
            },
            [](const Failure& failure) {
                cr_assert(false, "%s", failure.message.c_str());
                return 1;
            });
    }

    SharedRecords m_records;
    // Of processes that have ended.
    std::vector<std::unique_ptr<MemoryStore>> m_stores;
    const platform::WireCodec m_codec;
    int m_lastId = 0;
    std::vector<PendingAnswer> m_pending;
};

inline const std::string KEY_HEADER = "Authorization: Token secret\r\n";

inline bool hasStatus(const std::string& answer, int status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

inline void Deployment::cutOffUntilHandedOver(std::size_t n)
{
    hosts[n].links->cut = Cut::Refusing;
    await([&] { return hasStatus(request(n, "/keyed/x", KEY_HEADER), STATUS_OK); }, "requests are handed over");
}

}
