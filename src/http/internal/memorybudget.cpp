#include "fireflyhaven/http/memorybudget.h"

namespace fireflyhaven::http {

namespace {

// A request from this size on is large.
constexpr std::size_t LARGE_BYTES = 64 * 1024;
// Part of the budget that the process may have in use when a large request grows.
constexpr double LARGE_FRACTION = 0.75;

}

void MemoryBudget::update(IMemoryHolder& holder, const MemoryUse& use)
{
    Entry& entry = m_entries[&holder];
    if (!entry.holder)
        entry = { .holder = &holder, .use = {}, .number = ++m_lastNumber };
    set(entry, use);
    if (m_isEnforcing)
        return;
    m_isEnforcing = true;
    if (use.incomplete >= LARGE_BYTES)
        enforce(static_cast<std::size_t>(static_cast<double>(m_maxBytes) * LARGE_FRACTION), LARGE_BYTES);
    enforce(m_maxBytes, 1);
    m_isEnforcing = false;
}

void MemoryBudget::remove(IMemoryHolder& holder)
{
    const auto it = m_entries.find(&holder);
    if (it == m_entries.end())
        return;
    m_usedBytes -= it->second.use.total();
    m_entries.erase(it);
}

void MemoryBudget::set(Entry& entry, const MemoryUse& use)
{
    m_usedBytes += use.total();
    m_usedBytes -= entry.use.total();
    entry.use = use;
}

void MemoryBudget::enforce(std::size_t limit, std::size_t minBytes)
{
    while (m_usedBytes > limit) {
        if (Entry* entry = largest(&MemoryUse::incomplete, minBytes)) {
            ++m_refusedRequests;
            MemoryUse use = entry->use;
            use.incomplete = 0;
            set(*entry, use);
            entry->holder->refuseIncomplete();
        } else if (Entry* unsent = largest(&MemoryUse::unsent, minBytes)) {
            ++m_endedConnections;
            set(*unsent, {});
            unsent->holder->endUnsent();
        } else {
            return;
        }
    }
}

MemoryBudget::Entry* MemoryBudget::largest(std::size_t MemoryUse::*part, std::size_t minBytes)
{
    Entry* found = nullptr;
    for (auto& [holder, entry] : m_entries) {
        const std::size_t bytes = entry.use.*part;
        if (bytes < minBytes)
            continue;
        const bool isLarger = !found || bytes > found->use.*part;
        if (isLarger || (bytes == found->use.*part && entry.number > found->number))
            found = &entry;
    }
    return found;
}

}
