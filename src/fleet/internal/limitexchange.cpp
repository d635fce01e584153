#include "fireflyhaven/fleet/limitexchange.h"

namespace fireflyhaven::fleet {

namespace {

// Notices are repeated once in this many ticks, because datagrams get lost.
constexpr std::uint32_t NOTICE_INTERVAL_TICKS = 2;

}

LimitExchange::LimitExchange(const Exchange& exchange, ILimitDelegate& delegate)
    : m_exchange(exchange)
    , m_routes(exchange)
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
    return addressNotices(m_routes, now, [&](NoticeScope scope) -> std::optional<std::string> {
        LimitNotices notices { .from = self(), .dataCentre = ownDataCentre() };
        notices.limits.items = m_delegate.limitNotices(scope, now);
        return notices.limits.items.empty() ? std::nullopt : std::optional(encodeLimitNotices(notices));
    });
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
    const std::vector<http::Endpoint> addresses = m_routes.addressesOf({ issuer });
    if (addresses.empty())
        return std::nullopt;
    return Datagram { .to = addresses.front(), .bytes = encodePermitRequest(request) };
}

}
