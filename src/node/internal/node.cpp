#include "fireflyhaven/node/node.h"

#include "adminservice.h"
#include "chatservice.h"
#include "fireflyhaven/http/server.h"
#include "fireflyhaven/peer/peerserver.h"
#include "peermessages.h"
#include "servicecalls.h"
#include "fireflyhaven/http/types/status.h"

#include <absl/time/clock.h>
#include <spdlog/spdlog.h>

namespace fireflyhaven::node {

namespace {
constexpr Duration FETCH_TIMEOUT { 1000 };
constexpr Duration ADDRESS_TTL { 3000 };
constexpr Duration RETRY_AFTER { 1000 };
constexpr Duration SHUTDOWN_POLL_INTERVAL { 50 };
constexpr Duration LEAVE_TIMEOUT { 3000 };
const std::string SERVICES_PREFIX = "/v1/services/";

// A host that takes new requests, for address lists and redirects.
struct HostEndpoint {
    HostId id;
    DataCentreId dataCentre;
    RegionId region;
    membership::HostAddress address;
    std::string url() const { return "http://" + address.ip + ":" + std::to_string(address.httpPort); }
};

class EntryNode final : public Node {
public:
    EntryNode(NodeSettings settings, const IClock& clock)
        : m_settings(std::move(settings))
        , m_clock(clock)
        , m_peers(m_settings.clusterKey)
    {
    }
    EntryNode(const EntryNode&) = delete;
    EntryNode& operator=(const EntryNode&) = delete;
    ~EntryNode() override
    {
        if (m_replica)
            m_replica->stop();
        m_http.reset();
        m_peerServer.reset();
    }

    Result<void> listen();
    void shutDown() override;

private:
    void createServices(std::unique_ptr<peer::HeartbeatSocket> socket);
    ReplicaHooks hooks();
    membership::HostReport report() const;
    std::vector<adapters::LogRecord> fetchRecords(const membership::HostAddress& from, Offset offset);
    bool servePeer(const std::string& payload, peer::IPieceSink& sink);
    http::Response serve(const http::Request& request);
    http::Response serveCaller(const http::Request& request);
    http::Response addresses() const;
    http::Response redirect(const http::Request& request) const;
    std::vector<HostEndpoint> hostsInService() const;
    bool selfInService() const;
    nlohmann::json dump() const;

