#include "fireflyhaven/entry/entryhost.h"

#include "fireflyhaven/telemetry/logevent.h"
#include "callerdirectory.h"
#include "catalogsync.h"
#include "configurationfreshness.h"
#include "rolloutstatuswriter.h"
#include "decisionlog.h"
#include "fireflyhaven/common/hash.h"
#include "fireflyhaven/http/eventserver.h"
#include "fireflyhaven/http/types/status.h"
#include "fireflyhaven/store/propagationbudget.h"
#include "fleetlink.h"
#include "handoverdispatcher.h"
#include "limitlink.h"
#include "poisonlink.h"
#include "reachprober.h"
#include "requestdispatcher.h"
#include "statuspages.h"

#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>

namespace fireflyhaven::entry {

namespace {

constexpr Duration TICK_INTERVAL { 100 };
// Interval at which sending is retried while requests are queued.
constexpr Duration QUEUE_POLL_INTERVAL { 20 };
constexpr Duration DIRECTORY_TTL { 2000 };
constexpr std::size_t MAX_METRICS_CONNECTIONS = 16;
// A host that takes another one's request and cannot serve it asks the caller to return after this time.
constexpr Duration RETRY_AFTER_HANDOVER { 300 };
// A host that acknowledges nothing for this long is treated as dead.
constexpr Duration HOST_USER_TIMEOUT { 700 };
// Interval at which a summary of the host's state is logged.
constexpr Duration STATE_LOG_INTERVAL { 5000 };
// New requests are accepted for this long after SIGTERM, because callers cache addresses. Streams are accepted for a
// shorter time, because they may take longer to finish.
constexpr Duration ACCEPT_STREAMS_AFTER_TERM { 1500 };
constexpr Duration ACCEPT_REQUESTS_AFTER_TERM { 4000 };
constexpr Duration SHUTDOWN_MARGIN { 700 };
// An upstream that acknowledges no sent data for this long is treated as dead.
constexpr Duration UPSTREAM_USER_TIMEOUT { 700 };

dispatch::RetryOptions retryOptions(const ServiceBounds& bounds, int hosts)
{
    return dispatch::retryOptionsPerHost(
        { .ratio = bounds.retryRatio, .slack = bounds.retrySlack, .window = bounds.retryWindow }, hosts);
}

rollout::RolloutOptions rolloutOptions(const ServiceBounds& bounds)
{
    return { .exposureRatio = bounds.exposureRatio,
        .exposureSlack = static_cast<int>(bounds.exposureSlack),
        .sessionIdleTimeout = bounds.sessionWindow };
}

// Refuses bounds that no host can keep.
Result<void> checkBounds(const ServiceBounds& bounds)
{
    const std::string violations = store::PropagationBudget(propagationBounds(bounds)).violations();
    if (!violations.empty())
        return failure(
            ErrorCode::InvalidArgument, "bounds are too short for changes to reach the hosts: " + violations);
    return {};
}

class AsioEntryHost final : public EntryHost, public IHostView, public ICatalogListener, public fleet::IReportDelegate {
public:
    AsioEntryHost(boost::asio::io_context& loop, const IClock& clock, const IWireCodec& codec,
        store::IRecordStore& store, EntrySettings settings, const UpstreamClientFactory& createUpstreamClient)
        : m_loop(loop)
        , m_clock(clock)
        , m_codec(codec)
        , m_settings(std::move(settings))
        , m_callerMemory(std::make_shared<http::MemoryBudget>(m_settings.limits.callerMemoryBytes()))
        , m_balancer(m_catalog, m_peerLoad, m_limits,
              { .ownDataCentre = m_settings.dataCentre,
                  .seed = stableHash(m_settings.host.value()),
                  .promptDivision = m_settings.promptDivision,
                  .randomPolicy = m_settings.naivePolicy })
        , m_escalationPolicy({ .alwaysLargest = m_settings.naivePolicy })
        , m_rollouts(rolloutOptions(m_settings.bounds))
        , m_retries(retryOptions(m_settings.bounds, 1))
        , m_startupQueue({ .period = m_settings.startupWait }, clock.now())
        , m_client(createUpstreamClient
                  ? createUpstreamClient()
                  : http::EventClient::create(loop, clock, { .userTimeout = UPSTREAM_USER_TIMEOUT }))
        , m_hostClient(http::EventClient::create(loop, clock, { .userTimeout = HOST_USER_TIMEOUT }))
        , m_decisionLog(clock, m_metrics)
        , m_catalogSync({ .loop = loop,
              .clock = clock,
              .codec = codec,
              .store = store,
              .catalog = m_catalog,
              .settings = m_settings,
              .memory = m_callerMemory,
              .hosts = [this] { return &m_fleetLink.hosts(); },
              .listener = *this })
        , m_limitLink({ .clock = clock,
              .catalog = m_catalog,
              .limits = m_limits,
              .exchange = [this]() -> const fleet::LimitExchange& { return m_fleetLink.limitExchange(); },
              .metrics = m_metrics,
              .send = [this](const std::vector<fleet::Datagram>& datagrams) { m_fleetLink.send(datagrams); },
              .deliver = [this](admission::TicketId request,
                             const ratelimit::PermitDecision& decision) { deliverPermit(request, decision); } })
        , m_poisonGuard(m_settings.host,
              [this](PromptPartId part, TimePoint now) { return isTrialHost(m_fleetLink.hosts(), part, now); })
        , m_fleetLink(loop, clock, m_settings, store, *this, m_limitLink, m_poisonGuard)
        , m_freshness({ .catalogSync = m_catalogSync,
              .hosts = m_fleetLink.hosts(),
              .bounds = m_settings.bounds,
              .metrics = m_metrics })
        , m_poisonLink({ .catalog = m_catalog,
              .guard = m_poisonGuard,
              .clock = clock,
              .client = *m_client,
              .metrics = m_metrics,
              .sendNotices = [this] { m_fleetLink.sendPoisonNotices(); } })
        , m_callerDirectory(m_settings, m_fleetLink.hosts())
        , m_statusWriter({ .host = m_settings.host,
              .clock = clock,
              .codec = codec,
              .store = store,
              .catalog = m_catalog,
              .balancer = m_balancer,
              .peers = m_peerLoad,
              .rollouts = m_rollouts })
        , m_flowContext { .catalog = m_catalog,
            .balancer = m_balancer,
            .escalationPolicy = m_escalationPolicy,
            .rollouts = m_rollouts,
            .retries = m_retries,
            .serviceQueues = m_serviceQueues,
            .startupQueue = m_startupQueue,
            .limits = m_limits,
            .limitLink = m_limitLink,
            .poisonGuard = m_poisonGuard,
            .reach = m_reach,
            .host = *this,
            .observer = m_decisionLog }
        , m_driverContext { .loop = loop,
            .clock = clock,
            .codec = codec,
            .client = *m_client,
            .flowContext = m_flowContext }
        , m_requestDispatcher(m_driverContext, m_serviceQueues)
        , m_handoverDispatcher({ .handover = { .loop = loop,
                                     .clock = clock,
                                     .codec = codec,
                                     .client = *m_hostClient,
                                     .mayRepeat = [this](const CallerRequest& it) { return mayRepeat(it); },
                                     .timeoutOf = [this](const CallerRequest& it) { return timeoutOf(it); } },
              .hosts = m_fleetLink.hosts(),
              .settings = m_settings,
              .metrics = m_metrics })
        , m_reachProber({ .clock = clock,
              .catalog = m_catalog,
              .client = *m_client,
              .reach = m_reach,
              .onChanged = [this](bool cutOff) { onReachChanged(cutOff); } })
        , m_statusPages({ .clock = clock,
              .host = m_settings.host,
              .bounds = m_settings.bounds,
              .catalog = m_catalog,
              .balancer = m_balancer,
              .rollouts = m_rollouts,
              .serviceQueues = m_serviceQueues,
              .limits = m_limits,
              .poisonGuard = m_poisonGuard,
              .catalogSync = m_catalogSync,
              .fleetLink = m_fleetLink,
              .requestDispatcher = m_requestDispatcher,
              .client = *m_client,
              .store = store,
              .callerMemory = *m_callerMemory,
              .metrics = m_metrics })
        , m_tickTimer(loop)
        , m_queueTimer(loop)
        , m_shutdownTimer(loop)
    {
    }

