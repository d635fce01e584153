#include "connectioncheck.h"

namespace fireflyhaven::http {

ConnectionCheck::ConnectionCheck(boost::asio::io_context& loop, std::function<void(ConnectionResult)> done)
    : m_socket(loop)
    , m_timer(loop)
    , m_done(std::move(done))
{
}

void ConnectionCheck::start(
    boost::asio::io_context& loop, const Endpoint& peer, Duration timeout, std::function<void(ConnectionResult)> done)
{
    std::make_shared<ConnectionCheck>(loop, std::move(done))->connect(peer, timeout);
}

void ConnectionCheck::connect(const Endpoint& peer, Duration timeout)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec)
            self->finish(ConnectionResult::TimedOut);
    });
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(peer.ip, ec);
    // An address that cannot be read is reported by the timer.
    if (ec)
        return;
    m_socket.async_connect({ address, peer.port }, [self = shared_from_this()](boost::system::error_code error) {
        self->finish(error ? ConnectionResult::Refused : ConnectionResult::Connected);
    });
}

void ConnectionCheck::finish(ConnectionResult result)
{
    if (!m_done)
        return;
    m_timer.cancel();
    boost::system::error_code ec;
    m_socket.close(ec);
    std::exchange(m_done, nullptr)(result);
}

}
