#include "fleetlink.h"

#include "fireflyhaven/common/hash.h"
#include "fireflyhaven/telemetry/logevent.h"

#include <algorithm>

namespace fireflyhaven::entry {

namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

constexpr Duration REPORT_INTERVAL { 200 };
// Starting hosts discover the others through the seeds first, and fall back to the records in the store after this
// delay. It is longer at bootstrap, when all hosts start at once.
constexpr Duration REGISTRATION_DELAY { 1000 };
constexpr Duration REGISTRATION_DELAY_AT_BOOTSTRAP { 3000 };
constexpr Duration REGISTRATION_CHECK_INTERVAL { 1000 };
constexpr Duration STORE_RETRY_DELAY { 1000 };
// Interval of repeated reads of all hosts' records, which find hosts that were partitioned for a long time.
constexpr Duration HOST_RECORDS_INTERVAL { 20'000 };
// Limit on host names in one log line.
constexpr std::size_t MAX_LOGGED_HOSTS = 8;

fleet::ExchangeOptions exchangeOptions(const EntrySettings& settings, const IClock& clock)
{
    fleet::ExchangeOptions it { .self = settings.host,
        .dataCentre = settings.dataCentre,
        .frontend = settings.frontend,
        .peerAddress = { .ip = settings.frontend.ip, .port = settings.firstPeerPort },
        .capacity = settings.limits.cpuMillicores,
        .incarnation = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()),
        .alwaysFlat = settings.flatExchange };
    // All hosts use the same ports.
    for (const std::string& ip : settings.seedIps)
        it.seeds.push_back({ .ip = ip, .port = settings.firstPeerPort });
    return it;
}

void logHosts(const char* event, const std::vector<HostId>& hosts)
{
    std::string names;
    for (std::size_t n = 0; n < std::min(hosts.size(), MAX_LOGGED_HOSTS); ++n)
        names += (n ? "," : "") + hosts[n].value();
    telemetry::logEvent(spdlog::level::info, event, { { "count", hosts.size() }, { "peers", names } });
}

}

FleetLink::FleetLink(asio::io_context& loop, const IClock& clock, const EntrySettings& settings,
    store::IRecordStore& store, fleet::IReportDelegate& reportDelegate, fleet::ILimitDelegate& limitDelegate,
    fleet::IPoisonDelegate& poisonDelegate)
    : m_clock(clock)
    , m_settings(settings)
    , m_store(store)
    , m_exchange(exchangeOptions(settings, clock), reportDelegate)
    , m_limitExchange(m_exchange, limitDelegate)
    , m_poisonExchange(m_exchange, poisonDelegate)
    , m_socket(loop)
    , m_tickTimer(loop)
    , m_storeTimer(loop)
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
        return failure(ErrorCode::Unavailable, "cannot open the UDP socket for host reports: " + ec.message());
    receive();
    tick();
    // The delay differs by host, so that hosts that start together do not call the store at the same time.
    const double spread = unitInterval(stableHash(m_settings.host.value()));
    const Duration delay = m_settings.bootstrap ? REGISTRATION_DELAY_AT_BOOTSTRAP : REGISTRATION_DELAY;
    const bool alone = m_settings.seedIps.empty();
    runAfter(m_storeTimer,
        alone ? Duration(0) : Duration(static_cast<Duration::rep>(delay.count() * (0.7 + 0.3 * spread))),
        [this] { checkRegistration(); });
    return {};
}

void FleetLink::runAfter(asio::steady_timer& timer, Duration delay, std::function<void()> action)
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
            // An error here reports that an earlier datagram of this socket could not be delivered.
            if (!ec)
                onDatagram(n);
            receive();
        });
}

void FleetLink::onDatagram(std::size_t n)
{
    const http::Endpoint from { .ip = m_sender.address().to_string(), .port = m_sender.port() };
    const std::string bytes(m_buffer.data(), n);
    bool isOther = false;
    send(m_exchange.onDatagram(bytes, from, m_clock.now(), isOther));
    if (!isOther)
        return;
    if (const auto replies = m_limitExchange.onDatagram(bytes, from, m_clock.now()))
        send(*replies);
    else if (!m_poisonExchange.onDatagram(bytes, m_clock.now()))
        telemetry::logEvent(spdlog::level::warn, "peer_report_unreadable", { { "from", from.ip } });
}

void FleetLink::send(const std::vector<fleet::Datagram>& datagrams)
{
    for (const fleet::Datagram& it : datagrams) {
        boost::system::error_code ec;
        const auto address = asio::ip::make_address(it.to.ip, ec);
        // A datagram that cannot be sent is treated like one lost in transit.
        m_socket.send_to(asio::buffer(it.bytes), { address, it.to.port }, 0, ec);
        m_bytesSent += it.bytes.size();
        ++m_datagramsSent;
    }
}

