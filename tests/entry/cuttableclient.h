#pragma once

#include "fireflyhaven/http/eventclient.h"

#include <boost/asio/steady_timer.hpp>

namespace fireflyhaven::test {

// How a host's links to its upstreams are cut.
enum class Cut {
    None,
    // Connections hang; new ones time out.
    Silent,
    // Connections are reset, new ones are refused.
    Refusing,
    // Open connections live on, new ones are refused.
    RefusingNewOnly,
};

// The state of a host's links, which the test changes.
struct Links {
    Cut cut = Cut::None;
};

// An upstream client whose links can be cut.
class CuttableClient final : public http::EventClient {
public:
    CuttableClient(boost::asio::io_context& loop, const IClock& clock, const Links& links)
        : m_loop(loop)
        , m_links(links)
        , m_client(http::EventClient::create(loop, clock, {}))
    {
    }

    std::unique_ptr<http::ClientCall> start(
        const http::Endpoint& peer, http::OutgoingRequest request, http::IResponseObserver& observer) override
    {
        const bool reusesConnection = m_links.cut == Cut::RefusingNewOnly && m_client->idleConnectionsTo(peer) > 0;
        if (m_links.cut == Cut::None || reusesConnection)
            return m_client->start(peer, std::move(request), observer);
        const Duration delay = m_links.cut == Cut::Silent ? request.connectTimeout : Duration(1);
        return std::make_unique<FailingCall>(m_loop, delay, observer);
    }
    void checkConnection(
        const http::Endpoint& peer, Duration timeout, std::function<void(http::ConnectionResult)> done) override
    {
        if (m_links.cut == Cut::None)
            return m_client->checkConnection(peer, timeout, std::move(done));
        auto timer = std::make_shared<boost::asio::steady_timer>(m_loop);
        const bool silent = m_links.cut == Cut::Silent;
        timer->expires_after(silent ? timeout : Duration(1));
        const auto result = silent ? http::ConnectionResult::TimedOut : http::ConnectionResult::Refused;
        timer->async_wait([timer, result, done = std::move(done)](boost::system::error_code) { done(result); });
    }
    std::size_t connectionsTo(const http::Endpoint& peer) const override { return m_client->connectionsTo(peer); }
    std::size_t idleConnectionsTo(const http::Endpoint& peer) const override
    {
        return m_client->idleConnectionsTo(peer);
    }
    void closeIdleConnectionsTo(const http::Endpoint& peer) override { m_client->closeIdleConnectionsTo(peer); }
    std::uint64_t connectionsOpened() const override { return m_client->connectionsOpened(); }

private:
    // A call that never gets a connection.
    class FailingCall final : public http::ClientCall {
    public:
        FailingCall(boost::asio::io_context& loop, Duration delay, http::IResponseObserver& observer)
            : m_timer(loop)
        {
            m_timer.expires_after(delay);
            m_timer.async_wait([&observer, alive = std::weak_ptr<bool>(m_alive)](boost::system::error_code) {
                if (alive.lock())
                    observer.onFailed(http::SendState::NothingSent, "cannot connect");
            });
        }
        void pause() override { }
        void resume() override { }
        bool anythingSent() const override { return false; }

    private:
        boost::asio::steady_timer m_timer;
        std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    };

    boost::asio::io_context& m_loop;
    const Links& m_links;
    std::unique_ptr<http::EventClient> m_client;
};

}
