#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <random>
#include <stdexcept>

namespace review {

namespace {

sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in it {};
    it.sin_family = AF_INET;
    it.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &it.sin_addr);
    return it;
}

int listenOn(const Address& address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in to = socketAddress(address);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

}

std::string Message::target() const
{
    const auto begin = first.find(' ') + 1;
    return first.substr(begin, first.find(' ', begin) - begin);
}

std::string Message::path() const
{
    const std::string all = target();
    return all.substr(0, all.find('?'));
}

std::string Message::query(const std::string& name) const
{
    const std::string all = target();
    const auto mark = all.find('?');
    std::string rest = mark == std::string::npos ? "" : all.substr(mark + 1);
    while (!rest.empty()) {
        const std::string pair = rest.substr(0, rest.find('&'));
        rest.erase(0, std::min(rest.size(), pair.size() + 1));
        if (pair.substr(0, pair.find('=')) == name)
            return pair.substr(std::min(pair.size(), pair.find('=') + 1));
    }
    return {};
}

std::string Message::header(const std::string& name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

int Message::status() const { return first.size() > 9 ? std::atoi(first.c_str() + 9) : 0; }

Connection::Connection(int fd)
    : m_fd(fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    if (m_fd >= 0)
        close(m_fd);
}

bool Connection::write(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

bool Connection::fill()
{
    char buf[16384];
    const ssize_t n = ::recv(m_fd, buf, sizeof buf, 0);
    if (n <= 0)
        return false;
    m_buffer.append(buf, static_cast<std::size_t>(n));
    return true;
}

std::optional<std::string> Connection::readLine()
{
    for (;;) {
        const auto end = m_buffer.find('\n');
        if (end != std::string::npos) {
            std::string line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 1);
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            return line;
        }
        if (!fill())
            return std::nullopt;
    }
}

std::optional<Message> Connection::readHead()
{
    Message message;
    auto line = readLine();
    if (!line)
        return std::nullopt;
    message.first = *line;
    while ((line = readLine()) && !line->empty()) {
        const auto colon = line->find(':');
        if (colon == std::string::npos)
            return std::nullopt;
        const auto value = line->find_first_not_of(' ', colon + 1);
        message.headers[lowerCase(line->substr(0, colon))] = value == std::string::npos ? "" : line->substr(value);
    }
    return line ? std::optional(message) : std::nullopt;
}

bool Connection::readBody(Message& message)
{
    if (lowerCase(message.header("transfer-encoding")) == "chunked") {
        for (;;) {
            const auto size = readLine();
            if (!size)
                return false;
            const std::size_t n = std::strtoul(size->c_str(), nullptr, 16);
            std::string piece;
            if (!readExactly(piece, n) || !readLine())
                return false;
            if (n == 0)
                return true;
            message.body += piece;
        }
    }
    const std::string length = message.header("content-length");
    return length.empty() || readExactly(message.body, std::strtoul(length.c_str(), nullptr, 10));
}

std::string Connection::readSome(std::size_t n)
{
    if (m_buffer.empty()) {
        std::string buf(n, '\0');
        const ssize_t got = ::recv(m_fd, buf.data(), n, 0);
        buf.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
        return buf;
    }
    std::string out = m_buffer.substr(0, n);
    m_buffer.erase(0, out.size());
    return out;
}

bool Connection::readExactly(std::string& out, std::size_t n)
{
    while (m_buffer.size() < n) {
        if (!fill())
            return false;
    }
    out += m_buffer.substr(0, n);
    m_buffer.erase(0, n);
    return true;
}

bool Connection::isClosed() const
{
    char byte = 0;
    const ssize_t n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::setReadTimeout(Ms timeout) const
{
    const timeval it { .tv_sec = timeout.count() / 1000, .tv_usec = timeout.count() % 1000 * 1000 };
    setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &it, sizeof it);
}

void Connection::reset()
{
    const linger it { .l_onoff = 1, .l_linger = 0 };
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &it, sizeof it);
    close(m_fd);
    m_fd = -1;
}

void Connection::shutDown() const { shutdown(m_fd, SHUT_RDWR); }

std::unique_ptr<Connection> dial(const Address& to, const DialOptions& options)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (options.receiveBytes > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receiveBytes, sizeof options.receiveBytes);
    if (options.segmentBytes > 0)
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.segmentBytes, sizeof options.segmentBytes);
    const sockaddr_in address = socketAddress(to);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    const int rc = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    pollfd ready { .fd = fd, .events = POLLOUT, .revents = 0 };
    int error = rc == 0 ? 0 : errno;
    if (rc != 0 && error == EINPROGRESS) {
        socklen_t size = sizeof error;
        if (poll(&ready, 1, static_cast<int>(options.timeout.count())) != 1
            || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
            error = ETIMEDOUT;
    }
    if (error != 0) {
        close(fd);
        return nullptr;
    }
    fcntl(fd, F_SETFL, 0);
    return std::make_unique<Connection>(fd);
}

Server::Server(const Address& listen, Handler handler)
    : m_handler(std::move(handler))
    , m_listenFd(listenOn(listen))
{
    if (m_listenFd < 0)
        throw std::runtime_error("cannot listen on " + listen.text());
    m_acceptor = std::thread([this] { accept(); });
}

Server::~Server() { stop(); }

void Server::stop()
{
    if (m_stopped.exchange(true))
        return;
    shutdown(m_listenFd, SHUT_RDWR);
    m_acceptor.join();
    close(m_listenFd);
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [fd, it] : m_open)
            it->shutDown();
        threads.swap(m_threads);
    }
    for (std::thread& it : threads)
        it.join();
}

void Server::accept()
{
    while (!m_stopped) {
        const int fd = accept4(m_listenFd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            return;
        const std::lock_guard lock(m_mutex);
        m_threads.emplace_back([this, fd] { serve(fd); });
    }
}

void Server::serve(int fd)
{
    const auto connection = std::make_shared<Connection>(fd);
    {
        const std::lock_guard lock(m_mutex);
        m_open[fd] = connection;
    }
    while (!m_stopped) {
        auto message = connection->readHead();
        if (!message || !connection->readBody(*message) || !m_handler(*message, *connection))
            break;
    }
    const std::lock_guard lock(m_mutex);
    m_open.erase(fd);
}

std::string response(int status, const std::string& headers, const std::string& body, const std::string& reason)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int freePorts(const std::vector<std::string>& ips, int n)
{
    std::mt19937 random(std::random_device {}());
    const auto isFree = [](const Address& address) {
        const int fd = listenOn(address);
        if (fd >= 0)
            close(fd);
        return fd >= 0;
    };
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int first = 20000 + static_cast<int>(random() % 9000);
        bool allFree = true;
        for (const std::string& ip : ips) {
            for (int port = first; allFree && port < first + n; ++port)
                allFree = isFree({ .ip = ip, .port = port });
        }
        if (allFree)
            return first;
    }
    throw std::runtime_error("no free ports");
}

}
