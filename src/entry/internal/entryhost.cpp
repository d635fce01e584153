#include "fireflyhaven/entry/entryhost.h"

#include "fireflyhaven/telemetry/logevent.h"
#include "catalogsync.h"
#include "conductor.h"
#include "decisionlog.h"
#include "fireflyhaven/common/hash.h"
#include "fireflyhaven/http/eventserver.h"
#include "fireflyhaven/http/types/status.h"
#include "fleetlink.h"
#include "frontdoor.h"
#include "namedhosts.h"
#include "statuspages.h"

#include <spdlog/spdlog.h>

namespace fireflyhaven::entry {

namespace {

constexpr Duration TICK { 100 };
// Waiting requests are tried at this interval, beside after each answer.
constexpr Duration PUMP { 20 };
constexpr Duration DIRECTORY_LIFETIME { 2000 };
constexpr std::size_t MAX_ADDRESSES = 64;
constexpr std::size_t MAX_METRICS_READERS = 16;
// What the host believes is written to the log at this interval,
constexpr Duration BELIEFS_INTERVAL { 5000 };
// Reads of the operator's records that are older than this can't show that a route does not exist.
constexpr Duration CERTAIN_FOR { 3000 };
// Keys are used up to this long before the bound for keys that were taken away.
constexpr Duration REVOCATION_MARGIN { 500 };
// After SIGTERM new requests are taken for this long: callers keep an address for a while. Streams may take longer to
// end than others.
constexpr Duration TAKE_STREAMS_AFTER_TERM { 1500 };
constexpr Duration TAKE_REQUESTS_AFTER_TERM { 4000 };
constexpr Duration END_MARGIN { 700 };
// An upstream that acknowledges nothing for this long is taken as dead.
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
        .session = bounds.session };
}

class AsioEntryHost final : public EntryHost, public IHostView, public ICatalogListener, public fleet::IReportPart {
public:
    AsioEntryHost(boost::asio::io_context& loop, const IClock& clock, const IWireCodec& codec,
        store::IRecordStore& store, EntrySettings settings)
        : m_loop(loop)
        , m_clock(clock)
        , m_codec(codec)
        , m_settings(std::move(settings))
        , m_balancer(m_catalog, m_peerLoad,
              { .ownDataCentre = m_settings.dataCentre,
                  .seed = stableHash(m_settings.host.value()),
                  .naive = m_settings.naivePolicy })
        , m_ladder({ .alwaysLargest = m_settings.naivePolicy })
        , m_rollouts(rolloutOptions(m_settings.bounds))
        , m_retries(retryOptions(m_settings.bounds, 1))
        , m_client(http::EventClient::create(loop, clock, { .userTimeout = UPSTREAM_USER_TIMEOUT }))
        , m_log(clock, m_metrics)
        , m_sync({ .loop = loop,
              .clock = clock,
              .codec = codec,
              .store = store,
              .catalog = m_catalog,
              .settings = m_settings,
              .hosts = [this] { return &m_link.hosts(); },
              .listener = *this })
        , m_link(loop, clock, m_settings, store, *this)
        , m_named(m_settings.frontend)
        , m_conductor({ .host = m_settings.host,
              .clock = clock,
              .codec = codec,
              .store = store,
              .catalog = m_catalog,
              .balancer = m_balancer,
              .peers = m_peerLoad,
              .board = m_rollouts })
        , m_flows { .catalog = m_catalog,
            .balancer = m_balancer,
            .ladder = m_ladder,
            .rollouts = m_rollouts,
            .retries = m_retries,
            .waiting = m_waiting,
            .host = *this,
            .observer = m_log }
        , m_drivers { .loop = loop, .clock = clock, .codec = codec, .client = *m_client, .flows = m_flows }
        , m_door(m_drivers, m_waiting)
        , m_status({ .clock = clock,
              .host = m_settings.host,
              .catalog = m_catalog,
              .balancer = m_balancer,
              .rollouts = m_rollouts,
              .waiting = m_waiting,
              .sync = m_sync,
              .link = m_link,
              .door = m_door,
              .client = *m_client,
              .store = store,
              .metrics = m_metrics })
        , m_tickTimer(loop)
        , m_pumpTimer(loop)
        , m_shutdownTimer(loop)
    {
    }

