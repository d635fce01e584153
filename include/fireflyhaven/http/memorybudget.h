#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace fireflyhaven::http {

// Memory that a connection holds for its caller, in bytes.
struct MemoryUse {
    // Of a request that has not arrived completely.
    std::size_t incomplete = 0;
    // Of a request that is being served, and of bytes that wait behind it.
    std::size_t served = 0;
    // Of answers that the caller has not taken yet.
    std::size_t unsent = 0;

    std::size_t total() const { return incomplete + served + unsent; }
};

// A holder of memory that can be made to give it up.
class IMemoryHolder {
public:
    virtual ~IMemoryHolder() = default;
    // Refuses the request that has not arrived completely.
    virtual void refuseIncomplete() = 0;
    // Ends the connection of a caller that does not take its answers. Called from within functions of the holder, which
    // therefore ends it later.
    virtual void endUnsent() = 0;
};

// Limits the memory that all connections of a process hold together for their callers. Over the limit, the largest
// request that has not arrived completely is refused first, of equal ones the newest; then the connection with the most
// unsent bytes is ended. Requests that are being served are never given up. Large requests may use only a part of the
// budget, so that small ones find room. Not thread-safe.
class MemoryBudget {
public:
    explicit MemoryBudget(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    void setMaxBytes(std::size_t maxBytes) { m_maxBytes = maxBytes; }
    // Notes what the holder uses now, and makes others, or the holder itself, give up memory where that is too much.
    void update(IMemoryHolder& holder, const MemoryUse& use);
    void remove(IMemoryHolder& holder);

    std::size_t maxBytes() const { return m_maxBytes; }
    std::size_t usedBytes() const { return m_usedBytes; }
    // Since the start of the process.
    std::uint64_t refusedRequests() const { return m_refusedRequests; }
    std::uint64_t endedConnections() const { return m_endedConnections; }

private:
    struct Entry {
        IMemoryHolder* holder = nullptr;
        MemoryUse use;
        // In the order of arrival.
        std::uint64_t number = 0;
    };

    void set(Entry& entry, const MemoryUse& use);
    void enforce(std::size_t limit, std::size_t minBytes);
    // The entry with the largest such use from `minBytes` on; null if there is none.
    Entry* largest(std::size_t MemoryUse::*part, std::size_t minBytes);

    std::size_t m_maxBytes;
    std::size_t m_usedBytes = 0;
    std::map<IMemoryHolder*, Entry> m_entries;
    std::uint64_t m_lastNumber = 0;
    bool m_isEnforcing = false;
    std::uint64_t m_refusedRequests = 0;
    std::uint64_t m_endedConnections = 0;
};

}
