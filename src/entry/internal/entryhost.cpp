#include "fireflyhaven/entry/entryhost.h"

#include "catalogsync.h"
#include "fireflyhaven/http/eventserver.h"
#include "fireflyhaven/http/types/status.h"
#include "requestdriver.h"

#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>

#include <list>

namespace fireflyhaven::entry {

namespace {

constexpr Duration DIRECTORY_LIFETIME { 2000 };
constexpr Duration SHUTDOWN_POLL { 50 };

class AsioEntryHost final : public EntryHost {
public:
    AsioEntryHost(boost::asio::io_context& loop, const IClock& clock, const IWireCodec& codec,
        store::IRecordStore& store, EntrySettings settings)
        : m_loop(loop)
        , m_clock(clock)
        , m_codec(codec)
        , m_settings(std::move(settings))
        , m_balancer(m_catalog)
        , m_retries({ .ratio = 0.5, .burst = 5, .maxAttempts = 10 })
        , m_client(http::EventClient::create(loop, clock))
        , m_sync(loop, clock, codec, store, m_catalog, m_settings)
        , m_flows { .catalog = m_catalog,
            .balancer = m_balancer,
            .retries = m_retries,
            .mayUseKeys = [this](TimePoint now) { return m_sync.mayUseKeys(now); } }
        , m_drivers { .loop = loop, .clock = clock, .codec = codec, .client = *m_client, .flows = m_flows }
        , m_shutdownTimer(loop)
    {
    }

    Result<void> listen()
    {
        BOOST_LEAF_ASSIGN(
            m_frontend, startServer(m_settings.frontend, [this](auto exchange) { serveCaller(std::move(exchange)); }));
        BOOST_LEAF_ASSIGN(
            m_readiness, startServer(m_settings.readiness, [this](auto exchange) { serveReadiness(*exchange); }));
        BOOST_LEAF_ASSIGN(
            m_directory, startServer(m_settings.directory, [this](auto exchange) { serveDirectory(*exchange); }));
        m_sync.start([this] { onConfiguration(); });
        spdlog::info("host {} serves {}", m_settings.host.value(), m_settings.frontend.text());
        return {};
    }

    void shutDown(std::function<void()> done) override
    {
        spdlog::info("shutting down");
        m_draining = true;
        m_frontend->closeAfterAnswers();
        m_shutdownDone = std::move(done);
        pollShutdown();
    }

private:
    Result<std::unique_ptr<http::EventServer>> startServer(const http::Endpoint& address, http::ExchangeHandler handler)
    {
        http::EventServerOptions options { .listen = address, .maxConnections = m_settings.limits.descriptors / 3 };
        return http::EventServer::start(m_loop, m_clock, options, std::move(handler));
    }

    void onConfiguration()
    {
        const catalog::CallerBounds& bounds = m_catalog.configuration().callerBounds;
        m_frontend->setLimits({ .maxHeaderBytes = bounds.maxHeaderBytes,
            .maxBodyBytes = bounds.maxBodyBytes,
            .headerTimeout = bounds.headerTimeout,
            .idleTimeout = bounds.idleTimeout });
    }

    void serveCaller(std::shared_ptr<http::Exchange> exchange)
    {
        const auto place = m_requests.emplace(m_requests.end());
        *place = std::make_unique<RequestDriver>(m_drivers, std::move(exchange), [this, place] {
            // The driver is still in one of its own callbacks.
            boost::asio::post(m_loop, [this, place] { m_requests.erase(place); });
        });
        (*place)->begin();
    }

    void serveReadiness(http::Exchange& exchange)
    {
        if (!m_codec.isReadinessQuestion(exchange.head()))
            return exchange.answer({ .status = STATUS_NOT_FOUND }, {});
        const bool ready = m_catalog.hasConfiguration() && !m_draining;
        exchange.answer({ .status = ready ? STATUS_OK : STATUS_UNAVAILABLE }, {});
    }

    void serveDirectory(http::Exchange& exchange)
    {
        const auto question = m_codec.decodeAddressQuestion(exchange.head());
        if (!question)
            return exchange.answer({ .status = STATUS_NOT_FOUND }, {});
        http::ResponseHead head { .status = STATUS_OK };
        head.headers.add("Content-Type", "application/json");
        exchange.answer(head, m_codec.encodeAddresses({ m_settings.frontend }, DIRECTORY_LIFETIME));
    }

    void pollShutdown()
    {
        if (m_requests.empty()) {
            m_frontend->stopListening();
            return m_shutdownDone();
        }
        m_shutdownTimer.expires_after(SHUTDOWN_POLL);
        m_shutdownTimer.async_wait([this](boost::system::error_code ec) {
            if (!ec)
                pollShutdown();
        });
    }

    boost::asio::io_context& m_loop;
    const IClock& m_clock;
    const IWireCodec& m_codec;
    const EntrySettings m_settings;
    catalog::Catalog m_catalog;
    balancing::Balancer m_balancer;
    dispatch::RetryBudget m_retries;
    std::unique_ptr<http::EventClient> m_client;
    CatalogSync m_sync;
    FlowContext m_flows;
    DriverContext m_drivers;
    std::list<std::unique_ptr<RequestDriver>> m_requests;
    std::unique_ptr<http::EventServer> m_frontend;
    std::unique_ptr<http::EventServer> m_readiness;
    std::unique_ptr<http::EventServer> m_directory;
    boost::asio::steady_timer m_shutdownTimer;
    std::function<void()> m_shutdownDone;
    bool m_draining = false;
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
