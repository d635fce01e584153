#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

// A small blocking HTTP/1.1 implementation for the stand-ins of the review: one thread for each connection.
namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline Milliseconds elapsed(Clock::time_point from, Clock::time_point until = Clock::now())
{
    return std::chrono::duration_cast<Milliseconds>(until - from);
}

struct Endpoint {
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
    sockaddr_in address() const
    {
        sockaddr_in it {};
        it.sin_family = AF_INET;
        it.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &it.sin_addr);
        return it;
    }
};

inline std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct Message {
    // Request line or status line.
    std::string startLine;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        const auto first = startLine.find(' ');
        return startLine.substr(first + 1, startLine.rfind(' ') - first - 1);
    }
    std::string path() const { return target().substr(0, target().find('?')); }
    std::string query(const std::string& name) const
    {
        const std::string text = "&" + target().substr(std::min(target().size(), target().find('?') + 1));
        const auto at = text.find("&" + name + "=");
        if (target().find('?') == std::string::npos || at == std::string::npos)
            return {};
        const auto first = at + name.size() + 2;
        return text.substr(first, text.find('&', first) - first);
    }
    int status() const { return startLine.size() < 12 ? 0 : std::atoi(startLine.substr(9, 3).c_str()); }
};

// A connected socket. All functions return false at the end of the connection or at an error.
class Connection {
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { ::close(m_fd); }

    static std::unique_ptr<Connection> open(const Endpoint& to, Milliseconds timeout)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        timeval limit { .tv_sec = timeout.count() / 1000, .tv_usec = (timeout.count() % 1000) * 1000 };
        setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
        const sockaddr_in address = to.address();
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
            return std::make_unique<Connection>(fd);
        ::close(fd);
        return nullptr;
    }

    int fd() const { return m_fd; }
    // The other side sees a reset in place of an orderly end.
    void resetOnClose()
    {
        const linger it { .l_onoff = 1, .l_linger = 0 };
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &it, sizeof(it));
    }
    bool timedOut() const { return m_timedOut; }
    // Reading functions give up at this time.
    void setDeadline(std::optional<Clock::time_point> deadline) { m_deadline = deadline; }
    // Says whose connection it is, for `Server::resetConnections`.
    void setLabel(const std::string& label)
    {
        const std::lock_guard lock(m_labelMutex);
        m_label = label;
    }
    std::string label() const
    {
        const std::lock_guard lock(m_labelMutex);
        return m_label;
    }

    bool write(std::string_view data)
    {
        while (!data.empty()) {
            const ssize_t n = ::send(m_fd, data.data(), data.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            data.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    // Whether the other side has closed the connection; bytes that it has sent stay unread.
    bool isClosedByPeer() const
    {
        char c = 0;
        const ssize_t n = ::recv(m_fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    bool readHead(Message& message)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill())
                return false;
        }
        const std::string head = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 4);
        std::size_t line = head.find("\r\n");
        message.startLine = head.substr(0, line);
        while (line != std::string::npos) {
            const std::size_t first = line + 2;
            line = head.find("\r\n", first);
            const std::string field = head.substr(first, line == std::string::npos ? line : line - first);
            const auto colon = field.find(':');
            const auto value = field.find_first_not_of(" \t", colon + 1);
            message.headers[lowerCase(field.substr(0, colon))]
                = value == std::string::npos ? std::string() : field.substr(value);
        }
        return true;
    }

    // Reads a body; `onPiece` gets each piece as it arrives. A body without a length ends with the connection.
    bool readBody(Message& message, bool isResponse, const std::function<void(std::string_view)>& onPiece = {})
    {
        const auto add = [&](std::size_t n) {
            message.body.append(m_buffer, 0, n);
            if (onPiece)
                onPiece(std::string_view(m_buffer).substr(0, n));
            m_buffer.erase(0, n);
        };
        if (lowerCase(message.header("transfer-encoding")) == "chunked") {
            while (true) {
                std::size_t end = 0;
                while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!fill())
                        return false;
                }
                const std::size_t n = std::stoul(m_buffer.substr(0, end), nullptr, 16);
                while (m_buffer.size() < end + 2 + n + 2) {
                    if (!fill())
                        return false;
                }
                m_buffer.erase(0, end + 2);
                add(n);
                m_buffer.erase(0, 2);
                if (n == 0)
                    return true;
            }
        }
        const std::string length = message.header("content-length");
        if (length.empty() && !isResponse)
            return true;
        if (length.empty()) {
            do {
                add(m_buffer.size());
            } while (fill());
            return m_ended;
        }
        const std::size_t n = std::stoul(length);
        while (m_buffer.size() < n) {
            if (!fill())
                return false;
        }
        add(n);
        return true;
    }