    AsioEntryHost(const AsioEntryHost&) = delete;
    AsioEntryHost& operator=(const AsioEntryHost&) = delete;
    ~AsioEntryHost() override { *m_alive = false; }

    Result<void> listen()
    {
        const auto limit = static_cast<std::size_t>(static_cast<double>(m_settings.limits.maxFileDescriptors) * 0.4);
        BOOST_LEAF_ASSIGN(m_frontend,
            startServer(m_settings.frontend, limit, [this](auto exchange) { serveCaller(std::move(exchange)); }));
        BOOST_LEAF_ASSIGN(m_readiness,
            startServer(m_settings.readiness, limit / 4, [this](auto exchange) { serveReadiness(*exchange); }));
        BOOST_LEAF_ASSIGN(m_directory,
            startServer(m_settings.directory, limit / 4, [this](auto exchange) { serveDirectory(*exchange); }));
        if (m_settings.metrics) {
            BOOST_LEAF_ASSIGN(m_metricsServer,
                startServer(*m_settings.metrics, MAX_METRICS_CONNECTIONS,
                    [this](auto exchange) { m_statusPages.serve(*exchange); }));
        }
        if (const auto address = handoverAddress(m_settings, m_settings.frontend.ip)) {
            BOOST_LEAF_ASSIGN(m_handoverServer,
                startServer(*address, limit / 2, [this](auto exchange) { serveHandedOver(std::move(exchange)); }));
        }
        BOOST_LEAF_CHECK(m_catalogSync.listen({ .ip = m_settings.frontend.ip, .port = m_settings.firstPeerPort }));
        BOOST_LEAF_CHECK(m_fleetLink.open());
        m_catalogSync.start();
        tick();
        pollQueues();
        telemetry::logEvent(spdlog::level::info, "host_started",
            { { "data_centre", m_settings.dataCentre.value() }, { "address", m_settings.frontend.text() } });
        return {};
    }

