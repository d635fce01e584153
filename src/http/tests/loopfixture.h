#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/http/types/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <unistd.h>

#include <array>
#include <string>

#include <criterion/criterion.h>

// An event loop with real sockets, and a peer that sends and receives bytes as a test tells it to.
namespace fireflyhaven::http::test {

using Tcp = boost::asio::ip::tcp;

// A loopback address that no other test process uses; tests run as processes of their own, several at a time.
inline std::string ownIp(int host = 1)
{
    constexpr int PARTS = 250;
    const int pid = static_cast<int>(getpid());
    return "127." + std::to_string(1 + pid / PARTS % PARTS) + "." + std::to_string(1 + pid % PARTS) + "."
        + std::to_string(host);
}

class Loop {
public:
    // Runs the loop until the condition holds; the test fails where that takes more than some seconds.
    template <typename Condition> void runUntil(Condition condition, const char* what)
    {
        constexpr Duration LIMIT { 10'000 };
        const TimePoint end = m_clock.now() + LIMIT;
        while (!condition()) {
            cr_assert(m_clock.now() < end, "waited in vain until %s", what);
            m_io.restart();
            m_io.run_one_for(std::chrono::milliseconds(5));
        }
    }
    // Takes what is ready to run, so that what should not happen has its chance to.
    void settle()
    {
        for (int n = 0; n < 20; ++n) {
            m_io.restart();
            m_io.run_one_for(std::chrono::milliseconds(2));
        }
    }
    // Nobody listens there, and nobody else is going to.
    Endpoint freeEndpoint(const std::string& ip)
    {
        Tcp::acceptor probe(m_io, { boost::asio::ip::make_address(ip), 0 });
        return { .ip = ip, .port = probe.local_endpoint().port() };
    }
    boost::asio::io_context& io() { return m_io; }
    const SystemClock& clock() const { return m_clock; }

private:
    boost::asio::io_context m_io { 1 };
    SystemClock m_clock;
};

// One connection of the peer; collects what arrives.
class RawPeer {
public:
    RawPeer(Loop& loop, Tcp::socket socket)
        : m_loop(loop)
        , m_socket(std::move(socket))
    {
        read();
    }
    RawPeer(Loop& loop, const Endpoint& address)
        : m_loop(loop)
        , m_socket(loop.io())
    {
        m_socket.connect({ boost::asio::ip::make_address(address.ip), address.port });
        read();
    }
    RawPeer(const RawPeer&) = delete;
    RawPeer& operator=(const RawPeer&) = delete;

    void send(const std::string& text)
    {
        boost::system::error_code ec;
        boost::asio::write(m_socket, boost::asio::buffer(text), ec);
    }
    void close()
    {
        boost::system::error_code ec;
        m_socket.close(ec);
    }
    void reset()
    {
        boost::system::error_code ec;
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
        m_socket.close(ec);
    }
    void await(const std::string& part)
    {
        m_loop.runUntil([&] { return m_received.find(part) != std::string::npos; }, part.c_str());
    }
    void awaitEnd()
    {
        m_loop.runUntil([&] { return m_ended; }, "the connection ends");
    }
    const std::string& received() const { return m_received; }
    bool hasEnded() const { return m_ended; }
    int count(const std::string& part) const
    {
        int n = 0;
        for (std::size_t at = m_received.find(part); at != std::string::npos; at = m_received.find(part, at + 1))
            ++n;
        return n;
    }

private:
    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_buf), [this](boost::system::error_code ec, std::size_t n) {
            if (ec == boost::asio::error::operation_aborted)
                return;
            m_ended = static_cast<bool>(ec);
            m_received.append(m_buf.data(), n);
            if (!ec)
                read();
        });
    }

    Loop& m_loop;
    Tcp::socket m_socket;
    std::array<char, 4096> m_buf {};
    std::string m_received;
    bool m_ended = false;
};

}
