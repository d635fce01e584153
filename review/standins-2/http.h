#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// Blocking sockets and HTTP/1.1 messages for the stand-ins.
namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Address {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

struct Message {
    // Request line or status line.
    std::string firstLine;
    Headers headers;
    std::string body;

    // First value of the header, or an empty string.
    std::string header(const std::string& name) const;
    std::string method() const;
    std::string target() const;
    std::string path() const;
    // Value of the query parameter, percent-decoded, or an empty string.
    std::string parameter(const std::string& name) const;
    // Status of a response; 0 where there is none.
    int status() const;
};

// Milliseconds of the clock that also counts while a machine is suspended.
std::int64_t nowMs();
void sleepMs(std::int64_t ms);

int listenOn(const Address& address);
// Returns -1 if no connection is made within the time.
int connectTo(const Address& address, int timeoutMs, int receiveBufferBytes = 0, int segmentBytes = 0);
// Returns false if the peer is gone.
bool sendAll(int fd, const std::string& bytes);

// Reads messages from one connection.
class Reader {
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }

    enum class End { Complete, Closed, Reset, TimedOut };

    // Reads one message. A response without a length ends with its connection.
    End read(Message& message, bool isResponse, std::int64_t deadlineMs);
    // Reads a head only; what follows it stays unread.
    End readHead(Message& message, std::int64_t deadlineMs);
    // Reads more bytes behind what is buffered, at most `n` at once.
    End more(std::int64_t deadlineMs, std::size_t n = 65536);
    std::string& buffer() { return m_buffer; }

private:
    End readBody(Message& message, bool isResponse, std::int64_t deadlineMs);
    End readChunks(Message& message, std::int64_t deadlineMs);

    int m_fd;
    std::string m_buffer;
};

// Accepts connections, each with a thread of its own.
class Server {
public:
    using Handler = std::function<void(int fd)>;

    Server(Address address, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // Ends as a killed process does: no further connections, and the open ones are closed.
    void stop();

private:
    void accept();

    const Address m_address;
    const Handler m_handler;
    int m_listener = -1;
    bool m_stopped = false;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::thread m_acceptor;
    std::vector<std::thread> m_threads;
};

}
