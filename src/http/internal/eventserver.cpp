#include "fireflyhaven/http/eventserver.h"

#include "serverconnection.h"

#include <absl/container/flat_hash_set.h>
#include <boost/asio/steady_timer.hpp>
#include <spdlog/spdlog.h>

namespace fireflyhaven::http {

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr std::chrono::milliseconds TIMEOUT_SWEEP_INTERVAL { 500 };
constexpr std::chrono::milliseconds ACCEPT_RETRY_DELAY { 100 };

class AsioServer final : public EventServer, public std::enable_shared_from_this<AsioServer> {
public:
    AsioServer(boost::asio::io_context& loop, const IClock& clock, EventServerOptions options, ExchangeHandler handler)
        : m_acceptor(loop)
        , m_sweepTimer(loop)
        , m_acceptTimer(loop)
        , m_options(std::move(options))
        , m_context(std::make_shared<ServerContext>(ServerContext {
              .clock = clock, .limits = m_options.limits, .handler = std::move(handler), .memory = m_options.memory }))
    {
    }

    bool listen()
    {
        IoErrorCode ec;
        const auto address = boost::asio::ip::make_address(m_options.listen.ip, ec);
        if (ec)
            return false;
        m_acceptor.open(Tcp::v4(), ec);
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
        m_acceptor.bind({ address, m_options.listen.port }, ec);
        if (!ec)
            m_acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
        return !ec;
    }

    void run()
    {
        accept();
        sweep();
    }

    void stop()
    {
        stopListening();
        m_stopped = true;
        m_sweepTimer.cancel();
        const auto connections = std::exchange(m_connections, {});
        for (const auto& it : connections)
            it->close();
    }

    void setLimits(const RequestLimits& limits) override { m_context->limits = limits; }
    void closeAfterResponses() override { m_context->closeAfterResponses = true; }
    void closeIdleConnections() override
    {
        for (const auto& it : m_connections)
            it->closeIfIdle();
    }
    void stopListening() override
    {
        IoErrorCode ec;
        m_acceptor.close(ec);
        m_acceptTimer.cancel();
    }
    std::size_t openConnections() const override { return m_connections.size(); }
    std::size_t openExchanges() const override { return m_context->openExchanges; }

private:
    void accept()
    {
        if (!m_acceptor.is_open())
            return;
        if (m_connections.size() >= m_options.maxConnections)
            return retryAcceptLater();
        m_acceptor.async_accept([weak = weak_from_this()](IoErrorCode ec, Tcp::socket socket) {
            if (const auto self = weak.lock())
                self->onAccepted(ec, std::move(socket));
        });
    }

    void onAccepted(IoErrorCode ec, Tcp::socket socket)
    {
        if (ec == boost::asio::error::operation_aborted)
            return;
        if (ec) {
            spdlog::warn("cannot accept a connection: {}", ec.message());
            return retryAcceptLater();
        }
        const auto connection = std::make_shared<ServerConnection>(std::move(socket), m_context);
        m_connections.insert(connection);
        connection->start();
        accept();
    }

    void retryAcceptLater()
    {
        m_acceptTimer.expires_after(ACCEPT_RETRY_DELAY);
        m_acceptTimer.async_wait([weak = weak_from_this()](IoErrorCode ec) {
            const auto self = weak.lock();
            if (!ec && self)
                self->accept();
        });
    }

    void sweep()
    {
        if (m_stopped)
            return;
        for (const auto& it : m_connections)
            it->enforceTimeouts();
        absl::erase_if(m_connections, [](const auto& it) { return it->isClosed(); });
        m_sweepTimer.expires_after(TIMEOUT_SWEEP_INTERVAL);
        m_sweepTimer.async_wait([weak = weak_from_this()](IoErrorCode ec) {
            const auto self = weak.lock();
            if (!ec && self)
                self->sweep();
        });
    }

    Tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_sweepTimer;
    boost::asio::steady_timer m_acceptTimer;
    EventServerOptions m_options;
    std::shared_ptr<ServerContext> m_context;
    absl::flat_hash_set<std::shared_ptr<ServerConnection>> m_connections;
    bool m_stopped = false;
};

// Stops the server on destruction, even if handlers queued in the event loop still hold references to it.
class ServerHandle final : public EventServer {
public:
    explicit ServerHandle(std::shared_ptr<AsioServer> server)
        : m_server(std::move(server))
    {
    }
    ServerHandle(const ServerHandle&) = delete;
    ServerHandle& operator=(const ServerHandle&) = delete;
    ~ServerHandle() override { m_server->stop(); }

    void setLimits(const RequestLimits& limits) override { m_server->setLimits(limits); }
    void closeAfterResponses() override { m_server->closeAfterResponses(); }
    void closeIdleConnections() override { m_server->closeIdleConnections(); }
    void stopListening() override { m_server->stopListening(); }
    std::size_t openConnections() const override { return m_server->openConnections(); }
    std::size_t openExchanges() const override { return m_server->openExchanges(); }

private:
    std::shared_ptr<AsioServer> m_server;
};

}

Result<std::unique_ptr<EventServer>> EventServer::start(
    boost::asio::io_context& loop, const IClock& clock, EventServerOptions options, ExchangeHandler handler)
{
    const std::string address = options.listen.text();
    auto server = std::make_shared<AsioServer>(loop, clock, std::move(options), std::move(handler));
    if (!server->listen())
        return failure(ErrorCode::Unavailable, "cannot listen on " + address);
    server->run();
    return std::unique_ptr<EventServer>(std::make_unique<ServerHandle>(std::move(server)));
}

}
