#include "fireflyhaven/fleet/poisonexchange.h"

namespace fireflyhaven::fleet {

namespace {

// Notices are repeated once in this many ticks, because datagrams get lost and hosts restart.
constexpr std::uint32_t NOTICE_INTERVAL_TICKS = 3;

}

PoisonExchange::PoisonExchange(const Exchange& exchange, IPoisonDelegate& delegate)
    : m_exchange(exchange)
    , m_routes(exchange)
    , m_delegate(delegate)
{
}

std::vector<Datagram> PoisonExchange::tick(TimePoint now)
{
    ++m_ticks;
    return m_ticks % NOTICE_INTERVAL_TICKS == 0 ? sendNotices(now) : std::vector<Datagram>();
}

std::vector<Datagram> PoisonExchange::sendNotices(TimePoint now) const
{
    return addressNotices(m_routes, now, [&](NoticeScope scope) -> std::optional<std::string> {
        PoisonNotices notices = m_delegate.poisonNotices(scope, now);
        if (notices.empty())
            return std::nullopt;
        notices.from = m_exchange.hosts().self();
        notices.dataCentre = m_exchange.hosts().ownDataCentre();
        return encodePoisonNotices(notices);
    });
}

bool PoisonExchange::onDatagram(const std::string& bytes, TimePoint now) const
{
    const auto notices = decodePoisonNotices(bytes);
    if (!notices)
        return false;
    const bool own = notices->dataCentre == m_exchange.hosts().ownDataCentre();
    m_delegate.onPoisonNotices(*notices, own ? NoticeSource::OwnDataCentre : NoticeSource::OtherDataCentre, now);
    return true;
}

}