    Result<void> listen()
    {
        const auto limit = static_cast<std::size_t>(static_cast<double>(m_settings.limits.descriptors) * 0.4);
        BOOST_LEAF_ASSIGN(m_frontend,
            startServer(m_settings.frontend, limit, [this](auto exchange) { serveCaller(std::move(exchange)); }));
        BOOST_LEAF_ASSIGN(m_readiness,
            startServer(m_settings.readiness, limit / 4, [this](auto exchange) { serveReadiness(*exchange); }));
        BOOST_LEAF_ASSIGN(m_directory,
            startServer(m_settings.directory, limit / 4, [this](auto exchange) { serveDirectory(*exchange); }));
        if (m_settings.metrics) {
            BOOST_LEAF_ASSIGN(m_metricsServer,
                startServer(
                    *m_settings.metrics, MAX_METRICS_READERS, [this](auto exchange) { m_status.serve(*exchange); }));
        }
        BOOST_LEAF_CHECK(m_sync.listen({ .ip = m_settings.frontend.ip, .port = m_settings.firstPeerPort }));
        BOOST_LEAF_CHECK(m_link.open());
        m_sync.start();
        tick();
        pump();
        telemetry::logEvent(spdlog::level::info, "host_started",
            { { "data_centre", m_settings.dataCentre.value() }, { "address", m_settings.frontend.text() } });
        return {};
    }

    void reload(const EntrySettings& settings) override
    {
        const bool moved = settings.frontend != m_settings.frontend || settings.readiness != m_settings.readiness
            || settings.directory != m_settings.directory || settings.firstPeerPort != m_settings.firstPeerPort;
        if (moved)
            telemetry::logEvent(spdlog::level::warn, "settings_partly_taken",
                { { "reason", "addresses changed; they are used from the next start on" } });
        m_settings.bounds = settings.bounds;
        m_settings.limits = settings.limits;
        m_rollouts.setOptions(rolloutOptions(settings.bounds));
        m_retries.setOptions(retryOptions(settings.bounds, m_sharers));
        telemetry::logEvent(spdlog::level::info, "settings_reloaded");
    }

    void shutDown(std::function<void()> done) override
    {
        if (m_drainingSince)
            return;
        telemetry::logEvent(spdlog::level::info, "host_stopping", { { "open_requests", m_door.openRequests() } });
        m_drainingSince = m_clock.now();
        m_shutdownDone = std::move(done);
        m_frontend->closeAfterAnswers();
        m_link.reportNow();
        pollShutdown();
    }

    bool mayUseKeys(TimePoint now) const override
    {
        const auto confirmed = m_sync.operatorConfirmedAt();
        const bool unlimited = !m_settings.bounds.strictRevocation && confirmed;
        return unlimited || (confirmed && now - *confirmed < m_settings.bounds.revocation - REVOCATION_MARGIN);
    }
    bool knowsAll(TimePoint now) const override
    {
        const auto confirmed = m_sync.operatorConfirmedAt();
        return confirmed && !m_sync.readsFail() && now - *confirmed < CERTAIN_FOR;
    }
    Duration configurationAge(TimePoint now) const override
    {
        const auto confirmed = m_sync.operatorConfirmedAt();
        return confirmed ? now - *confirmed : Duration(-1);
    }
    int sharers(TimePoint now) const override { return m_link.exchange().sharers(now); }
    bool takesRequests(catalog::RouteKind kind, TimePoint now) const override
    {
        if (!m_drainingSince)
            return true;
        const bool streams = kind == catalog::RouteKind::Streaming;
        return now - *m_drainingSince < (streams ? TAKE_STREAMS_AFTER_TERM : TAKE_REQUESTS_AFTER_TERM);
    }

    void onConfiguration() override
    {
        const catalog::CallerBounds& bounds = m_catalog.configuration().callerBounds;
        m_frontend->setLimits({ .maxHeaderBytes = bounds.maxHeaderBytes,
            .maxBodyBytes = bounds.maxBodyBytes,
            .headerTimeout = bounds.headerTimeout,
            .idleTimeout = bounds.idleTimeout });
    }
    void onRolloutOrder(const catalog::RolloutOrder& order) override
    {
        telemetry::logEvent(spdlog::level::info, "rollout_ordered",
            { { "service", order.service.value() }, { "version", order.target.value() },
                { "duration_ms", order.duration.count() } });
        m_rollouts.setManyHosts(m_link.hosts().isLayered());
        m_rollouts.onOrder(order, m_clock.now());
        m_link.reportNow();
    }
    void onRolloutWithdrawn(const ServiceName& service) override { m_rollouts.onWithdrawn(service); }
    void onRolloutStatus(const catalog::RolloutStatus& status) override { m_rollouts.onStatus(status); }
    void onUpstreamChanged(const catalog::Upstream& upstream, bool newLife) override
    {
        if (newLife)
            m_balancer.forget(upstream.id);
        m_rollouts.onVersionSeen(upstream.service, upstream.version, m_clock.now());
        const bool leaving = upstream.phase == catalog::UpstreamPhase::Draining;
        if (leaving)
            m_client->forget(upstream.address);
        if (newLife || leaving)
            telemetry::logEvent(spdlog::level::info, leaving ? "upstream_leaving" : "upstream_new",
                { { "upstream", upstream.id.value() }, { "version", upstream.version.value() },
                    { "address", upstream.address.text() }, { "cold_for_ms", upstream.coldFor.count() } });
    }
    void onUpstreamGone(const UpstreamId& id) override
    {
        telemetry::logEvent(
            spdlog::level::info, "upstream_gone", { { "upstream", id.value() }, { "reason", "registration ended" } });
        m_balancer.forget(id);
    }

