#pragma once

#include "../../src/http/tests/loopfixture.h"
#include "fireflyhaven/http/eventserver.h"

#include <array>
#include <atomic>
#include <filesystem>
#include <memory>
#include <thread>

// One entry host as a process of its own on a loopback address, with a stand-in of the store and one upstream in the
// process of the test.
namespace fireflyhaven::test {

// Of the host's machine, as its settings say. Smaller than any of the users' machines, so that a small crowd is enough.
inline constexpr std::size_t MEMORY_MB = 64;
inline constexpr std::size_t MAX_DESCRIPTORS = 400;
// Of the operator's configuration, as on the users' deployments.
inline constexpr std::size_t MAX_HEADER_BYTES = 16 * 1024;
inline constexpr std::size_t MAX_BODY_BYTES = 4 * 1024 * 1024;

// The platform's store with one configuration and one registered upstream, which never change.
class StoreStandIn {
public:
    StoreStandIn(http::test::EventLoop& loop, const http::Endpoint& address, const http::Endpoint& upstream);

private:
    void serve(std::shared_ptr<http::Exchange> exchange);
    void serveNewest(http::Exchange& exchange, const std::string& topic);
    void serveRecords(const std::shared_ptr<http::Exchange>& exchange);

    http::test::EventLoop& m_loop;
    const http::Endpoint m_upstream;
    std::unique_ptr<http::EventServer> m_server;
};

// Starts the host and waits until it serves; ends it with the object.
class HostProcess {
public:
    HostProcess();
    HostProcess(const HostProcess&) = delete;
    HostProcess& operator=(const HostProcess&) = delete;
    ~HostProcess();

    const http::Endpoint& frontend() const { return m_listeners[0]; }
    const http::Endpoint& directory() const { return m_listeners[2]; }
    bool isRunning();
    // Largest resident memory of the process so far.
    std::size_t peakMemoryBytes() const;
    std::size_t openDescriptors() const;
    // Waits until the host has read what it was sent, or reads no more of it.
    void awaitRead() const;
    // Whether one ordinary request is answered with success, asked again while it is refused.
    bool answersOrdinaryRequest() const;

private:
    void startStandIns();
    void startProcess();
    std::string settings() const;

    http::test::EventLoop m_loop;
    // For callers, readiness and the directory, all different.
    const std::array<http::Endpoint, 3> m_listeners;
    const http::Endpoint m_store;
    const http::Endpoint m_upstream;
    std::unique_ptr<StoreStandIn> m_storeStandIn;
    std::unique_ptr<http::EventServer> m_upstreamServer;
    // Requests for "/order/held", which the upstream never answers.
    std::vector<std::shared_ptr<http::Exchange>> m_heldExchanges;
    std::thread m_thread;
    std::filesystem::path m_folder;
    pid_t m_pid = 0;
};

// One connection of a client that keeps to no limit.
class Stranger {
public:
    explicit Stranger(const http::Endpoint& address);
    Stranger(const Stranger&) = delete;
    Stranger& operator=(const Stranger&) = delete;
    ~Stranger();

    // Sends until all is sent, the host has ended the connection, or it takes nothing more.
    bool send(const std::string& bytes);
    // Sends the block again and again, up to this number of bytes in all.
    void sendRepeatedly(const std::string& block, std::size_t bytes);

private:
    int m_socket = -1;
};

// The head of a request of a known workspace, or with another key, without the blank line that ends it.
std::string requestHead(const std::string& method, const std::string& target, const std::string& key = "secret");

}
