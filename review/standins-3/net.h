#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// Blocking sockets and HTTP/1.1 for the stand-ins of the review: one thread for each connection.
namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

struct Address {
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

struct Message {
    // Start line of the message.
    std::string first;
    // By lower-case name.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const;
    std::string path() const;
    std::string query(const std::string& name) const;
    std::string header(const std::string& name) const;
    int status() const;
};

// One connected socket. Reads are buffered.
class Connection {
public:
    explicit Connection(int fd);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool write(const std::string& bytes) const;
    // Reads a start line and headers; no value at the end of the connection or after a time-out.
    std::optional<Message> readHead();
    // Reads the body that the head announces.
    bool readBody(Message& message);
    // Reads up to `n` bytes, fewer if there are no more yet; empty at the end of the connection or after a time-out.
    std::string readSome(std::size_t n);
    bool readExactly(std::string& out, std::size_t n);
    std::optional<std::string> readLine();
    // Whether the peer has closed the connection.
    bool isClosed() const;
    void setReadTimeout(Ms timeout) const;
    // Closes without a regular end.
    void reset();
    void shutDown() const;
    int fd() const { return m_fd; }

private:
    bool fill();

    int m_fd = -1;
    std::string m_buffer;
};

struct DialOptions {
    Ms timeout { 1000 };
    // Sizes of the receive buffer and of segments; 0 for the default.
    int receiveBytes = 0;
    int segmentBytes = 0;
};

std::unique_ptr<Connection> dial(const Address& to, const DialOptions& options = {});

// Accepts connections until it is destroyed.
class Server {
public:
    // Serves one request; returns false to end the connection.
    using Handler = std::function<bool(Message&, Connection&)>;

    Server(const Address& listen, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // Closes the listening socket and all connections.
    void stop();

private:
    void accept();
    void serve(int fd);

    Handler m_handler;
    int m_listenFd = -1;
    std::atomic<bool> m_stopped = false;
    std::mutex m_mutex;
    std::map<int, std::shared_ptr<Connection>> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

std::string response(
    int status, const std::string& headers, const std::string& body, const std::string& reason = "Status");

// A port that is free on all of the addresses, and so are the `n` - 1 ports behind it.
int freePorts(const std::vector<std::string>& ips, int n);

}