void FleetLink::tick()
{
    const TimePoint now = m_clock.now();
    send(m_exchange.tick(now));
    send(m_limitExchange.tick(now));
    send(m_poisonExchange.tick(now));
    logChanges(now);
    runAfter(m_tickTimer, REPORT_INTERVAL, [this] { tick(); });
}

void FleetLink::logChanges(TimePoint now)
{
    std::set<HostId> live;
    for (const fleet::KnownHost* it : hosts().live(now))
        live.insert(it->report.host);
    std::vector<HostId> newlyLive;
    std::vector<HostId> newlySilent;
    std::set_difference(
        live.begin(), live.end(), m_liveHosts.begin(), m_liveHosts.end(), std::back_inserter(newlyLive));
    std::set_difference(
        m_liveHosts.begin(), m_liveHosts.end(), live.begin(), live.end(), std::back_inserter(newlySilent));
    if (!newlyLive.empty())
        logHosts("peer_heard", newlyLive);
    if (!newlySilent.empty())
        logHosts("peer_silent", newlySilent);
    m_liveHosts = std::move(live);
    std::vector<HostId> readers = hosts().storeReaders(now);
    if (readers != m_storeReaders)
        logHosts("store_readers", readers);
    m_storeReaders = std::move(readers);
    const bool layered = hosts().isLayered();
    const bool aggregator = m_exchange.isAggregator();
    if (std::exchange(m_wasLayered, layered) != layered || std::exchange(m_wasAggregator, aggregator) != aggregator)
        telemetry::logEvent(
            spdlog::level::info, "exchange_layout", { { "layered", layered }, { "aggregator", aggregator } });
}

void FleetLink::sendPoisonNotices() { send(m_poisonExchange.sendNotices(m_clock.now())); }

void FleetLink::reportNow() { send(m_exchange.reportNow(m_clock.now())); }

// A starting host may need the record of another one to find the exchange. With few hosts all of them are registered;
// in the layered exchange only the aggregators are.
void FleetLink::checkRegistration()
{
    const bool hasLivePeers = m_exchange.hasLivePeers(m_clock.now());
    const bool needsRegistration = !hosts().isLayered() || m_exchange.isAggregator();
    if (!m_registered && needsRegistration)
        return registerHost();
    if (!hasLivePeers || needsRegistration)
        return readHostRecords({});
    runAfter(m_storeTimer, REGISTRATION_CHECK_INTERVAL, [this] { checkRegistration(); });
}

void FleetLink::onStoreRestored()
{
    m_registered = false;
    runAfter(m_storeTimer, STORE_RETRY_DELAY, [this] { checkRegistration(); });
}

void FleetLink::registerHost()
{
    const http::Endpoint own { .ip = m_settings.frontend.ip, .port = m_settings.firstPeerPort };
    m_store.put(store::Topic::Hosts, { .key = m_settings.host.value(), .value = own.text() }, std::nullopt,
        [this, alive = m_alive](const auto& outcome) {
            if (!*alive)
                return;
            if (outcome.value) {
                m_registered = true;
                return readHostRecords({});
            }
            telemetry::logEvent(spdlog::level::warn, "registration_failed", { { "reason", outcome.reason } });
            runAfter(m_storeTimer, STORE_RETRY_DELAY, [this] { checkRegistration(); });
        });
}

void FleetLink::readHostRecords(const std::string& after)
{
    m_store.readNewest(store::Topic::Hosts, after, nullptr, [this, alive = m_alive](const auto& outcome) {
        if (!*alive)
            return;
        if (!outcome.value) {
            telemetry::logEvent(spdlog::level::warn, "peer_addresses_unread", { { "reason", outcome.reason } });
            return runAfter(m_storeTimer, STORE_RETRY_DELAY, [this] { checkRegistration(); });
        }
        for (const store::KeyedRecord& it : outcome.value->records)
            onHostRecord(it);
        if (outcome.value->continueAfter)
            return readHostRecords(*outcome.value->continueAfter);
        runAfter(m_storeTimer, HOST_RECORDS_INTERVAL, [this] { checkRegistration(); });
    });
}

void FleetLink::onHostRecord(const store::KeyedRecord& record)
{
    const auto address = http::Endpoint::parse(record.value.value_or(""));
    if (address)
        m_exchange.onAddress(HostId(record.key), *address, m_clock.now());
}

}
