#pragma once

#include "loopfixture.h"

#include <sys/socket.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

// A peer on a thread of its own, for clients that block their caller.
namespace fireflyhaven::http::test {

// One connection of the raw server, with blocking calls.
class RawConnection {
public:
    explicit RawConnection(Tcp::socket socket)
        : m_socket(std::move(socket))
    {
    }

    // Reads the head of one request; returns false where the connection ended.
    bool readHead()
    {
        while (m_received.find(HEAD_END) == std::string::npos) {
            if (!readMore())
                return false;
        }
        return true;
    }
    // Reads one request, with the given number of bytes of its body; returns false where the connection ended.
    bool readRequest(std::size_t bodyBytes)
    {
        if (!readHead())
            return false;
        const std::size_t requestBytes = m_received.find(HEAD_END) + HEAD_END.size() + bodyBytes;
        while (m_received.size() < requestBytes) {
            if (!readMore())
                return false;
        }
        m_received.erase(0, requestBytes);
        return true;
    }
    void send(const std::string& text)
    {
        boost::system::error_code ec;
        boost::asio::write(m_socket, boost::asio::buffer(text), ec);
    }
    void finishSending()
    {
        boost::system::error_code ec;
        m_socket.shutdown(Tcp::socket::shutdown_send, ec);
    }
    // Wakes a thread that reads from the connection.
    void shutDown() { ::shutdown(m_socket.native_handle(), SHUT_RDWR); }
    void reset()
    {
        boost::system::error_code ec;
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
        m_socket.close(ec);
    }
    // Reads until the peer ends the connection.
    void awaitClose()
    {
        while (readMore())
            m_received.clear();
    }

private:
    static constexpr std::string_view HEAD_END = "\r\n\r\n";

    bool readMore()
    {
        std::array<char, 65536> piece {};
        boost::system::error_code ec;
        const std::size_t n = m_socket.read_some(boost::asio::buffer(piece), ec);
        m_received.append(piece.data(), n);
        return !ec;
    }

    Tcp::socket m_socket;
    std::string m_received;
};

// Accepts connections one after the other and plays `serve` on each; the connection is closed when that returns.
class RawServer {
public:
    using Serve = std::function<void(RawConnection&)>;

    explicit RawServer(Serve serve, std::optional<int> receiveBufferBytes = std::nullopt)
        : m_acceptor(m_io, { boost::asio::ip::make_address(uniqueLoopbackIp()), 0 })
        , m_serve(std::move(serve))
    {
        if (receiveBufferBytes)
            m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(*receiveBufferBytes));
        m_thread = std::thread([this] { acceptAll(); });
    }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;
    ~RawServer()
    {
        // Wakes the thread in accept().
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        {
            const std::lock_guard lock(m_mutex);
            m_stopped = true;
            if (m_current)
                m_current->shutDown();
        }
        m_thread.join();
    }

    Endpoint address() const { return { .ip = uniqueLoopbackIp(), .port = m_acceptor.local_endpoint().port() }; }
    std::string url() const { return "http://" + address().text() + "/"; }
    int connections() const { return m_connections; }

private:
    void acceptAll()
    {
        while (true) {
            boost::system::error_code ec;
            Tcp::socket socket = m_acceptor.accept(ec);
            if (ec)
                return;
            RawConnection connection(std::move(socket));
            if (!setCurrent(&connection))
                return;
            ++m_connections;
            m_serve(connection);
            setCurrent(nullptr);
        }
    }
    bool setCurrent(RawConnection* connection)
    {
        const std::lock_guard lock(m_mutex);
        m_current = connection;
        return !m_stopped;
    }

    boost::asio::io_context m_io { 1 };
    Tcp::acceptor m_acceptor;
    const Serve m_serve;
    std::atomic<int> m_connections { 0 };
    std::mutex m_mutex;
    bool m_stopped = false;
    RawConnection* m_current = nullptr;
    std::thread m_thread;
};

}
