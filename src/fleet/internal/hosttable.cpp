#include "fireflyhaven/fleet/hosttable.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>
#include <set>

namespace fireflyhaven::fleet {

namespace {

// Hosts with more than this, in thousandths of a core, are all alike.
constexpr std::uint16_t LARGE_HOST = 250;

// Position of a host in its data centre; the greater one comes first.
struct Rank {
    bool takesCallers = false;
    std::uint16_t capacity = 0;
    std::uint64_t hash = 0;

    friend auto operator<=>(const Rank&, const Rank&) = default;
};

Rank rankOf(const HostId& host, bool takesCallers, std::uint16_t capacity)
{
    static const std::uint64_t SEED = stableHash("rank in the data centre");
    return {
        .takesCallers = takesCallers, .capacity = std::min(capacity, LARGE_HOST), .hash = stableHash(host.value(), SEED)
    };
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
    // What a host's own reports show goes before a record that may be old.
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
    const bool old = report.life < last.life || (report.life == last.life && report.sequence <= last.sequence);
    if (known.heardAt && old)
        return std::nullopt;
    // An address belongs to the host that was heard from it last.
    std::erase_if(
        m_hosts, [&](const auto& entry) { return entry.first != report.host && entry.second.peerAddress == from; });
    HostReport before = known.heardAt && report.life == last.life ? std::move(known.report) : HostReport {};
    known.report = report;
    known.peerAddress = from;
    known.heardAt = now;
    return before;
}

void HostTable::onRoster(const Roster& roster, TimePoint now)
{
    std::set<HostId> named;
    for (const RosterEntry& it : roster.entries.items) {
        if (it.host == m_self || it.host.empty())
            continue;
        named.insert(it.host);
        const auto [entry, added] = m_hosts.try_emplace(it.host);
        KnownHost& known = entry->second;
        if (added)
            known.knownSince = now;
        const TimePoint vouchedAt = now - Duration(it.ageMs);
        const bool newer = !lastSign(known) || *lastSign(known) < vouchedAt;
        known.vouchedAt = std::max(known.vouchedAt.value_or(vouchedAt), vouchedAt);
        if (!newer || it.life < known.report.life)
            continue;
        if (it.life > known.report.life) {
            // What was heard of its earlier life tells nothing of this one.
            known.report = {};
            known.heardAt.reset();
        }
        known.peerAddress = it.peerAddress;
        known.report.host = it.host;
        known.report.life = it.life;
        known.report.frontend = it.frontend;
        known.report.dataCentre = roster.dataCentre;
        known.report.capacity = it.capacity;
        known.report.takesCallers = it.takesCallers;
        known.report.reachesStore = it.reachesStore;
    }
    if (!roster.replacesEarlier)
        return;
    for (auto& [id, it] : m_hosts) {
        if (it.report.dataCentre == roster.dataCentre && !named.contains(id))
            it.vouchedAt.reset();
    }
}

bool HostTable::isHeard(const KnownHost& host, TimePoint now) const
{
    return host.heardAt && now - *host.heardAt < m_options.silence;
}

void HostTable::onSign(const HostId& host, TimePoint now)
{
    const auto it = m_hosts.find(host);
    if (it != m_hosts.end())
        it->second.vouchedAt = now;
}

void HostTable::onSuspected(const HostId& host, TimePoint now)
{
    const auto it = m_hosts.find(host);
    if (it != m_hosts.end())
        it->second.suspectedAt = now;
}

bool HostTable::isLive(const KnownHost& host, TimePoint now) const
{
    if (host.suspectedAt && lastSign(host).value_or(TimePoint {}) <= *host.suspectedAt)
        return false;
    return isHeard(host, now) || (host.vouchedAt && now - *host.vouchedAt < m_options.vouchedSilence);
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
        hosts.emplace_back(rankOf(m_self, m_own.takesCallers, m_options.capacity), m_self);
    for (const auto& [id, it] : m_hosts) {
        if (it.report.dataCentre == dataCentre && isLive(it, now))
            hosts.emplace_back(rankOf(id, it.report.takesCallers, it.report.capacity), id);
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

bool HostTable::takesCallers(const HostId& host) const
{
    return host == m_self ? m_own.takesCallers : m_hosts.at(host).report.takesCallers;
}

std::optional<TimePoint> HostTable::lastSign(const KnownHost& host)
{
    if (!host.heardAt || !host.vouchedAt)
        return host.heardAt ? host.heardAt : host.vouchedAt;
    return std::max(*host.heardAt, *host.vouchedAt);
}

int HostTable::sharers(TimePoint now) const
{
    const auto counts = [&](const auto& entry) {
        const KnownHost& it = entry.second;
        return now - lastSign(it).value_or(it.knownSince) < m_options.forgetShare;
    };
    return 1 + static_cast<int>(std::count_if(m_hosts.begin(), m_hosts.end(), counts));
}

std::vector<http::Endpoint> HostTable::reportTargets(std::size_t mostProbes, TimePoint now)
{
    std::vector<http::Endpoint> targets = probeTargets(mostProbes, now);
    for (const KnownHost* it : live(now))
        targets.push_back(it->peerAddress);
    return targets;
}

std::vector<http::Endpoint> HostTable::probeTargets(std::size_t most, TimePoint now)
{
    std::vector<http::Endpoint> targets;
    for (auto& [id, it] : m_hosts) {
        const bool due = !isLive(it, now) && now - it.probedAt >= m_options.probeInterval;
        if (!due || targets.size() >= most)
            continue;
        it.probedAt = now;
        targets.push_back(it.peerAddress);
    }
    return targets;
}

void HostTable::forgetSilent(TimePoint now)
{
    std::erase_if(m_hosts, [&](const auto& entry) {
        const KnownHost& it = entry.second;
        return now - lastSign(it).value_or(it.knownSince) >= m_options.forgetAddress;
    });
}

const HostId& firstByRendezvous(const std::vector<HostId>& hosts, std::string_view subject)
{
    const std::uint64_t seed = stableHash(subject);
    return *std::max_element(hosts.begin(), hosts.end(),
        [seed](const HostId& a, const HostId& b) { return stableHash(a.value(), seed) < stableHash(b.value(), seed); });
}

}
