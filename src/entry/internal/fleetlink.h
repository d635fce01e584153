#pragma once

#include "fireflyhaven/common/result.h"
#include "fireflyhaven/entry/types/settings.h"
#include "fireflyhaven/fleet/exchange.h"
#include "fireflyhaven/store/recordstore.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>

namespace fireflyhaven::entry {

// Carries the exchange between hosts over UDP, and keeps a record of this host's address in the store where the others
// may need it: few hosts all have one, of many the aggregators do.
class FleetLink {
public:
    FleetLink(boost::asio::io_context& loop, const IClock& clock, const EntrySettings& settings,
        store::IRecordStore& store, fleet::IReportDelegate& part);
    FleetLink(const FleetLink&) = delete;
    FleetLink& operator=(const FleetLink&) = delete;
    ~FleetLink();

    Result<void> open();
    // Sends a report now, for news that should not wait.
    void reportNow();
    const fleet::HostTable& hosts() const { return m_exchange.hosts(); }
    const fleet::Exchange& exchange() const { return m_exchange; }
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t datagramsSent() const { return m_datagramsSent; }

private:
    void receive();
    void onDatagram(std::size_t n);
    void send(const std::vector<fleet::Datagram>& datagrams);
    void tick();
    void noteChanges(TimePoint now);
    void checkRecord();
    void registerHost();
    void readHosts(const std::string& after);
    void onHostRecord(const store::KeyedRecord& record);
    void later(boost::asio::steady_timer& timer, Duration delay, std::function<void()> action);

    const IClock& m_clock;
    const EntrySettings& m_settings;
    store::IRecordStore& m_store;
    fleet::Exchange m_exchange;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_storeTimer;
    std::array<char, 65536> m_buffer {};
    boost::asio::ip::udp::endpoint m_sender;
    bool m_registered = false;
    // As of the last tick, for the log.
    std::set<HostId> m_liveHosts;
    bool m_wasLayered = false;
    bool m_wasAggregator = false;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_datagramsSent = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