private:
    bool fill()
    {
        if (m_deadline) {
            pollfd it { .fd = m_fd, .events = POLLIN, .revents = 0 };
            const auto left = elapsed(Clock::now(), *m_deadline).count();
            if (left <= 0 || ::poll(&it, 1, static_cast<int>(left)) == 0) {
                m_timedOut = true;
                return false;
            }
        }
        char bytes[16384];
        const ssize_t n = ::recv(m_fd, bytes, sizeof(bytes), 0);
        m_ended = n == 0;
        if (n <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    const int m_fd;
    std::string m_buffer;
    std::optional<Clock::time_point> m_deadline;
    bool m_ended = false;
    bool m_timedOut = false;
    mutable std::mutex m_labelMutex;
    std::string m_label;
};

inline std::string plainAnswer(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts connections and serves each in a thread of its own. The handler returns false to end the connection.
class Server {
public:
    using Handler = std::function<bool(Connection&, Message&)>;

    Server(const Endpoint& at, Handler handler)
        : m_handler(std::move(handler))
        , m_at(at)
    {
        listen();
    }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    ~Server()
    {
        m_stopped = true;
        stopListening();
        endConnections();
        while (m_open > 0) {
            std::this_thread::sleep_for(Milliseconds(5));
        }
    }

    // While set, new connections are reset.
    void setDown(bool down)
    {
        m_down = down;
        if (down)
            endConnections();
    }
    // While set, new connections are refused; open ones go on.
    void setRefusing(bool refusing)
    {
        if (refusing)
            stopListening();
        else
            listen();
    }
    // Resets the open connections with this label.
    void resetConnections(const std::string& label)
    {
        const std::lock_guard lock(m_mutex);
        for (Connection* it : m_connections) {
            if (it->label() != label)
                continue;
            it->resetOnClose();
            ::shutdown(it->fd(), SHUT_RD);
        }
    }

private:
    void listen()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = m_at.address();
        if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
            || ::listen(m_listener, 512) != 0)
            throw std::runtime_error("cannot listen on " + m_at.text());
        m_listening = true;
        m_thread = std::thread([this, listener = m_listener] { accept(listener); });
    }

    void stopListening()
    {
        if (!m_listening.exchange(false))
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
    }

    void accept(int listener)
    {
        while (m_listening) {
            const int fd = ::accept(listener, nullptr, nullptr);
            if (fd < 0)
                continue;
            ++m_open;
            std::thread([this, fd] {
                serve(fd);
                --m_open;
            }).detach();
        }
    }

    void serve(int fd)
    {
        Connection connection(fd);
        if (m_down || m_stopped)
            return connection.resetOnClose();
        {
            const std::lock_guard lock(m_mutex);
            m_connections.insert(&connection);
        }
        Message message;
        while (connection.readHead(message) && connection.readBody(message, false)) {
            if (!m_handler(connection, message))
                break;
            message = {};
        }
        const std::lock_guard lock(m_mutex);
        m_connections.erase(&connection);
    }

    void endConnections()
    {
        const std::lock_guard lock(m_mutex);
        for (const Connection* it : m_connections)
            ::shutdown(it->fd(), SHUT_RDWR);
    }

    const Handler m_handler;
    const Endpoint m_at;
    int m_listener = -1;
    std::thread m_thread;
    std::mutex m_mutex;
    std::set<Connection*> m_connections;
    std::atomic<int> m_open = 0;
    std::atomic<bool> m_listening = false;
    std::atomic<bool> m_stopped = false;
    std::atomic<bool> m_down = false;
};

}
