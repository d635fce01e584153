#include "fireflyhaven/http/eventclient.h"

#include "clientconnection.h"
#include "connectioncheck.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace fireflyhaven::http {

namespace {

// Owns a connection for the duration of one call. Its destruction before the end of the call closes the connection.
class PooledCall final : public ClientCall, public IResponseObserver {
public:
    PooledCall(std::shared_ptr<ClientConnection> connection, IResponseObserver& observer)
        : m_connection(std::move(connection))
        , m_observer(observer)
    {
    }
    PooledCall(const PooledCall&) = delete;
    PooledCall& operator=(const PooledCall&) = delete;
    ~PooledCall() override
    {
        if (m_connection)
            m_connection->cancel();
    }

    void pause() override
    {
        if (m_connection)
            m_connection->pause();
    }
    void resume() override
    {
        if (m_connection)
            m_connection->resume();
    }
    bool anythingSent() const override { return m_connection && m_connection->anythingSent(); }

    HeadVerdict onHead(const ResponseHead& head) override { return m_observer.onHead(head); }
    void onBodyData(std::string_view piece) override { m_observer.onBodyData(piece); }
    void onComplete() override
    {
        m_connection.reset();
        m_observer.onComplete();
    }
    void onFailed(SendState state, const std::string& reason) override
    {
        m_connection.reset();
        m_observer.onFailed(state, reason);
    }

private:
    std::shared_ptr<ClientConnection> m_connection;
    IResponseObserver& m_observer;
};

class AsioClient final : public EventClient, public IConnectionOwner {
public:
    AsioClient(boost::asio::io_context& loop, const IClock& clock, EventClientOptions options)
        : m_loop(loop)
        , m_clock(clock)
        , m_options(options)
    {
    }
    AsioClient(const AsioClient&) = delete;
    AsioClient& operator=(const AsioClient&) = delete;
    ~AsioClient() override
    {
        for (auto& [peer, it] : m_peers) {
            for (const auto& connection : it.all) {
                connection->setOwner(nullptr);
                connection->close();
            }
        }
    }

    std::unique_ptr<ClientCall> start(
        const Endpoint& peer, OutgoingRequest request, IResponseObserver& observer) override
    {
        auto connection = takeIdle(peer, request.maxIdleTime);
        if (!connection)
            connection = open(peer);
        auto call = std::make_unique<PooledCall>(connection, observer);
        connection->send(std::move(request), *call);
        return call;
    }

    void checkConnection(const Endpoint& peer, Duration timeout, std::function<void(ConnectionResult)> done) override
    {
        ++m_connectionsOpened;
        ConnectionCheck::start(m_loop, peer, timeout,
            [alive = std::weak_ptr<bool>(m_alive), done = std::move(done)](ConnectionResult result) {
                if (alive.lock())
                    done(result);
            });
    }

    std::size_t connectionsTo(const Endpoint& peer) const override
    {
        const auto it = m_peers.find(peer);
        return it == m_peers.end() ? 0 : it->second.all.size();
    }

    std::size_t idleConnectionsTo(const Endpoint& peer) const override
    {
        const auto it = m_peers.find(peer);
        return it == m_peers.end() ? 0 : it->second.idle.size();
    }

    void closeIdleConnectionsTo(const Endpoint& peer) override
    {
        const auto it = m_peers.find(peer);
        if (it == m_peers.end())
            return;
        const auto idle = it->second.idle;
        for (const auto& connection : idle)
            connection->close();
    }

    std::uint64_t connectionsOpened() const override { return m_connectionsOpened; }

    void onIdle(const std::shared_ptr<ClientConnection>& connection) override
    {
        m_peers[connection->peer()].idle.push_back(connection);
    }

    void onClosed(const std::shared_ptr<ClientConnection>& connection) override
    {
        const auto it = m_peers.find(connection->peer());
        if (it == m_peers.end())
            return;
        std::erase(it->second.idle, connection);
        std::erase(it->second.all, connection);
        if (it->second.all.empty())
            m_peers.erase(it);
    }

private:
    struct Peer {
        std::vector<std::shared_ptr<ClientConnection>> all;
        // In order of last use, the most recent at the end.
        std::vector<std::shared_ptr<ClientConnection>> idle;
    };

    std::shared_ptr<ClientConnection> takeIdle(const Endpoint& peer, std::optional<Duration> maxIdleTime)
    {
        const auto it = m_peers.find(peer);
        if (it == m_peers.end())
            return nullptr;
        closeExpired(it->second);
        auto current = m_peers.find(peer);
        while (current != m_peers.end() && !current->second.idle.empty()) {
            auto connection = current->second.idle.back();
            if (maxIdleTime && connection->idleFor(m_clock.now()) > *maxIdleTime)
                return nullptr;
            current->second.idle.pop_back();
            if (connection->isQuiet())
                return connection;
            connection->close();
            current = m_peers.find(peer);
        }
        return nullptr;
    }

    void closeExpired(const Peer& peer)
    {
        const TimePoint now = m_clock.now();
        std::vector<std::shared_ptr<ClientConnection>> expired;
        std::copy_if(peer.idle.begin(), peer.idle.end(), std::back_inserter(expired),
            [&](const auto& it) { return it->isExpired(now); });
        for (const auto& it : expired)
            it->close();
    }

    std::shared_ptr<ClientConnection> open(const Endpoint& peer)
    {
        auto connection = std::make_shared<ClientConnection>(m_loop, m_clock, peer, m_options);
        connection->setOwner(this);
        m_peers[peer].all.push_back(connection);
        ++m_connectionsOpened;
        return connection;
    }

    boost::asio::io_context& m_loop;
    const IClock& m_clock;
    const EventClientOptions m_options;
    absl::flat_hash_map<Endpoint, Peer> m_peers;
    std::uint64_t m_connectionsOpened = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}

std::unique_ptr<EventClient> EventClient::create(
    boost::asio::io_context& loop, const IClock& clock, EventClientOptions options)
{
    return std::make_unique<AsioClient>(loop, clock, options);
}

}
