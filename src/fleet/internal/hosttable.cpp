#include "fireflyhaven/fleet/hosttable.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>

namespace fireflyhaven::fleet {

HostTable::HostTable(HostId self, HostTableOptions options)
    : m_self(std::move(self))
    , m_options(options)
{
}

void HostTable::onAddress(const HostId& host, const http::Endpoint& peerAddress, TimePoint now)
{
    if (host == m_self)
        return;
    const auto [it, added] = m_hosts.try_emplace(host);
    KnownHost& known = it->second;
    // What a host's own reports show goes before a record that may be old.
    if (!added && known.heardAt && now - *known.heardAt < m_options.silence)
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

bool HostTable::isLive(const KnownHost& host, TimePoint now) const
{
    return host.heardAt && now - *host.heardAt < m_options.silence;
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

int HostTable::sharers(TimePoint now) const
{
    const auto counts = [&](const auto& entry) {
        const KnownHost& it = entry.second;
        return now - it.heardAt.value_or(it.knownSince) < m_options.forgetShare;
    };
    return 1 + static_cast<int>(std::count_if(m_hosts.begin(), m_hosts.end(), counts));
}

std::vector<http::Endpoint> HostTable::reportTargets(TimePoint now)
{
    std::vector<http::Endpoint> targets;
    for (auto& [id, it] : m_hosts) {
        if (isLive(it, now)) {
            targets.push_back(it.peerAddress);
        } else if (now - it.probedAt >= m_options.probeInterval) {
            it.probedAt = now;
            targets.push_back(it.peerAddress);
        }
    }
    return targets;
}

void HostTable::forgetSilent(TimePoint now)
{
    std::erase_if(m_hosts, [&](const auto& entry) {
        const KnownHost& it = entry.second;
        return now - it.heardAt.value_or(it.knownSince) >= m_options.forgetAddress;
    });
}

const HostId& firstByRendezvous(const std::vector<HostId>& hosts, std::string_view subject)
{
    const std::uint64_t seed = stableHash(subject);
    return *std::max_element(hosts.begin(), hosts.end(),
        [seed](const HostId& a, const HostId& b) { return stableHash(a.value(), seed) < stableHash(b.value(), seed); });
}

}
