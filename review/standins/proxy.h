#pragma once

#include "http.h"

namespace review {

// Passes the connections of one machine on to the store, and cuts the machine off from the store while it is silent.
class StoreProxy {
public:
    StoreProxy(const Endpoint& at, const Endpoint& store)
        : m_store(store)
        , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = at.address();
        if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
            || ::listen(m_listener, 64) != 0)
            throw std::runtime_error("cannot listen on " + at.text());
        m_thread = std::thread([this] { accept(); });
    }
    StoreProxy(const StoreProxy&) = delete;
    StoreProxy& operator=(const StoreProxy&) = delete;
    ~StoreProxy()
    {
        m_stopped = true;
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
        while (m_open > 0)
            std::this_thread::sleep_for(Milliseconds(5));
    }

    // While silent, nothing passes in either direction; connections from that time end when it is over.
    void setSilent(bool silent) { m_silent = silent; }
    // Reads of the operator's records since the last call.
    int takeReads() { return m_reads.exchange(0); }

private:
    void accept()
    {
        while (!m_stopped) {
            const int fd = ::accept(m_listener, nullptr, nullptr);
            if (fd < 0)
                continue;
            ++m_open;
            std::thread([this, fd] {
                pass(fd);
                --m_open;
            }).detach();
        }
    }

    void pass(int fd)
    {
        constexpr int POLL_MS = 5;
        const Connection caller(fd);
        std::unique_ptr<Connection> store;
        bool wasSilent = false;
        while (!m_stopped) {
            if (m_silent) {
                wasSilent = true;
                std::this_thread::sleep_for(Milliseconds(POLL_MS));
                continue;
            }
            if (wasSilent)
                return;
            if (!store && !(store = Connection::open(m_store, Milliseconds(500))))
                return;
            pollfd both[2] { { .fd = caller.fd(), .events = POLLIN, .revents = 0 },
                { .fd = store->fd(), .events = POLLIN, .revents = 0 } };
            ::poll(both, 2, POLL_MS);
            if (m_silent)
                continue;
            if (both[0].revents && !forward(caller.fd(), store->fd(), true))
                return;
            if (both[1].revents && !forward(store->fd(), caller.fd(), false))
                return;
        }
    }

    bool forward(int from, int to, bool isRequest)
    {
        char bytes[65536];
        const ssize_t n = ::recv(from, bytes, sizeof(bytes), 0);
        if (n <= 0)
            return false;
        if (isRequest
            && std::string_view(bytes, static_cast<std::size_t>(n)).find("log-read?topic=keyed.op")
                != std::string_view::npos)
            ++m_reads;
        return ::send(to, bytes, static_cast<std::size_t>(n), MSG_NOSIGNAL) == n;
    }

    const Endpoint m_store;
    const int m_listener;
    std::thread m_thread;
    std::atomic<bool> m_silent = false;
    std::atomic<bool> m_stopped = false;
    std::atomic<int> m_reads = 0;
    std::atomic<int> m_open = 0;
};

}
