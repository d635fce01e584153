#include "localcluster.h"

#include "../../src/http/tests/loopfixture.h"
#include "fireflyhaven/peer/peerclient.h"
#include "peermessages.h"

#include <absl/time/clock.h>
#include <spdlog/spdlog.h>

#include <criterion/criterion.h>

namespace fireflyhaven::tests {

namespace {

constexpr std::uint16_t PLATFORM_PORT = 26900;
constexpr std::uint16_t HTTP_PORT = 26080;
constexpr std::uint16_t PEER_PORT = 26081;
constexpr std::uint16_t FIRST_UPSTREAM_PORT = 26100;
const std::string CLUSTER_KEY = "cluster key for tests";
const std::string OPERATOR_KEY = "operator key for tests";
const std::string WORKSPACE_KEY = "key of ws";

http::Response emptyResponse(int status, const std::string&, const std::string&)
{
    return { .status = status, .headers = {}, .body = {}, .stream = {} };
}

http::Headers bearerHeaders(const std::string& key) { return { { "Authorization", "Bearer " + key } }; }

}

LocalCluster::LocalCluster(int hostCount)
    : m_hostCount(hostCount)
    , m_platform(100'000, m_clock)
{
    spdlog::set_level(spdlog::level::off);
    const auto listen = [&](const std::string& ip, std::uint16_t port, http::Handler handler) {
        auto server = http::Server::start({ .ip = ip, .port = port }, std::move(handler), emptyResponse);
        cr_assert(server.has_value(), "cannot listen on %s", ip.c_str());
        m_servers.push_back(std::move(server.value()));
    };
    listen(dataCentreIp(0), PLATFORM_PORT, [this](const http::Request& it) { return m_platform.handle(it); });
    std::vector<config::ValidationError> errors;
    const config::Lists parsed = config::parseLists(lists(), errors);
    cr_assert(errors.empty());
    for (const auto& [id, item] : parsed.upstreams) {
        auto upstream = std::make_shared<standin::UpstreamStandin>(id.value(), item.value, m_clock);
        m_upstreams[id.value()] = upstream;
        listen(item.value.ip, item.value.port, [upstream](const http::Request& it) { return upstream->handle(it); });
    }
    for (int n = 0; n < hostCount; ++n)
        startHost(n);
    const bool applied = waitUntil([&] { return admin(0, "PUT", "/admin/v1/config", lists()).response.status == 200; });
    cr_assert(applied, "the lists were not accepted");
    awaitReady();
}

LocalCluster::~LocalCluster()
{
    m_nodes.clear();
    m_servers.clear();
}

std::string LocalCluster::dataCentreIp(int dataCentre) const { return http::test::uniqueLoopbackIp(dataCentre + 1); }

nlohmann::json LocalCluster::lists() const
{
    nlohmann::json document { { "versions",
        { { "small@1",
              { { "state", "active" }, { "input_price", 10 }, { "output_price", 1000 }, { "assumed_quality", 0.9 } } },
            { "large@1",
                { { "state", "active" }, { "input_price", 100 }, { "output_price", 9000 },
                    { "assumed_quality", 0.99 } } } } } };
    std::uint16_t port = FIRST_UPSTREAM_PORT;
    for (int n = 0; n < m_hostCount; ++n) {
        const std::string dataCentre = "dc" + std::to_string(n);
        document["data_centres"][dataCentre] = { { "region", "r" } };
        const auto add = [&](const std::string& name, const nlohmann::json& fields) {
            nlohmann::json upstream { { "address", dataCentreIp(n) + ":" + std::to_string(port++) },
                { "data_centre", dataCentre }, { "cold_limit", 2 }, { "limit", 8 } };
            upstream.update(fields);
            document["upstreams"][name + std::to_string(n)] = upstream;
        };
        add("small", { { "kind", "engine" }, { "versions", { "small@1" } } });
        add("large", { { "kind", "engine" }, { "versions", { "large@1" } } });
        add("renewal", { { "kind", "service" }, { "service", "renewal" }, { "repeatable", false } });
    }
    document["plans"]["p"] = { { "quality_target", 0.8 }, { "first_token_ms", 5000 }, { "deadline_ms", 15'000 },
        { "requests_per_second", 1000 }, { "concurrency", 1000 }, { "on_target_conflict", "quality_first" },
        { "services", { "renewal" } } };
    document["workspaces"]["ws"] = { { "plan", "p" }, { "key_digest", digestHex(WORKSPACE_KEY) } };
    document["allowances"]["p/chat"] = { { "uses", { { { "version", "large@1" } } } } };
    document["allowances"]["p/tag"] = { { "uses", { { { "version", "small@1" } }, { { "version", "large@1" } } } } };
    return document;
}

void LocalCluster::startHost(int n)
{
    const std::string dataCentre = "dc" + std::to_string(n);
    node::NodeSettings settings { .host = HostId("host" + std::to_string(n)),
        .dataCentre = DataCentreId(dataCentre),
        .region = RegionId("r"),
        .ip = dataCentreIp(n),
        .httpPort = HTTP_PORT,
        .peerPort = PEER_PORT,
        .platformAddress = dataCentreIp(0) + ":" + std::to_string(PLATFORM_PORT),
        .clusterKey = SecretKey::fromText(CLUSTER_KEY).value(),
        .sessionKey = SecretKey::fromText("session key for tests").value(),
        .operatorKeyDigest = digestHex(OPERATOR_KEY) };
    auto node = node::Node::start(std::move(settings), m_clock);
    cr_assert(node.has_value());
    m_nodes[n] = std::move(node.value());
}

void LocalCluster::shutDownHost(int n)
{
    m_nodes.at(n)->shutDown();
    m_nodes.erase(n);
}

void LocalCluster::killHost(int n) { m_nodes.erase(n); }

void LocalCluster::awaitReady()
{
    for (const auto& [n, node] : m_nodes) {
        const bool ready = waitUntil([&] {
            const nlohmann::json it = state(n);
            const auto isTakenOver = [](const nlohmann::json& upstream) {
                return upstream["phase"] == "cold" || upstream["phase"] == "warm";
            };
            std::size_t reachableVoters = 0;
            for (const nlohmann::json& member : it["membership"]["members"])
                reachableVoters += member["heard"].get<bool>() && member["voter"].get<bool>() ? 1 : 0;
            return reachableVoters == m_nodes.size() && it["membership"]["may_act"].get<bool>()
                && !it["dispatch"].empty() && std::all_of(it["dispatch"].begin(), it["dispatch"].end(), isTakenOver);
        });
        cr_assert(ready, "host %d did not become ready", n);
    }
    // Entry hosts receive the limits of other owners' upstreams with the next heartbeat, which is sent every second.
    absl::SleepFor(absl::Milliseconds(1200));
}

std::string LocalCluster::url(int host, const std::string& path) const
{
    return "http://" + dataCentreIp(host) + ":" + std::to_string(HTTP_PORT) + path;
}

http::CallOutcome LocalCluster::chat(int host, nlohmann::json body, http::Headers headers)
{
    headers.merge(bearerHeaders(WORKSPACE_KEY));
    return http::perform({ .method = "POST",
        .url = url(host, "/v1/chat/completions"),
        .headers = std::move(headers),
        .body = body.is_string() ? body.get<std::string>() : body.dump(),
        .timeout = Duration(30'000) });
}

http::CallOutcome LocalCluster::callService(
    int host, const std::string& service, const std::string& key, const std::string& body)
{
    http::Headers headers = bearerHeaders(WORKSPACE_KEY);
    headers["X-Deadline-Ms"] = "4000";
    if (!key.empty())
        headers["Idempotency-Key"] = key;
    return http::perform({ .method = "POST",
        .url = url(host, "/v1/services/" + service),
        .headers = std::move(headers),
        .body = body,
        .timeout = Duration(30'000) });
}

http::CallOutcome LocalCluster::get(int host, const std::string& path)
{
    return http::perform({ .url = url(host, path) });
}

http::CallOutcome LocalCluster::admin(
    int host, const std::string& method, const std::string& path, const nlohmann::json& body)
{
    return http::perform({ .method = method,
        .url = url(host, path),
        .headers = bearerHeaders(OPERATOR_KEY),
        .body = method == "GET" ? std::string() : body.dump(),
        .timeout = Duration(30'000) });
}

void LocalCluster::applyAction(
    int host, const std::string& action, const std::string& collection, const std::string& key)
{
    const http::CallOutcome outcome = admin(host, "POST", "/admin/v1/actions?wait=in_force",
        { { "action", action }, { "collection", collection }, { "key", key } });
    cr_assert_eq(outcome.response.status, 200, "%s", outcome.response.body.c_str());
}

void LocalCluster::setPlatformFault(const nlohmann::json& fault)
{
    m_platform.handle({ .method = "POST", .path = "/fault", .body = fault.dump() });
}

void LocalCluster::setUpstreamFault(const std::string& upstream, const nlohmann::json& fault)
{
    m_upstreams.at(upstream)->handle({ .method = "POST", .path = "/fault", .body = fault.dump() });
}

nlohmann::json LocalCluster::upstreamStats(const std::string& upstream)
{
    return nlohmann::json::parse(m_upstreams.at(upstream)->handle({ .method = "GET", .path = "/stats" }).body);
}

std::uint64_t LocalCluster::totalUpstreamRequests()
{
    std::uint64_t n = 0;
    for (const auto& [id, upstream] : m_upstreams)
        n += upstreamStats(id)["requests"].get<std::uint64_t>();
    return n;
}

nlohmann::json LocalCluster::state(int host) { return jsonBody(admin(host, "GET", "/admin/v1/state")); }

dispatch::RunEvent LocalCluster::runOnHost(int host, const dispatch::RunRequest& request) const
{
    peer::PeerClient client(SecretKey::fromText(CLUSTER_KEY).value());
    const membership::HostAddress address { .ip = dataCentreIp(host), .peerPort = PEER_PORT };
    const auto call = client.call(address, node::encodeMessage(node::PeerRequest(request))).value();
    dispatch::RunEvent last;
    for (std::string piece = call->next(Duration(10'000)); !piece.empty(); piece = call->next(Duration(10'000)))
        last = node::decodeMessage<dispatch::RunEvent>(piece).value();
    return last;
}

nlohmann::json LocalCluster::chatBody(bool stream, int maxTokens)
{
    const nlohmann::json message { { "role", "user" }, { "content", "how much iron" } };
    return { { "model", "auto" }, { "stream", stream }, { "max_tokens", maxTokens },
        { "messages", nlohmann::json::array({ message }) } };
}

std::string LocalCluster::freshIdempotencyKey(const std::string& name)
{
    return std::to_string(SystemClock().wallNow().time_since_epoch().count()) + "-" + name;
}

nlohmann::json LocalCluster::jsonBody(const http::CallOutcome& outcome)
{
    nlohmann::json body = nlohmann::json::parse(outcome.response.body, nullptr, false);
    cr_assert_not(body.is_discarded(), "not JSON: %s %s", outcome.response.body.c_str(), outcome.error.c_str());
    return body;
}

bool LocalCluster::waitUntil(const std::function<bool()>& condition, Duration limit)
{
    const SystemClock clock;
    const TimePoint end = clock.now() + limit;
    while (clock.now() < end) {
        if (condition())
            return true;
        absl::SleepFor(absl::Milliseconds(50));
    }
    return false;
}

}