    void reload(const EntrySettings& settings) override
    {
        const bool addressesChanged = settings.frontend != m_settings.frontend
            || settings.readiness != m_settings.readiness || settings.directory != m_settings.directory
            || settings.firstPeerPort != m_settings.firstPeerPort;
        if (addressesChanged)
            telemetry::logEvent(spdlog::level::warn, "settings_partly_taken",
                { { "reason", "address changes take effect at the next start" } });
        const std::string violations = store::PropagationBudget(propagationBounds(settings.bounds)).violations();
        if (!violations.empty()) {
            telemetry::logEvent(spdlog::level::err, "settings_rejected", { { "reason", violations } });
            return;
        }
        m_settings.bounds = settings.bounds;
        m_settings.limits = settings.limits;
        m_callerMemory->setMaxBytes(settings.limits.callerMemoryBytes());
        m_rollouts.setOptions(rolloutOptions(settings.bounds));
        m_retries.setOptions(retryOptions(settings.bounds, m_sharingHosts));
        telemetry::logEvent(spdlog::level::info, "settings_reloaded");
    }

    void shutDown(std::function<void()> done) override
    {
        if (m_drainingSince)
            return;
        telemetry::logEvent(spdlog::level::info, "host_stopping", { { "open_requests", openRequests() } });
        m_drainingSince = m_clock.now();
        m_shutdownDone = std::move(done);
        m_frontend->closeAfterResponses();
        if (m_handoverServer)
            m_handoverServer->closeAfterResponses();
        m_fleetLink.reportNow();
        pollShutdown();
    }