    const NodeSettings m_settings;
    const IClock& m_clock;
    telemetry::Metrics m_metrics;
    peer::PeerClient m_peers;
    std::atomic<bool> m_draining { false };
    std::atomic<int> m_activeCallerRequests { 0 };
    std::unique_ptr<ClusterReplica> m_replica;
    std::unique_ptr<QualityService> m_quality;
    std::unique_ptr<BillingService> m_billing;
    std::unique_ptr<OwnerExecutor> m_executor;
    std::unique_ptr<RunRouter> m_router;
    std::unique_ptr<LoadTracker> m_loadTracker;
    std::unique_ptr<AdmissionController> m_admissionController;
    std::unique_ptr<ChatService> m_chat;
    std::unique_ptr<ServiceCalls> m_serviceCalls;
    std::unique_ptr<AdminService> m_admin;
    std::unique_ptr<peer::PeerServer> m_peerServer;
    std::unique_ptr<http::Server> m_http;
};

ReplicaHooks EntryNode::hooks()
{
    return { .report = [this] { return report(); },
        .onSuspensions = [this](const auto& it) { m_quality->onPeerSuspensions(it); },
        .onPeerRatings = [this](const quality::RatingsEntry& it) { m_quality->onPeerRatings(it); },
        .onGoverningChange = [this](const ReplicaState& it) { m_executor->onGoverningChange(it); },
        .onMemberLeft = [this](const HostId& it) { m_billing->onMemberLeft(it); },
        .fetchFromPeer = [this](const auto& from, Offset offset) { return fetchRecords(from, offset); } };
}

void EntryNode::createServices(std::unique_ptr<peer::HeartbeatSocket> socket)
{
    m_replica = std::make_unique<ClusterReplica>(m_settings, m_clock, m_metrics, std::move(socket), hooks());
    m_quality = std::make_unique<QualityService>(m_settings, m_clock, m_metrics, *m_replica);
    m_billing = std::make_unique<BillingService>(m_settings, m_clock, m_metrics, *m_replica, m_peers);
    m_executor = std::make_unique<OwnerExecutor>(m_settings, m_clock, m_metrics, *m_replica,
        [this](const ModelVersion& version, Offset revision) { return m_quality->isSuspended(version, revision); });
    m_router = std::make_unique<RunRouter>(m_settings, *m_replica, *m_executor, m_peers);
    m_loadTracker = std::make_unique<LoadTracker>(m_settings, m_clock, *m_replica, *m_executor);
    m_admissionController = std::make_unique<AdmissionController>(EntryComponents { .settings = m_settings,
        .clock = m_clock,
        .metrics = m_metrics,
        .replica = *m_replica,
        .router = *m_router,
        .loadTracker = *m_loadTracker,
        .billing = *m_billing,
        .quality = *m_quality });
    m_chat = std::make_unique<ChatService>(
        *m_admissionController, routing::SessionSigner(m_settings.sessionKey, m_settings.previousSessionKey));
    m_serviceCalls = std::make_unique<ServiceCalls>(*m_admissionController);
    m_admin = std::make_unique<AdminService>(m_settings, m_clock, m_metrics, *m_replica, [this] { return dump(); });
}

Result<void> EntryNode::listen()
{
    BOOST_LEAF_AUTO(socket, peer::HeartbeatSocket::open(m_settings.ip, m_settings.peerPort, m_settings.clusterKey));
    createServices(std::move(socket));
    const peer::PeerServerOptions peerOptions { .ip = m_settings.ip, .port = m_settings.peerPort };
    BOOST_LEAF_ASSIGN(m_peerServer,
        peer::PeerServer::start(peerOptions, m_settings.clusterKey,
            [this](const std::string& payload, peer::IPieceSink& sink) { return servePeer(payload, sink); }));
    const http::ServerOptions httpOptions { .ip = m_settings.ip,
        .port = m_settings.httpPort,
        .maxBodyBytes = m_settings.maxBodyBytes,
        .maxConnections = m_settings.maxConnections,
        .idleTimeout = m_settings.idleTimeout };
    const auto refusal = [](int status, const std::string& code, const std::string& message) {
        return errorResponse({ .status = status, .code = code, .message = message }, {});
    };
    BOOST_LEAF_ASSIGN(m_http,
        http::Server::start(
            httpOptions, [this](const http::Request& it) { return serve(it); }, refusal));
    m_executor->start();
    m_quality->start();
    m_billing->start();
    m_replica->start();
    spdlog::info("host {} in data centre {} listens on {}:{}", m_settings.host.value(), m_settings.dataCentre.value(),
        m_settings.ip, m_settings.httpPort);
    return {};
}

membership::HostReport EntryNode::report() const
{
    membership::HostReport report;
    report.draining = m_draining;
    report.suspensions = m_quality->unloggedSuspensions();
    report.loads = m_executor->loads();
    report.demands = m_admissionController->demands();
    return report;
}

std::vector<adapters::LogRecord> EntryNode::fetchRecords(const membership::HostAddress& from, Offset offset)
{
    using LogRecords = std::vector<adapters::LogRecord>;
    return handleFailure(
        [&]() -> Result<LogRecords> {
            BOOST_LEAF_AUTO(call, m_peers.call(from, encodeMessage(PeerRequest(FetchRecords { .from = offset }))));
            return decodeMessage<LogRecords>(call->next(FETCH_TIMEOUT)).value_or(LogRecords {});
        },
        [](const Failure&) { return LogRecords {}; });
}

bool EntryNode::servePeer(const std::string& payload, peer::IPieceSink& sink)
{
    const std::optional<PeerRequest> request = decodeMessage<PeerRequest>(payload);
    if (!request) {
        m_metrics.count("peer_requests_unreadable");
        return false;
    }
    if (const auto* run = std::get_if<dispatch::RunRequest>(&*request)) {
        m_executor->run(
            *run, [&](const dispatch::RunEvent& event) { return sink.write(encodeMessage(event)); },
            [&] { return sink.cancelled(); });
    } else if (const auto* fetch = std::get_if<FetchRecords>(&*request)) {
        sink.write(encodeMessage(m_replica->recentRecords(fetch->from)));
    } else if (const auto* store = std::get_if<StoreBill>(&*request)) {
        m_billing->storeCopy(store->origin, store->bill);
        sink.write("stored");
    } else if (const auto* release = std::get_if<ReleaseBills>(&*request)) {
        m_billing->releaseCopies(release->origin, release->keys);
    }
    return true;
}

http::Response EntryNode::serve(const http::Request& request)
{
    if (request.path == "/healthz")
        return { .status = STATUS_OK, .headers = {}, .body = "ok\n", .stream = {} };
    if (request.path == "/metrics")
        return {
            .status = STATUS_OK, .headers = { { "Content-Type", "text/plain" } }, .body = m_metrics.text(), .stream = {}
        };
    if (request.path.rfind("/admin/", 0) == 0)
        return m_admin->handle(request);
    if (request.path == "/v1/addresses" && request.method == "GET")
        return addresses();
    // Counted before `m_draining` is checked, so that a shutdown waits for every request that passes the check.
    ++m_activeCallerRequests;
    http::Response response = serveCaller(request);
    if (!response.stream) {
        --m_activeCallerRequests;
        return response;
    }
    // A streamed answer is counted until its stream is destroyed.
    std::shared_ptr<http::IBodyStream> stream = std::move(response.stream);
    http::IBodyStream* rawStream = stream.get();
    response.stream
        = std::shared_ptr<http::IBodyStream>(rawStream, [this, original = std::move(stream)](auto*) mutable {
              original.reset();
              --m_activeCallerRequests;
          });
    return response;
}

http::Response EntryNode::serveCaller(const http::Request& request)
{
    if (m_draining || !selfInService())
        return redirect(request);
    if (request.path == "/v1/chat/completions" && request.method == "POST")
        return m_chat->handle(request);
    if (request.path.rfind(SERVICES_PREFIX, 0) == 0)
        return m_serviceCalls->handle(request);
    return errorResponse(
        { .status = STATUS_NOT_FOUND, .code = "not_found", .message = "no such path" }, requestIdOf(request).value());
}

bool EntryNode::selfInService() const
{
    const std::shared_ptr<const config::Lists> lists = m_replica->lists();
    const auto* dataCentre = config::findItem(lists->dataCentres, m_settings.dataCentre);
    return !dataCentre || dataCentre->value.inService;
}

// Returns the hosts that take new requests: those of this host's data centre first, then those of its region.
std::vector<HostEndpoint> EntryNode::hostsInService() const
{
    std::vector<HostEndpoint> hosts = m_replica->read([&](const ReplicaState& state) {
        std::vector<HostEndpoint> available;
        const config::Lists& lists = state.fold.config().lists();
        for (const auto& [id, member] : state.fold.membership().members()) {
            const bool self = id == m_settings.host;
            const membership::HostReport* report = state.tracker.reportOf(id, m_clock.now());
            const bool takesNewWork = self ? !m_draining : report && !report->draining;
            const auto* dataCentre = config::findItem(lists.dataCentres, member.dataCentre);
            if (takesNewWork && (!dataCentre || dataCentre->value.inService))
                available.push_back({ id, member.dataCentre, member.region, member.address });
        }
        return available;
    });
    const auto distance = [&](const HostEndpoint& it) {
        if (it.dataCentre == m_settings.dataCentre)
            return 0;
        return it.region == m_settings.region ? 1 : 2;
    };
    std::stable_sort(hosts.begin(), hosts.end(),
        [&](const HostEndpoint& a, const HostEndpoint& b) { return distance(a) < distance(b); });
    return hosts;
}

http::Response EntryNode::addresses() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const HostEndpoint& it : hostsInService())
        list.push_back({ { "host", it.id }, { "data_centre", it.dataCentre }, { "url", it.url() } });
    return jsonResponse(STATUS_OK, { { "addresses", list }, { "ttl_ms", ADDRESS_TTL.count() } });
}

