#include "fireflyhaven/store/readerchoice.h"

#include <algorithm>

namespace fireflyhaven::store {

ReaderChoice::ReaderChoice(ReaderChoiceOptions options)
    : m_options(options)
{
}

std::optional<HostId> ReaderChoice::source(const fleet::HostTable& hosts, TimePoint now) const
{
    if (now < m_readOwnUntil || (!m_reachesStore && mayTryStore(hosts, now)))
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
    std::vector<HostId> readers = hosts.storeReaders(now);
    std::erase_if(readers, [&](const HostId& it) { return hasFailed(it, now); });
    if (readers.empty())
        return std::nullopt;
    const HostId& first = fleet::firstByRendezvous(readers, "reader of the store");
    for (const HostId& it : hosts.ranked(hosts.ownDataCentre(), now)) {
        const bool reads = it == hosts.self() ? m_reachesStore : hosts.reachesStore(it);
        if (!reads || hasFailed(it, now))
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
    if (now < m_aloneUntil && hosts.live(now).empty())
        return true;
    if (!hosts.isLayered() || now < m_readOwnUntil || mayTryStore(hosts, now))
        return false;
    return !m_reachesStore;
}

bool ReaderChoice::hasFailed(const HostId& source, TimePoint now) const
{
    const auto it = m_failedSources.find(source);
    return it != m_failedSources.end() && now < it->second;
}

bool ReaderChoice::haveSourcesFailed(TimePoint now) const
{
    const auto failed = std::count_if(
        m_failedSources.begin(), m_failedSources.end(), [&](const auto& it) { return now < it.second; });
    return static_cast<std::size_t>(failed) >= m_options.mostFailedSources;
}

bool ReaderChoice::isSubstitute(const fleet::HostTable& hosts, TimePoint now) const
{
    const std::vector<HostId> ranked = hosts.ranked(hosts.ownDataCentre(), now);
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(ranked.size(), m_options.substitutes));
    return ranked.empty() || std::find(ranked.begin(), end, hosts.self()) != end;
}

bool ReaderChoice::mayTryStore(const fleet::HostTable& hosts, TimePoint now) const
{
    Duration::rep factor = 1;
    // Where others are known to reach the store, the fault may be this host's own, and its tries are not shared.
    if (hosts.isLayered() && !isSubstitute(hosts, now) && hosts.storeReaders(now).empty()) {
        const std::size_t sharers = hosts.ranked(hosts.ownDataCentre(), now).size();
        factor = static_cast<Duration::rep>(std::max<std::size_t>(1, sharers / m_options.hostsTrying));
    }
    return now - m_triedAt >= m_options.storeRetry * factor;
}

void ReaderChoice::onStoreRead(bool succeeded, TimePoint now)
{
    m_reachesStore = succeeded;
    m_triedAt = now;
    if (!succeeded)
        m_readOwnUntil = {};
}

void ReaderChoice::onPeerFailed(const fleet::HostTable& hosts, const HostId& source, TimePoint now)
{
    if (!m_reachesStore || now < m_patientUntil)
        return;
    if (!hosts.isLayered()) {
        m_readOwnUntil = now + m_options.ownReading;
        return;
    }
    std::erase_if(m_failedSources, [&](const auto& it) { return it.second <= now; });
    m_failedSources.insert_or_assign(source, now + m_options.ownReading);
    if (isSubstitute(hosts, now) || haveSourcesFailed(now))
        m_readOwnUntil = now + m_options.ownReading;
}

}
