#include "fleetlink.h"

#include "fireflyhaven/telemetry/logevent.h"

namespace fireflyhaven::entry {

namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

constexpr Duration REPORT_INTERVAL { 200 };
// Each so many reports one tells all that holds, for hosts that missed an earlier one.
constexpr std::uint32_t REPORTS_PER_FULL_ONE = 10;
constexpr Duration STORE_RETRY { 1000 };
// Reads of all hosts' records beyond the first: they find hosts that were cut off for long.
constexpr Duration HOSTS_INTERVAL { 20'000 };
constexpr std::size_t NAMED_HOSTS = 2;

}

FleetLink::FleetLink(asio::io_context& loop, const IClock& clock, const EntrySettings& settings,
    store::IRecordStore& store, IReportPart& part)
    : m_clock(clock)
    , m_settings(settings)
    , m_store(store)
    , m_part(part)
    , m_hosts(settings.host)
    , m_socket(loop)
    , m_tickTimer(loop)
    , m_storeTimer(loop)
    , m_life(static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()))
{
}

FleetLink::~FleetLink() { *m_alive = false; }

Result<void> FleetLink::open()
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(m_settings.frontend.ip, ec);
    m_socket.open(Udp::v4(), ec);
    if (!ec)
        m_socket.bind({ address, m_settings.firstPeerPort }, ec);
    if (ec)
        return failure(ErrorCode::Unavailable, "cannot receive reports: " + ec.message());
    receive();
    registerHost();
    tick();
    return {};
}

void FleetLink::later(asio::steady_timer& timer, Duration delay, std::function<void()> action)
{
    timer.expires_after(delay);
    timer.async_wait([alive = m_alive, action = std::move(action)](boost::system::error_code ec) {
        if (!ec && *alive)
            action();
    });
}

void FleetLink::receive()
{
    m_socket.async_receive_from(
        asio::buffer(m_buffer), m_sender, [this, alive = m_alive](boost::system::error_code ec, std::size_t n) {
            if (!*alive || ec == asio::error::operation_aborted)
                return;
            // An error here tells of an earlier datagram that found nobody.
            if (!ec)
                onDatagram(n);
            receive();
        });
}

void FleetLink::onDatagram(std::size_t n)
{
    const auto report = fleet::decodeReport(std::string(m_buffer.data(), n));
    if (!report) {
        telemetry::logEvent(
            spdlog::level::warn, "peer_report_unreadable", { { "from", m_sender.address().to_string() } });
        return;
    }
    const TimePoint now = m_clock.now();
    const http::Endpoint from { .ip = m_sender.address().to_string(), .port = m_sender.port() };
    const auto known = m_hosts.hosts().find(report->host);
    const std::uint64_t lifeBefore = known == m_hosts.hosts().end() ? 0 : known->second.report.life;
    const auto before = m_hosts.onReport(*report, from, now);
    if (!before)
        return;
    const bool newLife = lifeBefore != report->life;
    if (newLife)
        telemetry::logEvent(
            spdlog::level::info, "peer_heard", { { "peer", report->host.value() }, { "address", from.text() } });
    m_liveHosts.insert(report->host);
    m_part.onReport(*before, *report, newLife, now);
    for (const http::Endpoint& it : report->otherHosts.items) {
        const bool own = it.ip == m_settings.frontend.ip;
        const bool isKnown = std::any_of(m_hosts.hosts().begin(), m_hosts.hosts().end(),
            [&](const auto& entry) { return entry.second.peerAddress == it; });
        // Its id is learned from its own report.
        if (!own && !isKnown)
            m_hosts.onAddress(HostId("at " + it.text()), it, now);
    }
}

void FleetLink::tick()
{
    const TimePoint now = m_clock.now();
    noteSilence(now);
    m_hosts.forgetSilent(now);
    sendReports(m_sequence % REPORTS_PER_FULL_ONE == 0);
    later(m_tickTimer, REPORT_INTERVAL, [this] { tick(); });
}

void FleetLink::noteSilence(TimePoint now)
{
    std::erase_if(m_liveHosts, [&](const HostId& id) {
        const auto it = m_hosts.hosts().find(id);
        if (it != m_hosts.hosts().end() && m_hosts.isLive(it->second, now))
            return false;
        telemetry::logEvent(spdlog::level::info, "peer_silent", { { "peer", id.value() } });
        m_part.onHostSilent(id);
        return true;
    });
}

void FleetLink::reportNow() { sendReports(true); }

fleet::HostReport FleetLink::report(bool full)
{
    const TimePoint now = m_clock.now();
    fleet::HostReport it { .host = m_settings.host,
        .life = m_life,
        .sequence = ++m_sequence,
        .frontend = m_settings.frontend,
        .dataCentre = m_settings.dataCentre };
    m_part.fillReport(it, full, now);
    if (full) {
        const auto live = m_hosts.live(now);
        for (std::size_t n = 0; n < std::min(NAMED_HOSTS, live.size()); ++n)
            it.otherHosts.items.push_back(live[(m_sequence + n) % live.size()]->peerAddress);
    }
    return it;
}

void FleetLink::sendReports(bool full)
{
    const std::string datagram = encodeReport(report(full));
    for (const http::Endpoint& target : m_hosts.reportTargets(m_clock.now())) {
        boost::system::error_code ec;
        const auto address = asio::ip::make_address(target.ip, ec);
        m_socket.send_to(asio::buffer(datagram), { address, target.port }, 0, ec);
        m_bytesSent += datagram.size();
    }
}

void FleetLink::registerHost()
{
    const http::Endpoint own { .ip = m_settings.frontend.ip, .port = m_settings.firstPeerPort };
    m_store.put(store::Topic::Hosts, { .key = m_settings.host.value(), .value = own.text() }, std::nullopt,
        [this, alive = m_alive](const auto& outcome) {
            if (!*alive)
                return;
            if (outcome.value)
                return readHosts({});
            telemetry::logEvent(spdlog::level::warn, "registration_failed", { { "reason", outcome.reason } });
            later(m_storeTimer, STORE_RETRY, [this] { registerHost(); });
        });
}

void FleetLink::readHosts(const std::string& after)
{
    m_store.readNewest(store::Topic::Hosts, after, [this, alive = m_alive](const auto& outcome) {
        if (!*alive)
            return;
        if (!outcome.value) {
            telemetry::logEvent(spdlog::level::warn, "peer_addresses_unread", { { "reason", outcome.reason } });
            return later(m_storeTimer, STORE_RETRY, [this] { readHosts({}); });
        }
        for (const store::KeyedRecord& it : outcome.value->records)
            onHostRecord(it);
        if (outcome.value->continueAfter)
            return readHosts(*outcome.value->continueAfter);
        later(m_storeTimer, HOSTS_INTERVAL, [this] { readHosts({}); });
    });
}

void FleetLink::onHostRecord(const store::KeyedRecord& record)
{
    const auto address = http::Endpoint::parse(record.value.value_or(""));
    if (address)
        m_hosts.onAddress(HostId(record.key), *address, m_clock.now());
}

}