http::Response EntryNode::redirect(const http::Request& request) const
{
    const std::string id = requestIdOf(request).value();
    for (const HostEndpoint& it : hostsInService()) {
        if (it.id == m_settings.host)
            continue;
        http::Response response = errorResponse(
            { .status = STATUS_TEMPORARY_REDIRECT, .code = "moved", .message = "this host takes no new work" }, id);
        response.headers["Location"] = it.url() + request.path;
        return response;
    }
    return errorResponse({ .status = STATUS_UNAVAILABLE,
                             .code = "out_of_service",
                             .message = "no host is in service",
                             .run = RunState::NotRun,
                             .retryAfter = RETRY_AFTER },
        id);
}

nlohmann::json EntryNode::dump() const
{
    nlohmann::json state = m_replica->dump();
    state["host"] = { { "id", m_settings.host }, { "data_centre", m_settings.dataCentre },
        { "draining", m_draining.load() }, { "callers", m_activeCallerRequests.load() },
        { "connections", m_http->openConnections() }, { "peer_calls", m_peerServer->runningCalls() } };
    state["dispatch"] = m_executor->dump();
    state["quality"] = m_quality->dump();
    state["billing"] = m_billing->dump();
    state["admission"] = m_admissionController->dump();
    state["counters"] = m_metrics.dump();
    return state;
}

void EntryNode::shutDown()
{
    spdlog::info("shutting down");
    m_draining = true;
    const TimePoint shutdownDeadline = m_clock.now() + m_settings.shutdownLimit;
    // Peers learn of the drain from the next heartbeat, and callers from the next response. Requests in flight may
    // finish. The sleep lets address lists that callers have cached expire.
    const auto busy
        = [&] { return m_activeCallerRequests > 0 || m_peerServer->runningCalls() > 0 || m_replica->writesPending(); };
    absl::SleepFor(absl::Milliseconds(ADDRESS_TTL.count()));
    while (busy() && m_clock.now() < shutdownDeadline)
        absl::SleepFor(absl::Milliseconds(SHUTDOWN_POLL_INTERVAL.count()));
    const Duration timeLeft = std::max(Duration(0), shutdownDeadline - m_clock.now());
    if (!m_billing->flush(timeLeft))
        spdlog::error("bills are left unwritten at shutdown; peers hold their copies");
    m_http->stopListening();
    m_replica->leave(LEAVE_TIMEOUT);
    spdlog::info("shut down");
}

}

Result<std::unique_ptr<Node>> Node::start(NodeSettings settings, const IClock& clock)
{
    auto node = std::make_unique<EntryNode>(std::move(settings), clock);
    BOOST_LEAF_CHECK(node->listen());
    return std::unique_ptr<Node>(std::move(node));
}

}