    bool isCatalogLoaded() const override { return m_catalogSync.isLoaded(); }
    bool mayAcceptKeys(TimePoint now) const override { return m_freshness.mayAcceptKeys(now); }
    bool isCatalogCurrent(TimePoint now) const override { return m_freshness.isCurrent(now); }
    bool isBehindOthers(TimePoint now) const override { return m_freshness.isBehindOthers(now); }
    Duration configurationAge(TimePoint now) const override { return m_freshness.age(now).value_or(Duration(-1)); }
    int sendingHostCount(TimePoint now) const override { return m_fleetLink.exchange().sharingHostCount(now); }
    bool acceptsRequests(catalog::RouteKind kind, TimePoint now) const override
    {
        if (!m_drainingSince)
            return true;
        if (m_requestsEnded)
            return false;
        const bool streams = kind == catalog::RouteKind::Streaming;
        return now - *m_drainingSince < (streams ? ACCEPT_STREAMS_AFTER_TERM : ACCEPT_REQUESTS_AFTER_TERM);
    }

    void onConfiguration() override
    {
        const catalog::CallerLimits& bounds = m_catalog.configuration().callerLimits;
        const http::RequestLimits limits { .maxHeaderBytes = bounds.maxHeaderBytes,
            .maxBodyBytes = bounds.maxBodyBytes,
            .headerTimeout = bounds.headerTimeout,
            .idleTimeout = bounds.idleTimeout };
        m_frontend->setLimits(limits);
        if (m_handoverServer)
            m_handoverServer->setLimits(limits);
    }
    void onCatalogLoaded() override
    {
        telemetry::logEvent(spdlog::level::info, "catalog_loaded", { { "requests_waiting", m_startupQueue.size() } });
        m_requestDispatcher.onCatalogLoaded();
    }
    void onRolloutOrder(const catalog::RolloutOrder& order) override
    {
        telemetry::logEvent(spdlog::level::info, "rollout_ordered",
            { { "service", order.service.value() }, { "version", order.target.value() },
                { "duration_ms", order.duration.count() } });
        m_rollouts.setManyHosts(m_fleetLink.hosts().isLayered());
        m_rollouts.onOrder(order, m_clock.now());
        m_fleetLink.reportNow();
    }
    void onRolloutWithdrawn(const ServiceName& service) override { m_rollouts.onWithdrawn(service); }
    void onRolloutStatus(const catalog::RolloutStatus& status) override { m_rollouts.onStatus(status); }
    void onStoreRestored() override
    {
        m_rollouts.onStatusesLost();
        m_fleetLink.onStoreRestored();
    }
    void onUpstreamChanged(const catalog::Upstream& upstream, bool newIncarnation) override
    {
        if (newIncarnation)
            m_balancer.removeUpstream(upstream.id, m_clock.now());
        m_rollouts.onVersionSeen(upstream.service, upstream.version, m_clock.now());
        const bool draining = upstream.phase == catalog::UpstreamPhase::Draining;
        if (draining)
            m_client->closeIdleConnectionsTo(upstream.address);
        if (newIncarnation || draining)
            telemetry::logEvent(spdlog::level::info, draining ? "upstream_leaving" : "upstream_new",
                { { "upstream", upstream.id.value() }, { "version", upstream.version.value() },
                    { "address", upstream.address.text() }, { "cold_for_ms", upstream.coldFor.count() } });
    }
    void onUpstreamGone(const UpstreamId& id) override
    {
        telemetry::logEvent(
            spdlog::level::info, "upstream_gone", { { "upstream", id.value() }, { "reason", "registration ended" } });
        m_balancer.removeUpstream(id, m_clock.now());
    }

