#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <stdexcept>

namespace review {

namespace {

sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in it {};
    it.sin_family = AF_INET;
    it.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &it.sin_addr);
    return it;
}

std::string trimmed(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    return first == std::string::npos ? "" : text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

bool waitFor(int fd, short events, std::int64_t deadlineMs)
{
    pollfd it { .fd = fd, .events = events, .revents = 0 };
    const std::int64_t left = deadlineMs - nowMs();
    return left > 0 && poll(&it, 1, static_cast<int>(left)) > 0;
}

}

std::string Message::header(const std::string& name) const
{
    for (const auto& [key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

std::string Message::method() const { return firstLine.substr(0, firstLine.find(' ')); }

std::string Message::target() const
{
    const auto begin = firstLine.find(' ') + 1;
    return firstLine.substr(begin, firstLine.find(' ', begin) - begin);
}

std::string Message::path() const
{
    const std::string all = target();
    return all.substr(0, all.find('?'));
}

std::string Message::parameter(const std::string& name) const
{
    const std::string all = target();
    const auto mark = all.find('?');
    std::string query = mark == std::string::npos ? "" : "&" + all.substr(mark + 1);
    const auto begin = query.find("&" + name + "=");
    if (begin == std::string::npos)
        return {};
    const auto valueBegin = begin + name.size() + 2;
    const std::string raw = query.substr(valueBegin, query.find('&', valueBegin) - valueBegin);
    std::string value;
    for (std::size_t n = 0; n < raw.size(); ++n) {
        if (raw[n] == '%' && n + 2 < raw.size()) {
            value += static_cast<char>(std::stoi(raw.substr(n + 1, 2), nullptr, 16));
            n += 2;
        } else {
            value += raw[n];
        }
    }
    return value;
}

int Message::status() const
{
    return firstLine.starts_with("HTTP/1.") && firstLine.size() > 11 ? std::atoi(firstLine.substr(9, 3).c_str()) : 0;
}

std::int64_t nowMs()
{
    timespec it {};
    clock_gettime(CLOCK_BOOTTIME, &it);
    return it.tv_sec * 1000 + it.tv_nsec / 1'000'000;
}

void sleepMs(std::int64_t ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

int listenOn(const Address& address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in it = socketAddress(address);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&it), sizeof it) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

int connectTo(const Address& address, int timeoutMs, int receiveBufferBytes, int segmentBytes)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (receiveBufferBytes > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    if (segmentBytes > 0)
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
    const sockaddr_in it = socketAddress(address);
    const int begun = connect(fd, reinterpret_cast<const sockaddr*>(&it), sizeof it);
    int error = begun == 0 ? 0 : errno;
    if (error == EINPROGRESS) {
        socklen_t size = sizeof error;
        if (!waitFor(fd, POLLOUT, nowMs() + timeoutMs) || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
            error = ETIMEDOUT;
    }
    if (error != 0) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

bool sendAll(int fd, const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

Reader::End Reader::more(std::int64_t deadlineMs, std::size_t n)
{
    if (!waitFor(m_fd, POLLIN, deadlineMs))
        return End::TimedOut;
    std::string piece(n, '\0');
    const ssize_t got = recv(m_fd, piece.data(), piece.size(), 0);
    if (got <= 0)
        return got == 0 ? End::Closed : End::Reset;
    m_buffer.append(piece, 0, static_cast<std::size_t>(got));
    return End::Complete;
}

Reader::End Reader::readHead(Message& message, std::int64_t deadlineMs)
{
    message = {};
    auto end = m_buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (const End it = more(deadlineMs); it != End::Complete)
            return it;
        end = m_buffer.find("\r\n\r\n");
    }
    std::size_t begin = 0;
    while (begin < end) {
        const auto lineEnd = m_buffer.find("\r\n", begin);
        const std::string line = m_buffer.substr(begin, lineEnd - begin);
        begin = lineEnd + 2;
        if (message.firstLine.empty()) {
            message.firstLine = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos)
            message.headers.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
    }
    m_buffer.erase(0, end + 4);
    return End::Complete;
}

Reader::End Reader::read(Message& message, bool isResponse, std::int64_t deadlineMs)
{
    if (const End it = readHead(message, deadlineMs); it != End::Complete)
        return it;
    return readBody(message, isResponse, deadlineMs);
}

Reader::End Reader::readBody(Message& message, bool isResponse, std::int64_t deadlineMs)
{
    if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0)
        return readChunks(message, deadlineMs);
    const std::string length = message.header("Content-Length");
    if (length.empty() && !isResponse)
        return End::Complete;
    const std::size_t expected = length.empty() ? SIZE_MAX : std::stoul(length);
    while (m_buffer.size() < expected) {
        const End it = more(deadlineMs);
        if (it == End::Closed && length.empty())
            break;
        if (it != End::Complete) {
            message.body = std::exchange(m_buffer, {});
            return it;
        }
    }
    const std::size_t n = std::min(expected, m_buffer.size());
    message.body = m_buffer.substr(0, n);
    m_buffer.erase(0, n);
    return End::Complete;
}

Reader::End Reader::readChunks(Message& message, std::int64_t deadlineMs)
{
    for (;;) {
        auto lineEnd = m_buffer.find("\r\n");
        while (lineEnd == std::string::npos) {
            if (const End it = more(deadlineMs); it != End::Complete)
                return it;
            lineEnd = m_buffer.find("\r\n");
        }
        const std::size_t n = std::stoul(m_buffer.substr(0, lineEnd), nullptr, 16);
        while (m_buffer.size() < lineEnd + 2 + n + 2) {
            if (const End it = more(deadlineMs); it != End::Complete)
                return it;
        }
        message.body += m_buffer.substr(lineEnd + 2, n);
        m_buffer.erase(0, lineEnd + 2 + n + 2);
        if (n == 0)
            return End::Complete;
    }
}

Server::Server(Address address, Handler handler)
    : m_address(std::move(address))
    , m_handler(std::move(handler))
    , m_listener(listenOn(m_address))
{
    if (m_listener < 0)
        throw std::runtime_error("cannot listen on " + m_address.text());
    m_acceptor = std::thread([this] { accept(); });
}

Server::~Server()
{
    stop();
    for (std::thread& it : m_threads)
        it.join();
}

void Server::accept()
{
    for (;;) {
        const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0 && errno == ECONNABORTED)
            continue;
        const std::lock_guard lock(m_mutex);
        if (fd < 0 || m_stopped) {
            if (fd >= 0)
                close(fd);
            return;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        m_open.insert(fd);
        m_threads.emplace_back([this, fd] {
            m_handler(fd);
            const std::lock_guard guard(m_mutex);
            m_open.erase(fd);
            close(fd);
        });
    }
}

void Server::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_stopped, true))
            return;
        shutdown(m_listener, SHUT_RDWR);
        for (const int fd : m_open)
            shutdown(fd, SHUT_RDWR);
    }
    m_acceptor.join();
    close(m_listener);
}

}
