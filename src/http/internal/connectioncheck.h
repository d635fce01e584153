#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/http/eventclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace fireflyhaven::http {

// Opens one connection and closes it at once.
class ConnectionCheck : public std::enable_shared_from_this<ConnectionCheck> {
public:
    // `done` gets how that ended; it is not called from within this call.
    static void start(boost::asio::io_context& loop, const Endpoint& peer, Duration timeout,
        std::function<void(ConnectionResult)> done);

    ConnectionCheck(boost::asio::io_context& loop, std::function<void(ConnectionResult)> done);

private:
    void connect(const Endpoint& peer, Duration timeout);
    void finish(ConnectionResult result);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::function<void(ConnectionResult)> m_done;
};

}
