#include "fireflyhaven/fleet/limitexchange.h"

#include <algorithm>

namespace fireflyhaven::fleet {

namespace {

// Notices are repeated once in this many ticks, because datagrams get lost.
constexpr std::uint32_t NOTICE_INTERVAL_TICKS = 2;

}

LimitExchange::LimitExchange(const Exchange& exchange, ILimitDelegate& delegate)
    : m_exchange(exchange)
    , m_delegate(delegate)
{
}

std::vector<Datagram> LimitExchange::tick(TimePoint now)
{
    ++m_ticks;
    return m_ticks % NOTICE_INTERVAL_TICKS == 0 ? sendNotices(now) : std::vector<Datagram>();
}

std::vector<Datagram> LimitExchange::sendNotices(TimePoint now) const
{
    std::vector<Datagram> out;
    const HostTable& hosts = m_exchange.hosts();
    if (!hosts.isLayered()) {
        std::vector<http::Endpoint> targets;
        for (const KnownHost* it : hosts.live(now))
            targets.push_back(it->peerAddress);
        addNotices(out, LimitScope::Host, targets, now);
        return out;
    }
    if (m_exchange.isPrimaryAggregator()) {
        addNotices(out, LimitScope::DataCentre, aggregatorsOfOtherDataCentres(now), now);
        addNotices(out, LimitScope::Fleet, hostsOfOwnDataCentre(now), now);
        return out;
    }
    addNotices(out, LimitScope::Host, addressesOf(m_exchange.aggregators()), now);
    return out;
}

void LimitExchange::addNotices(
    std::vector<Datagram>& out, LimitScope scope, const std::vector<http::Endpoint>& targets, TimePoint now) const
{
    LimitNotices notices { .from = m_exchange.hosts().self(), .dataCentre = m_exchange.hosts().ownDataCentre() };
    notices.limits.items = m_delegate.limitNotices(scope, now);
    if (notices.limits.items.empty())
        return;
    const std::string bytes = encodeLimitNotices(notices);
    for (const http::Endpoint& it : targets)
        out.push_back({ .to = it, .bytes = bytes });
}

std::vector<http::Endpoint> LimitExchange::hostsOfOwnDataCentre(TimePoint now) const
{
    const HostTable& hosts = m_exchange.hosts();
    std::vector<http::Endpoint> addresses;
    for (const auto& [id, it] : hosts.hosts()) {
        if (it.report.dataCentre == hosts.ownDataCentre() && hosts.hasRecentReport(it, now))
            addresses.push_back(it.peerAddress);
    }
    return addresses;
}

std::vector<http::Endpoint> LimitExchange::aggregatorsOfOtherDataCentres(TimePoint now) const
{
    const HostTable& hosts = m_exchange.hosts();
    std::vector<http::Endpoint> addresses;
    for (const DataCentreId& dataCentre : hosts.dataCentres(now)) {
        if (dataCentre == hosts.ownDataCentre())
            continue;
        std::vector<HostId> ranked = hosts.ranked(dataCentre, now);
        ranked.resize(std::min(ranked.size(), m_exchange.aggregatorsPerDataCentre()));
        const std::vector<http::Endpoint> found = addressesOf(ranked);
        addresses.insert(addresses.end(), found.begin(), found.end());
    }
    return addresses;
}

std::vector<http::Endpoint> LimitExchange::addressesOf(const std::vector<HostId>& hosts) const
{
    const std::map<HostId, KnownHost>& known = m_exchange.hosts().hosts();
    std::vector<http::Endpoint> addresses;
    for (const HostId& id : hosts) {
        const auto it = known.find(id);
        if (it != known.end())
            addresses.push_back(it->second.peerAddress);
    }
    return addresses;
}

std::optional<std::vector<Datagram>> LimitExchange::onDatagram(
    const std::string& bytes, const http::Endpoint& from, TimePoint now) const
{
    std::vector<Datagram> replies;
    if (const auto notices = decodeLimitNotices(bytes)) {
        for (const UpstreamLimit& it : notices->limits.items)
            m_delegate.onLimitNotice(it, notices->dataCentre, now);
        return replies;
    }
    if (const auto request = decodePermitRequest(bytes)) {
        replies.push_back({ .to = from, .bytes = encodePermitReply(m_delegate.onPermitRequest(*request, now)) });
        return replies;
    }
    if (const auto reply = decodePermitReply(bytes)) {
        m_delegate.onPermitReply(*reply, now);
        return replies;
    }
    return std::nullopt;
}

std::vector<HostId> LimitExchange::issuers(TimePoint now) const
{
    const HostTable& hosts = m_exchange.hosts();
    std::vector<HostId> first;
    for (const DataCentreId& dataCentre : hosts.dataCentres(now)) {
        const std::vector<HostId> ranked = hosts.ranked(dataCentre, now);
        if (!ranked.empty())
            first.push_back(ranked.front());
    }
    return first;
}

const HostId& LimitExchange::issuerOf(ShortHash upstream, const std::vector<HostId>& issuers)
{
    return firstByRendezvous(issuers, std::to_string(upstream));
}

std::optional<Datagram> LimitExchange::permitRequest(const HostId& issuer, const PermitRequest& request) const
{
    const std::vector<http::Endpoint> addresses = addressesOf({ issuer });
    if (addresses.empty())
        return std::nullopt;
    return Datagram { .to = addresses.front(), .bytes = encodePermitRequest(request) };
}

}