    void fillReport(fleet::HostReport& report, bool full, TimePoint now) override
    {
        report.acceptsRequests = takesCallers();
        report.reachesStore = m_catalogSync.reachesStore();
        for (const fleet::UpstreamCounters& it : m_balancer.counters(now)) {
            fleet::UpstreamCounters& last = m_lastReported[it.upstream];
            if (full || it != last)
                report.upstreams.items.push_back(it);
            last = it;
        }
        m_rollouts.fillReport(report, now);
        m_balancer.fillReport(report, now);
    }
    void onReport(
        const fleet::HostReport& before, const fleet::HostReport& report, bool newIncarnation, TimePoint now) override
    {
        const std::vector<fleet::AnswerCounts> answers = m_peerLoad.onReport(report, newIncarnation);
        m_statusWriter.onPeerAnswers(answers);
        m_balancer.onPeerAnswers(answers, now);
        m_balancer.onPeerReport(report, now);
        m_rollouts.onReport(before, report, now);
    }
    void onHostSilent(const HostId& host) override
    {
        m_peerLoad.onSilent(host);
        m_balancer.onPeerSilent(host);
    }

private:
    Result<std::unique_ptr<http::EventServer>> startServer(
        const http::Endpoint& address, std::size_t maxConnections, http::ExchangeHandler handler)
    {
        const http::EventServerOptions options {
            .listen = address, .maxConnections = maxConnections, .memory = m_callerMemory
        };
        return http::EventServer::start(m_loop, m_clock, options, std::move(handler));
    }

    bool acceptsCallers() const { return m_catalog.hasConfiguration() && !m_drainingSince; }
    std::size_t openRequests() const
    {
        return m_requestDispatcher.openRequests() + m_handoverDispatcher.openRequests();
    }
    // Whether callers and other hosts should send requests here.
    bool takesCallers() const { return acceptsCallers() && !m_reach.isCutOff(); }

    void serveCaller(std::shared_ptr<http::Exchange> exchange)
    {
        const TimePoint now = m_clock.now();
        if (m_reach.isCutOff() && m_handoverDispatcher.canTake(now) && mayBegin(*exchange, now))
            return m_handoverDispatcher.serve(std::move(exchange));
        m_requestDispatcher.serve(std::move(exchange));
    }

    // Whether a request of its kind can end before the process exits.
    bool mayBegin(const http::Exchange& exchange, TimePoint now) const
    {
        if (!m_drainingSince)
            return true;
        const CallerRequest request = m_codec.decodeRequest(exchange.head());
        const auto route = m_catalog.routes().find(request.host, request.path);
        return route && acceptsRequests(route->kind, now);
    }

    // Serves a request that another host has taken from its caller. It is never handed on again.
    void serveHandedOver(std::shared_ptr<http::Exchange> exchange)
    {
        m_metrics.count("requests_taken_over");
        if (!m_reach.isCutOff())
            return m_requestDispatcher.serve(std::move(exchange));
        const AttemptId attempt = m_codec.decodeRequest(exchange->head()).attempt;
        exchange->sendResponse(m_codec.encodeLocalResponse(STATUS_UNAVAILABLE, attempt, RETRY_AFTER_HANDOVER), {});
    }

    bool mayRepeat(const CallerRequest& request) const
    {
        const auto route = m_catalog.routes().find(request.host, request.path);
        return route && route->mayRepeat();
    }

    std::optional<Duration> timeoutOf(const CallerRequest& request) const
    {
        const auto route = m_catalog.routes().find(request.host, request.path);
        return route ? std::optional(route->timeout) : std::nullopt;
    }

    void onReachChanged(bool cutOff)
    {
        telemetry::logEvent(spdlog::level::warn, cutOff ? "upstreams_unreachable" : "upstreams_reachable");
        if (cutOff)
            m_balancer.onCutOff();
        else
            m_balancer.onReachRestored();
        m_fleetLink.reportNow();
    }

    // Deferred, because the flow that asked may still be executing one of its own functions.
    void deliverPermit(admission::TicketId request, const ratelimit::PermitDecision& decision)
    {
        boost::asio::post(m_loop, [this, alive = m_alive, request, decision] {
            if (*alive)
                m_requestDispatcher.onPermitDecision(request, decision);
        });
    }

    void serveReadiness(http::Exchange& exchange)
    {
        if (!m_codec.isReadinessProbe(exchange.head()))
            return exchange.sendResponse({ .status = STATUS_NOT_FOUND }, {});
        exchange.sendResponse({ .status = acceptsCallers() ? STATUS_OK : STATUS_UNAVAILABLE }, {});
    }

