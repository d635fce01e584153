#include "fireflyhaven/store/readsourceselector.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>

namespace fireflyhaven::store {

namespace {

// Part of the retry time by which the hosts differ.
constexpr double MAX_RETRY_SPREAD = 0.4;

}

ReadSourceSelector::ReadSourceSelector(ReadSourceOptions options)
    : m_options(options)
{
}

std::optional<HostId> ReadSourceSelector::source(const fleet::HostTable& hosts, TimePoint now) const
{
    if (now < m_directReadUntil || (!m_reachesStore && mayTryStore(hosts, now)))
        return std::nullopt;
    const auto preferred = hosts.isLayered() ? layeredSource(hosts, now) : flatSource(hosts, now);
    return preferred || m_reachesStore ? preferred : earliestFailedSource(hosts, now);
}

std::optional<HostId> ReadSourceSelector::flatSource(const fleet::HostTable& hosts, TimePoint now) const
{
    std::vector<HostId> candidates;
    if (m_reachesStore)
        candidates.push_back(hosts.self());
    for (const fleet::KnownHost* it : hosts.live(now)) {
        if (it->report.reachesStore && !hasFailed(it->report.host, now))
            candidates.push_back(it->report.host);
    }
    if (candidates.empty())
        return std::nullopt;
    const HostId& first = fleet::firstByRendezvous(candidates, "reader of the store");
    return first == hosts.self() ? std::nullopt : std::optional(first);
}

std::optional<HostId> ReadSourceSelector::layeredSource(const fleet::HostTable& hosts, TimePoint now) const
{
    std::vector<HostId> readers = hosts.storeReaders(now);
    std::erase_if(readers, [&](const HostId& it) { return hasFailed(it, now); });
    if (readers.empty())
        return std::nullopt;
    const HostId& first = fleet::firstByRendezvous(readers, "reader of the store");
    for (const HostId& it : hosts.ranked(hosts.ownDataCentre(), now)) {
        const bool hasStoreAccess = it == hosts.self() ? m_reachesStore : hosts.reachesStore(it);
        if (!hasStoreAccess || hasFailed(it, now))
            continue;
        if (it != hosts.self())
            return it;
        return first == hosts.self() ? std::nullopt : std::optional(first);
    }
    // No host of this data centre reaches the store.
    return first == hosts.self() ? std::nullopt : std::optional(first);
}

std::optional<HostId> ReadSourceSelector::earliestFailedSource(const fleet::HostTable& hosts, TimePoint now) const
{
    std::optional<HostId> earliest;
    for (const fleet::KnownHost* it : hosts.live(now)) {
        const HostId& id = it->report.host;
        if (!it->report.reachesStore || !hasFailed(id, now))
            continue;
        if (!earliest || m_failedSources.at(id) < m_failedSources.at(*earliest))
            earliest = id;
    }
    return earliest;
}

void ReadSourceSelector::onStart(bool together, TimePoint now)
{
    constexpr int JOINT_START_FACTOR = 3;
    m_peerWaitUntil = now + m_options.startupPeerWait * (together ? JOINT_START_FACTOR : 1);
    m_readGraceUntil = now + m_options.startupReadGrace * (together ? JOINT_START_FACTOR : 1);
}

bool ReadSourceSelector::mustWait(const fleet::HostTable& hosts, TimePoint now) const
{
    if (now < m_peerWaitUntil && hosts.live(now).empty())
        return true;
    if (!hosts.isLayered() || now < m_directReadUntil || mayTryStore(hosts, now))
        return false;
    return !m_reachesStore;
}

bool ReadSourceSelector::hasFailed(const HostId& source, TimePoint now) const
{
    const auto it = m_failedSources.find(source);
    return it != m_failedSources.end() && now < it->second;
}

bool ReadSourceSelector::haveSourcesFailed(TimePoint now) const
{
    const auto failed = std::count_if(
        m_failedSources.begin(), m_failedSources.end(), [&](const auto& it) { return now < it.second; });
    return static_cast<std::size_t>(failed) >= m_options.maxFailedSources;
}

bool ReadSourceSelector::isSubstitute(const fleet::HostTable& hosts, TimePoint now) const
{
    const std::vector<HostId> ranked = hosts.ranked(hosts.ownDataCentre(), now);
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(ranked.size(), m_options.substitutes));
    return ranked.empty() || std::find(ranked.begin(), end, hosts.self()) != end;
}

bool ReadSourceSelector::mayTryStore(const fleet::HostTable& hosts, TimePoint now) const
{
    const double spread = unitInterval(stableHash(hosts.self().value(), m_storeReads));
    const double part = 1 - MAX_RETRY_SPREAD * spread;
    const Duration pause(static_cast<Duration::rep>(static_cast<double>(m_options.storeRetry.count()) * part));
    return now - m_lastStoreReadAt >= pause;
}

void ReadSourceSelector::onStoreRead(bool succeeded, TimePoint now)
{
    m_reachesStore = succeeded;
    m_lastStoreReadAt = now;
    ++m_storeReads;
    if (!succeeded)
        m_directReadUntil = {};
}

void ReadSourceSelector::onPeerFailed(const fleet::HostTable& hosts, const HostId& source, TimePoint now)
{
    if (now < m_readGraceUntil)
        return;
    std::erase_if(m_failedSources, [&](const auto& it) { return it.second <= now; });
    m_failedSources.insert_or_assign(source, now + m_options.directReadPeriod);
    if (!m_reachesStore)
        return;
    if (!hosts.isLayered() || isSubstitute(hosts, now) || haveSourcesFailed(now))
        m_directReadUntil = now + m_options.directReadPeriod;
}

}
