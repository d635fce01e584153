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
    if (hosts.isLayered())
        return sourceOfMany(hosts, now);
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

std::optional<HostId> ReaderChoice::sourceOfMany(const fleet::HostTable& hosts, TimePoint now) const
{
    const std::vector<HostId> readers = hosts.storeReaders(now);
    if (readers.empty())
        return std::nullopt;
    const HostId& first = fleet::firstByRendezvous(readers, "reader of the store");
    for (const HostId& it : hosts.ranked(hosts.ownDataCentre(), now)) {
        const bool reads = it == hosts.self() ? m_reachesStore : hosts.reachesStore(it);
        if (!reads)
            continue;
        if (it != hosts.self())
            return it;
        return first == hosts.self() ? std::nullopt : std::optional(first);
    }
    // Nobody in this data centre reaches the store.
    return first == hosts.self() ? std::nullopt : std::optional(first);
}

void ReaderChoice::onStart(bool together, TimePoint now)
{
    constexpr int TOGETHER_FACTOR = 3;
    m_aloneUntil = now + m_options.startAlone * (together ? TOGETHER_FACTOR : 1);
    m_patientUntil = now + m_options.startPatience * (together ? TOGETHER_FACTOR : 1);
}

bool ReaderChoice::mustWait(const fleet::HostTable& hosts, TimePoint now) const
{
    return now < m_aloneUntil && hosts.live(now).empty();
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
    if (m_reachesStore && now >= m_patientUntil)
        m_readOwnUntil = now + m_options.ownReading;
}

}