    void fillReport(fleet::HostReport& report, bool full, TimePoint now) override
    {
        report.takesCallers = takesCallers();
        report.reachesStore = m_sync.reachesStore();
        for (const fleet::UpstreamCounters& it : m_balancer.counters(now)) {
            fleet::UpstreamCounters& last = m_reported[it.upstream];
            if (full || it != last)
                report.upstreams.items.push_back(it);
            last = it;
        }
        m_rollouts.fillReport(report, now);
    }
    void onReport(
        const fleet::HostReport& before, const fleet::HostReport& report, bool newLife, TimePoint now) override
    {
        m_balancer.onPeerAnswers(m_peerLoad.onReport(report, newLife), now);
        m_rollouts.onReport(before, report, now);
    }
    void onHostSilent(const HostId& host) override { m_peerLoad.onSilent(host); }

private:
    Result<std::unique_ptr<http::EventServer>> startServer(
        const http::Endpoint& address, std::size_t maxConnections, http::ExchangeHandler handler)
    {
        const http::EventServerOptions options { .listen = address, .maxConnections = maxConnections };
        return http::EventServer::start(m_loop, m_clock, options, std::move(handler));
    }

    bool takesCallers() const { return m_catalog.hasConfiguration() && !m_drainingSince; }

    void serveCaller(std::shared_ptr<http::Exchange> exchange) { m_door.serve(std::move(exchange)); }

    void serveReadiness(http::Exchange& exchange)
    {
        if (!m_codec.isReadinessQuestion(exchange.head()))
            return exchange.answer({ .status = STATUS_NOT_FOUND }, {});
        exchange.answer({ .status = takesCallers() ? STATUS_OK : STATUS_UNAVAILABLE }, {});
    }

    void serveDirectory(http::Exchange& exchange)
    {
        const auto question = m_codec.decodeAddressQuestion(exchange.head());
        if (!question)
            return exchange.answer({ .status = STATUS_NOT_FOUND }, {});
        http::ResponseHead head { .status = STATUS_OK };
        head.headers.add("Content-Type", "application/json");
        const Duration lifetime = std::min(DIRECTORY_LIFETIME, m_settings.bounds.directoryLifetime);
        exchange.answer(head, m_codec.encodeAddresses(addressesFor(*question), lifetime));
    }

    // Hosts that take callers, those in the caller's data centre first; all that live where none does.
    std::vector<http::Endpoint> addressesFor(const AddressQuestion& question) const
    {
        if (m_link.hosts().isLayered()) {
            auto few = m_named.choose(m_link.hosts(), question.dataCentre, m_clock.now());
            if (!few.empty())
                return few;
        }
        std::vector<http::Endpoint> near;
        std::vector<http::Endpoint> far;
        const auto add = [&](const DataCentreId& dataCentre, const http::Endpoint& address) {
            (dataCentre == question.dataCentre ? near : far).push_back(address);
        };
        if (takesCallers())
            add(m_settings.dataCentre, m_settings.frontend);
        for (const fleet::KnownHost* it : m_link.hosts().live(m_clock.now())) {
            if (it->report.takesCallers)
                add(it->report.dataCentre, it->report.frontend);
        }
        near.insert(near.end(), far.begin(), far.end());
        if (near.empty() && !m_drainingSince)
            near.push_back(m_settings.frontend);
        near.resize(std::min(near.size(), MAX_ADDRESSES));
        return near;
    }

    void tick()
    {
        const TimePoint now = m_clock.now();
        noteDelays(now);
        m_sync.tick(now);
        m_rollouts.tick(now);
        m_balancer.expire(now);
        noteSharers(now);
        m_conductor.tick(isWriter(now), now);
        if (now - m_beliefsLoggedAt >= BELIEFS_INTERVAL)
            logBeliefs(now);
        spdlog::default_logger()->flush();
        m_tickDueAt = m_clock.now() + TICK;
        later(m_tickTimer, TICK, [this] { tick(); });
    }

