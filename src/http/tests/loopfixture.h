#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/http/types/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <unistd.h>

#include <array>
#include <list>
#include <string>

#include <criterion/criterion.h>

// Event loop with real sockets, and a peer that sends and receives raw bytes.
namespace fireflyhaven::http::test {

using Tcp = boost::asio::ip::tcp;

// Loopback address derived from the process id: tests run as separate processes in parallel and must not share
// addresses.
inline std::string uniqueLoopbackIp(int lastOctet = 1)
{
    constexpr int OCTET_VALUES = 250;
    const int pid = static_cast<int>(getpid());
    return "127." + std::to_string(1 + pid / OCTET_VALUES % OCTET_VALUES) + "." + std::to_string(1 + pid % OCTET_VALUES)
        + "." + std::to_string(lastOctet);
}

class EventLoop {
public:
    // Runs the loop until the condition holds. The test fails after 10 s; `what` describes the condition.
    template <typename Condition> void runUntil(Condition condition, const char* what)
    {
        constexpr Duration TIMEOUT { 10'000 };
        const TimePoint end = m_clock.now() + TIMEOUT;
        while (!condition()) {
            cr_assert(m_clock.now() < end, "timed out waiting until %s", what);
            m_io.restart();
            m_io.run_one_for(std::chrono::milliseconds(5));
        }
    }
    // Runs pending handlers for a short time, so that a test can check that an event does not occur.
    void runPending()
    {
        for (int n = 0; n < 20; ++n) {
            m_io.restart();
            m_io.run_one_for(std::chrono::milliseconds(2));
        }
    }
    // Endpoint on which nothing listens. `ip` must belong to this process alone, so that no other process takes the
    // port.
    Endpoint freeEndpoint(const std::string& ip) { return freeEndpoints<1>(ip).front(); }
    // Several such endpoints, all different: each port is held until all are found.
    template <std::size_t N> std::array<Endpoint, N> freeEndpoints(const std::string& ip)
    {
        std::list<Tcp::acceptor> probes;
        std::array<Endpoint, N> endpoints;
        for (Endpoint& it : endpoints) {
            probes.emplace_back(m_io, Tcp::endpoint(boost::asio::ip::make_address(ip), 0));
            it = { .ip = ip, .port = probes.back().local_endpoint().port() };
        }
        return endpoints;
    }
    boost::asio::io_context& io() { return m_io; }
    const SystemClock& clock() const { return m_clock; }

private:
    boost::asio::io_context m_io { 1 };
    SystemClock m_clock;
};

// Whether a peer reads what it is sent. One that does not fills the buffers of the connection.
enum class PeerReads { Yes, No };

// One connection of the peer. Collects all received bytes.
class RawPeer {
public:
    RawPeer(EventLoop& loop, Tcp::socket socket, PeerReads reads = PeerReads::Yes)
        : m_loop(loop)
        , m_socket(std::move(socket))
    {
        if (reads == PeerReads::Yes)
            read();
    }
    RawPeer(EventLoop& loop, const Endpoint& address)
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
    // Ends the sending side only.
    void finishSending()
    {
        boost::system::error_code ec;
        m_socket.shutdown(Tcp::socket::shutdown_send, ec);
    }
    // For a peer that did not read so far.
    void startReading() { read(); }
    // Reads what has arrived, once, without keeping it.
    void readSome()
    {
        boost::system::error_code ec;
        std::string buf(m_socket.available(ec), '\0');
        boost::asio::read(m_socket, boost::asio::buffer(buf), ec);
    }
    // Closes the connection with a TCP reset.
    void reset()
    {
        boost::system::error_code ec;
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
        m_socket.close(ec);
    }
    void await(const std::string& expected)
    {
        m_loop.runUntil([&] { return m_received.find(expected) != std::string::npos; }, expected.c_str());
    }
    void awaitClose()
    {
        m_loop.runUntil([&] { return m_closed; }, "the connection ends");
    }
    const std::string& received() const { return m_received; }
    bool isClosed() const { return m_closed; }
    int count(const std::string& expected) const
    {
        int n = 0;
        for (std::size_t at = m_received.find(expected); at != std::string::npos;
             at = m_received.find(expected, at + 1))
            ++n;
        return n;
    }

private:
    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_buf), [this](boost::system::error_code ec, std::size_t n) {
            if (ec == boost::asio::error::operation_aborted)
                return;
            m_closed = static_cast<bool>(ec);
            m_received.append(m_buf.data(), n);
            if (!ec)
                read();
        });
    }

    EventLoop& m_loop;
    Tcp::socket m_socket;
    std::array<char, 4096> m_buf {};
    std::string m_received;
    bool m_closed = false;
};

}
