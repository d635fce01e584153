#include "fireflyhaven/store/readerchoice.h"

namespace fireflyhaven::store {

ReaderChoice::ReaderChoice(ReaderChoiceOptions options)
    : m_options(options)
{
}

std::optional<HostId> ReaderChoice::source(const fleet::HostTable& hosts, TimePoint now) const
{
    const bool tryStore = !m_reachesStore && now - m_triedAt >= m_options.storeRetry;
    if (now < m_readOwnUntil || tryStore)
        return std::nullopt;
    std::vector<HostId> candidates;
    if (m_reachesStore)
        candidates.push_back(hosts.self());
    for (const fleet::KnownHost* it : hosts.live(now)) {
        if (it->report.reachesStore)
            candidates.push_back(it->report.host);
    }
    if (candidates.empty())
        return std::nullopt;
    const HostId& first = fleet::firstByRendezvous(candidates, "reader of the store");
    return first == hosts.self() ? std::nullopt : std::optional(first);
}

void ReaderChoice::onStoreRead(bool succeeded, TimePoint now)
{
    m_reachesStore = succeeded;
    m_triedAt = now;
    if (!succeeded)
        m_readOwnUntil = {};
}

void ReaderChoice::onPeerFailed(TimePoint now)
{
    if (m_reachesStore)
        m_readOwnUntil = now + m_options.ownReading;
}

}