    // How late the loop is, and how old what it acts on.
    void noteDelays(TimePoint now)
    {
        if (m_tickDueAt != TimePoint {})
            m_metrics.observe("loop_delay", std::max(Duration(0), now - m_tickDueAt));
        if (const auto confirmed = m_sync.operatorConfirmedAt())
            m_metrics.observe("knowledge_age", now - *confirmed);
    }

    void noteSharers(TimePoint now)
    {
        const int hosts = sharers(now);
        if (std::exchange(m_sharers, hosts) != hosts)
            m_retries.setOptions(retryOptions(m_settings.bounds, hosts));
    }

    // One short line from which the host's view at a moment can be read afterwards.
    void logBeliefs(TimePoint now)
    {
        m_beliefsLoggedAt = now;
        telemetry::logEvent(spdlog::level::info, "beliefs", m_status.summary());
    }

    // The host that writes the status of roll-outs.
    bool isWriter(TimePoint now) const
    {
        // The others count neither a host that leaves nor one that can't write.
        if (!m_sync.reachesStore() || !takesCallers())
            return false;
        if (m_link.hosts().isLayered()) {
            const std::vector<HostId> readers = m_link.hosts().storeReaders(now);
            return !readers.empty() && fleet::firstByRendezvous(readers, "writer of roll-outs") == m_settings.host;
        }
        std::vector<HostId> candidates { m_settings.host };
        for (const fleet::KnownHost* it : m_link.hosts().live(now)) {
            if (it->report.reachesStore && it->report.takesCallers)
                candidates.push_back(it->report.host);
        }
        return fleet::firstByRendezvous(candidates, "writer of roll-outs") == m_settings.host;
    }

    void pump()
    {
        m_door.pump();
        later(m_pumpTimer, m_waiting.size() > 0 ? PUMP : TICK, [this] { pump(); });
    }

    void later(boost::asio::steady_timer& timer, Duration delay, std::function<void()> action)
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
        const bool callersGone = age > TAKE_REQUESTS_AFTER_TERM && m_door.openRequests() == 0;
        if (callersGone || age > m_settings.bounds.shutdownGrace - END_MARGIN) {
            telemetry::logEvent(spdlog::level::info, "host_stopped", { { "requests_cut", m_door.openRequests() } });
            spdlog::default_logger()->flush();
            return m_shutdownDone();
        }
        if (age > TAKE_REQUESTS_AFTER_TERM)
            m_frontend->stopListening();
        if (age > m_settings.bounds.directoryLifetime / 2)
            m_frontend->closeIdle();
        later(m_shutdownTimer, TICK, [this] { pollShutdown(); });
    }

    boost::asio::io_context& m_loop;
    const IClock& m_clock;
    const IWireCodec& m_codec;
    EntrySettings m_settings;
    catalog::Catalog m_catalog;
    fleet::PeerLoad m_peerLoad;
    balancing::Balancer m_balancer;
    routing::ModelLadder m_ladder;
    rollout::RolloutBoard m_rollouts;
    dispatch::RetryBudgets m_retries;
    admission::WaitingRoom m_waiting;
    std::unique_ptr<http::EventClient> m_client;
    telemetry::Metrics m_metrics;
    DecisionLog m_log;
    CatalogSync m_sync;
    FleetLink m_link;
    NamedHosts m_named;
    Conductor m_conductor;
    FlowContext m_flows;
    DriverContext m_drivers;
    FrontDoor m_door;
    StatusPages m_status;
    std::unique_ptr<http::EventServer> m_frontend;
    std::unique_ptr<http::EventServer> m_readiness;
    std::unique_ptr<http::EventServer> m_directory;
    std::unique_ptr<http::EventServer> m_metricsServer;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_pumpTimer;
    boost::asio::steady_timer m_shutdownTimer;
    std::function<void()> m_shutdownDone;
    std::optional<TimePoint> m_drainingSince;
    // Hosts that share limits, as of the last tick.
    int m_sharers = 1;
    TimePoint m_beliefsLoggedAt {};
    // Zero before the first tick.
    TimePoint m_tickDueAt {};
    // What the last report told of each upstream.
    std::map<fleet::ShortHash, fleet::UpstreamCounters> m_reported;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}

Result<std::unique_ptr<EntryHost>> EntryHost::start(boost::asio::io_context& loop, const IClock& clock,
    const IWireCodec& codec, store::IRecordStore& store, EntrySettings settings)
{
    auto host = std::make_unique<AsioEntryHost>(loop, clock, codec, store, std::move(settings));
    BOOST_LEAF_CHECK(host->listen());
    return std::unique_ptr<EntryHost>(std::move(host));
}

}