    void serveDirectory(http::Exchange& exchange)
    {
        const auto query = m_codec.decodeAddressQuery(exchange.head());
        if (!query)
            return exchange.sendResponse({ .status = STATUS_NOT_FOUND }, {});
        http::ResponseHead head { .status = STATUS_OK };
        head.headers.add("Content-Type", "application/json");
        const CallerDirectory::OwnState own { .takesCallers = takesCallers(),
            .isDraining = m_drainingSince.has_value() };
        const auto addresses = m_callerDirectory.addressesFor(*query, own, m_clock.now());
        const Duration ttl = std::min(DIRECTORY_TTL, m_settings.bounds.maxDirectoryTtl);
        exchange.sendResponse(head, m_codec.encodeAddresses(addresses, ttl));
    }

    void tick()
    {
        const TimePoint now = m_clock.now();
        observeDelay(now);
        m_freshness.observe(now);
        m_catalogSync.tick(now);
        m_rollouts.tick(now);
        m_balancer.expire(now);
        m_limits.expire(now);
        m_limitLink.tick(now);
        m_poisonLink.tick(now);
        m_reachProber.tick(now);
        updateSharingHosts(now);
        m_statusWriter.tick(isStatusWriter(now), now);
        if (now - m_stateLoggedAt >= STATE_LOG_INTERVAL)
            logState(now);
        spdlog::default_logger()->flush();
        m_tickDueAt = m_clock.now() + TICK_INTERVAL;
        runAfter(m_tickTimer, TICK_INTERVAL, [this] { tick(); });
    }

    void observeDelay(TimePoint now)
    {
        if (m_tickDueAt != TimePoint {})
            m_metrics.observe("loop_delay", std::max(Duration(0), now - m_tickDueAt));
    }

    void updateSharingHosts(TimePoint now)
    {
        const int hosts = sendingHostCount(now);
        if (std::exchange(m_sharingHosts, hosts) != hosts)
            m_retries.setOptions(retryOptions(m_settings.bounds, hosts));
    }

    // Logs a summary of the host's state in one line, for later analysis.
    void logState(TimePoint now)
    {
        m_stateLoggedAt = now;
        telemetry::logEvent(spdlog::level::info, "beliefs", m_statusPages.summary());
    }

    // Whether this host is the elected writer of the roll-out statuses.
    bool isStatusWriter(TimePoint now) const
    {
        // The other hosts exclude draining hosts and those that cannot reach the store from the election.
        if (!m_catalogSync.reachesStore() || !takesCallers())
            return false;
        if (m_fleetLink.hosts().isLayered()) {
            const std::vector<HostId> readers = m_fleetLink.hosts().storeReaders(now);
            return !readers.empty() && fleet::firstByRendezvous(readers, "writer of roll-outs") == m_settings.host;
        }
        std::vector<HostId> candidates { m_settings.host };
        for (const fleet::KnownHost* it : m_fleetLink.hosts().live(now)) {
            if (it->report.reachesStore && it->report.acceptsRequests)
                candidates.push_back(it->report.host);
        }
        return fleet::firstByRendezvous(candidates, "writer of roll-outs") == m_settings.host;
    }

    void pollQueues()
    {
        m_requestDispatcher.dispatchQueued();
        runAfter(
            m_queueTimer, m_serviceQueues.size() > 0 ? QUEUE_POLL_INTERVAL : TICK_INTERVAL, [this] { pollQueues(); });
    }

    void runAfter(boost::asio::steady_timer& timer, Duration delay, std::function<void()> action)
    {
        timer.expires_after(delay);
        timer.async_wait([alive = m_alive, action = std::move(action)](boost::system::error_code ec) {
            if (!ec && *alive)
                action();
        });
    }

