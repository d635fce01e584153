#pragma once

#include "fireflyhaven/common/result.h"
#include "fireflyhaven/entry/types/settings.h"
#include "fireflyhaven/fleet/limitexchange.h"
#include "fireflyhaven/fleet/poisonexchange.h"
#include "fireflyhaven/store/recordstore.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>

namespace fireflyhaven::entry {

// Sends and receives reports, request limits and permits between hosts over UDP, and registers this host's address in
// the store. With few hosts all of them are registered; in the layered exchange only the aggregators are.
class FleetLink {
public:
    FleetLink(boost::asio::io_context& loop, const IClock& clock, const EntrySettings& settings,
        store::IRecordStore& store, fleet::IReportDelegate& reportDelegate, fleet::ILimitDelegate& limitDelegate,
        fleet::IPoisonDelegate& poisonDelegate);
    FleetLink(const FleetLink&) = delete;
    FleetLink& operator=(const FleetLink&) = delete;
    ~FleetLink();

    Result<void> open();
    // Sends a report outside the regular interval, for changes that should not be delayed.
    void reportNow();
    // The store has come back from an older copy, and may have lost this host's record.
    void onStoreRestored();
    // The same for the evidence against parts of prompts.
    void sendPoisonNotices();
    void send(const std::vector<fleet::Datagram>& datagrams);
    const fleet::HostTable& hosts() const { return m_exchange.hosts(); }
    const fleet::Exchange& exchange() const { return m_exchange; }
    const fleet::LimitExchange& limitExchange() const { return m_limitExchange; }
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t datagramsSent() const { return m_datagramsSent; }

private:
    void receive();
    void onDatagram(std::size_t n);
    void tick();
    void logChanges(TimePoint now);
    void checkRegistration();
    void registerHost();
    void readHostRecords(const std::string& after);
    void onHostRecord(const store::KeyedRecord& record);
    void runAfter(boost::asio::steady_timer& timer, Duration delay, std::function<void()> action);

    const IClock& m_clock;
    const EntrySettings& m_settings;
    store::IRecordStore& m_store;
    fleet::Exchange m_exchange;
    fleet::LimitExchange m_limitExchange;
    fleet::PoisonExchange m_poisonExchange;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_storeTimer;
    std::array<char, 65536> m_buffer {};
    boost::asio::ip::udp::endpoint m_sender;
    bool m_registered = false;
    // State as of the last tick, used to log changes.
    std::set<HostId> m_liveHosts;
    // The first host of each data centre that reaches the store, as of the last tick.
    std::vector<HostId> m_storeReaders;
    bool m_wasLayered = false;
    bool m_wasAggregator = false;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_datagramsSent = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
