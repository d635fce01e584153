#include "fireflyhaven/fleet/hosttable.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>
#include <set>

namespace fireflyhaven::fleet {

namespace {

// Hosts with at least this capacity, in thousandths of a core, rank as equal.
constexpr std::uint16_t LARGE_HOST_CAPACITY = 250;

// Sort key of the hosts of a data centre; greater keys come first.
struct Rank {
    bool acceptsRequests = false;
    std::uint16_t capacity = 0;
    std::uint64_t hash = 0;

    friend auto operator<=>(const Rank&, const Rank&) = default;
};

Rank rankOf(const HostId& host, bool acceptsRequests, std::uint16_t capacity)
{
    static const std::uint64_t SEED = stableHash("rank in the data centre");
    return { .acceptsRequests = acceptsRequests,
        .capacity = std::min(capacity, LARGE_HOST_CAPACITY),
        .hash = stableHash(host.value(), SEED) };
}

}

HostTable::HostTable(HostId self, HostTableOptions options)
    : m_self(std::move(self))
    , m_options(std::move(options))
{
}

void HostTable::onAddress(const HostId& host, const http::Endpoint& peerAddress, TimePoint now)
{
    if (host == m_self)
        return;
    const auto [it, added] = m_hosts.try_emplace(host);
    KnownHost& known = it->second;
    // The address of a live host is current; a record in the store may be stale.
    if (!added && isLive(known, now))
        return;
    if (added)
        known.knownSince = now;
    known.peerAddress = peerAddress;
}

std::optional<HostReport> HostTable::onReport(const HostReport& report, const http::Endpoint& from, TimePoint now)
{
    if (report.host == m_self || report.host.empty())
        return std::nullopt;
    const auto [it, added] = m_hosts.try_emplace(report.host);
    KnownHost& known = it->second;
    if (added)
        known.knownSince = now;
    const HostReport& last = known.report;
    const bool old = report.incarnation < last.incarnation
        || (report.incarnation == last.incarnation && report.sequence <= last.sequence);
    if (known.lastReportAt && old)
        return std::nullopt;
    // An address belongs to the host that last sent a report from it; earlier entries with it are removed.
    std::erase_if(
        m_hosts, [&](const auto& entry) { return entry.first != report.host && entry.second.peerAddress == from; });
    HostReport before
        = known.lastReportAt && report.incarnation == last.incarnation ? std::move(known.report) : HostReport {};
    known.report = report;
    known.peerAddress = from;
    known.lastReportAt = now;
    return before;
}

void HostTable::onRoster(const Roster& roster, TimePoint now)
{
    std::set<HostId> listed;
    for (const RosterEntry& it : roster.entries.items) {
        if (it.host == m_self || it.host.empty())
            continue;
        listed.insert(it.host);
        const auto [entry, added] = m_hosts.try_emplace(it.host);
        KnownHost& known = entry->second;
        if (added)
            known.knownSince = now;
        const TimePoint confirmedAt = now - Duration(it.ageMs);
        const bool newer = !lastSeen(known) || *lastSeen(known) < confirmedAt;
        known.confirmedAt = std::max(known.confirmedAt.value_or(confirmedAt), confirmedAt);
        if (!newer || it.incarnation < known.report.incarnation)
            continue;
        if (it.incarnation > known.report.incarnation) {
            // Reports of an earlier incarnation do not apply to the new one.
            known.report = {};
            known.lastReportAt.reset();
        }
        known.peerAddress = it.peerAddress;
        known.report.host = it.host;
        known.report.incarnation = it.incarnation;
        known.report.frontend = it.frontend;
        known.report.dataCentre = roster.dataCentre;
        known.report.capacity = it.capacity;
        known.report.acceptsRequests = it.acceptsRequests;
        known.report.reachesStore = it.reachesStore;
    }
    if (!roster.replacesEarlier)
        return;
    for (auto& [id, it] : m_hosts) {
        if (it.report.dataCentre == roster.dataCentre && !listed.contains(id))
            it.confirmedAt.reset();
    }
}

bool HostTable::hasRecentReport(const KnownHost& host, TimePoint now) const
{
    return host.lastReportAt && now - *host.lastReportAt < m_options.livenessTimeout;
}

void HostTable::markAlive(const HostId& host, TimePoint now)
{
    const auto it = m_hosts.find(host);
    if (it != m_hosts.end())
        it->second.confirmedAt = now;
}

void HostTable::markSuspected(const HostId& host, TimePoint now)
{
    const auto it = m_hosts.find(host);
    if (it != m_hosts.end())
        it->second.suspectedAt = now;
}

bool HostTable::isLive(const KnownHost& host, TimePoint now) const
{
    if (host.suspectedAt && lastSeen(host).value_or(TimePoint {}) <= *host.suspectedAt)
        return false;
    return hasRecentReport(host, now) || (host.confirmedAt && now - *host.confirmedAt < m_options.confirmationTimeout);
}

std::vector<const KnownHost*> HostTable::live(TimePoint now) const
{
    std::vector<const KnownHost*> found;
    for (const auto& [id, it] : m_hosts) {
        if (isLive(it, now))
            found.push_back(&it);
    }
    return found;
}

std::vector<HostId> HostTable::ranked(const DataCentreId& dataCentre, TimePoint now) const
{
    std::vector<std::pair<Rank, HostId>> hosts;
    if (dataCentre == m_options.dataCentre)
        hosts.emplace_back(rankOf(m_self, m_own.acceptsRequests, m_options.capacity), m_self);
    for (const auto& [id, it] : m_hosts) {
        if (it.report.dataCentre == dataCentre && isLive(it, now))
            hosts.emplace_back(rankOf(id, it.report.acceptsRequests, it.report.capacity), id);
    }
    std::sort(hosts.begin(), hosts.end(), std::greater<>());
    std::vector<HostId> ids;
    ids.reserve(hosts.size());
    for (auto& [rank, id] : hosts)
        ids.push_back(std::move(id));
    return ids;
}

std::vector<DataCentreId> HostTable::dataCentres(TimePoint now) const
{
    std::set<DataCentreId> found { m_options.dataCentre };
    for (const auto& [id, it] : m_hosts) {
        if (isLive(it, now) && !it.report.dataCentre.empty())
            found.insert(it.report.dataCentre);
    }
    return { found.begin(), found.end() };
}

std::vector<HostId> HostTable::storeReaders(TimePoint now) const
{
    std::vector<HostId> readers;
    for (const DataCentreId& dataCentre : dataCentres(now)) {
        const std::vector<HostId> hosts = ranked(dataCentre, now);
        const auto it
            = std::find_if(hosts.begin(), hosts.end(), [this](const HostId& host) { return reachesStore(host); });
        if (it != hosts.end())
            readers.push_back(*it);
    }
    return readers;
}

bool HostTable::reachesStore(const HostId& host) const
{
    return host == m_self ? m_own.reachesStore : m_hosts.at(host).report.reachesStore;
}

bool HostTable::acceptsRequests(const HostId& host) const
{
    return host == m_self ? m_own.acceptsRequests : m_hosts.at(host).report.acceptsRequests;
}

std::optional<TimePoint> HostTable::lastSeen(const KnownHost& host)
{
    if (!host.lastReportAt || !host.confirmedAt)
        return host.lastReportAt ? host.lastReportAt : host.confirmedAt;
    return std::max(*host.lastReportAt, *host.confirmedAt);
}

int HostTable::sharingHostCount(TimePoint now) const
{
    const auto counts = [&](const auto& entry) {
        const KnownHost& it = entry.second;
        return now - lastSeen(it).value_or(it.knownSince) < m_options.shareRetention;
    };
    return 1 + static_cast<int>(std::count_if(m_hosts.begin(), m_hosts.end(), counts));
}

std::vector<http::Endpoint> HostTable::reportTargets(std::size_t maxProbes, TimePoint now)
{
    std::vector<http::Endpoint> targets = probeTargets(maxProbes, now);
    for (const KnownHost* it : live(now))
        targets.push_back(it->peerAddress);
    return targets;
}

std::vector<http::Endpoint> HostTable::probeTargets(std::size_t maxTargets, TimePoint now)
{
    std::vector<http::Endpoint> targets;
    for (auto& [id, it] : m_hosts) {
        const bool due = !isLive(it, now) && now - it.probedAt >= m_options.probeInterval;
        if (!due || targets.size() >= maxTargets)
            continue;
        it.probedAt = now;
        targets.push_back(it.peerAddress);
    }
    return targets;
}

void HostTable::removeExpired(TimePoint now)
{
    std::erase_if(m_hosts, [&](const auto& entry) {
        const KnownHost& it = entry.second;
        return now - lastSeen(it).value_or(it.knownSince) >= m_options.addressRetention;
    });
}

const HostId& firstByRendezvous(const std::vector<HostId>& hosts, std::string_view subject)
{
    const std::uint64_t seed = stableHash(subject);
    return *std::max_element(hosts.begin(), hosts.end(),
        [seed](const HostId& a, const HostId& b) { return stableHash(a.value(), seed) < stableHash(b.value(), seed); });
}

}