    void pollShutdown()
    {
        const Duration age = m_clock.now() - *m_drainingSince;
        const bool requestsDone = age > ACCEPT_REQUESTS_AFTER_TERM && openRequests() == 0;
        if (requestsDone || m_requestsEnded) {
            telemetry::logEvent(
                spdlog::level::info, "host_stopped", { { "requests_cut", m_requestsEnded.value_or(0) } });
            spdlog::default_logger()->flush();
            return m_shutdownDone();
        }
        if (age > m_settings.bounds.shutdownGrace - SHUTDOWN_MARGIN) {
            // The answers leave before the next poll.
            m_requestsEnded = openRequests();
            m_requestDispatcher.endAll();
            m_handoverDispatcher.endAll();
        }
        if (age > ACCEPT_REQUESTS_AFTER_TERM)
            m_frontend->stopListening();
        if (age > m_settings.bounds.maxDirectoryTtl / 2)
            m_frontend->closeIdleConnections();
        runAfter(m_shutdownTimer, TICK_INTERVAL, [this] { pollShutdown(); });
    }

    boost::asio::io_context& m_loop;
    const IClock& m_clock;
    const IWireCodec& m_codec;
    EntrySettings m_settings;
    catalog::Catalog m_catalog;
    const std::shared_ptr<http::MemoryBudget> m_callerMemory;
    fleet::PeerLoad m_peerLoad;
    ratelimit::LimitTable m_limits;
    balancing::Balancer m_balancer;
    routing::EscalationPolicy m_escalationPolicy;
    rollout::RolloutController m_rollouts;
    dispatch::RetryBudgets m_retries;
    admission::ServiceQueues m_serviceQueues;
    admission::StartupQueue m_startupQueue;
    balancing::UpstreamReach m_reach;
    std::unique_ptr<http::EventClient> m_client;
    // For requests that are handed to other hosts.
    std::unique_ptr<http::EventClient> m_hostClient;
    telemetry::Metrics m_metrics;
    DecisionLog m_decisionLog;
    CatalogSync m_catalogSync;
    LimitLink m_limitLink;
    poison::PoisonGuard m_poisonGuard;
    FleetLink m_fleetLink;
    ConfigurationFreshness m_freshness;
    PoisonLink m_poisonLink;
    CallerDirectory m_callerDirectory;
    RolloutStatusWriter m_statusWriter;
    FlowContext m_flowContext;
    DriverContext m_driverContext;
    RequestDispatcher m_requestDispatcher;
    HandoverDispatcher m_handoverDispatcher;
    ReachProber m_reachProber;
    StatusPages m_statusPages;
    std::unique_ptr<http::EventServer> m_frontend;
    std::unique_ptr<http::EventServer> m_readiness;
    std::unique_ptr<http::EventServer> m_directory;
    std::unique_ptr<http::EventServer> m_metricsServer;
    // Takes requests from other hosts; null if the settings leave no port for it.
    std::unique_ptr<http::EventServer> m_handoverServer;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_queueTimer;
    boost::asio::steady_timer m_shutdownTimer;
    std::function<void()> m_shutdownDone;
    std::optional<TimePoint> m_drainingSince;
    // Number of requests that were answered only because the process exits; no value before.
    std::optional<std::size_t> m_requestsEnded;
    // Number of hosts that share the retry budget, as of the last tick.
    int m_sharingHosts = 1;
    TimePoint m_stateLoggedAt {};
    // Default value before the first tick.
    TimePoint m_tickDueAt {};
    // Counters of each upstream as last reported to the other hosts.
    std::map<fleet::ShortHash, fleet::UpstreamCounters> m_lastReported;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}

Result<std::unique_ptr<EntryHost>> EntryHost::start(boost::asio::io_context& loop, const IClock& clock,
    const IWireCodec& codec, store::IRecordStore& store, EntrySettings settings,
    const UpstreamClientFactory& createUpstreamClient)
{
    BOOST_LEAF_CHECK(checkBounds(settings.bounds));
    auto host = std::make_unique<AsioEntryHost>(loop, clock, codec, store, std::move(settings), createUpstreamClient);
    BOOST_LEAF_CHECK(host->listen());
    return std::unique_ptr<EntryHost>(std::move(host));
}

}
