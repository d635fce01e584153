#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/result.h"
#include "fireflyhaven/entry/types/settings.h"
#include "fireflyhaven/fleet/hosttable.h"
#include "fireflyhaven/store/recordstore.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>

namespace fireflyhaven::entry {

// What a host's reports are made of, and where those of others go.
class IReportPart {
public:
    virtual ~IReportPart() = default;
    // `full` asks for all that holds, not only for what changed.
    virtual void fillReport(fleet::HostReport& report, bool full, TimePoint now) = 0;
    virtual void onReport(const fleet::HostReport& before, const fleet::HostReport& report, bool newLife, TimePoint now)
        = 0;
    virtual void onHostSilent(const HostId& host) = 0;
};

// Keeps the hosts in touch: a datagram to each other host several times a second, and a record of this host's address
// in the store, by which a new host finds the others.
class FleetLink {
public:
    FleetLink(boost::asio::io_context& loop, const IClock& clock, const EntrySettings& settings,
        store::IRecordStore& store, IReportPart& part);
    FleetLink(const FleetLink&) = delete;
    FleetLink& operator=(const FleetLink&) = delete;
    ~FleetLink();

    Result<void> open();
    // Sends a report now, for news that should not wait.
    void reportNow();
    const fleet::HostTable& hosts() const { return m_hosts; }
    std::uint64_t bytesSent() const { return m_bytesSent; }

private:
    void receive();
    void onDatagram(std::size_t n);
    void tick();
    void sendReports(bool full);
    void registerHost();
    void readHosts(const std::string& after);
    void onHostRecord(const store::KeyedRecord& record);
    void later(boost::asio::steady_timer& timer, Duration delay, std::function<void()> action);
    fleet::HostReport report(bool full);
    void noteSilence(TimePoint now);

    const IClock& m_clock;
    const EntrySettings& m_settings;
    store::IRecordStore& m_store;
    IReportPart& m_part;
    fleet::HostTable m_hosts;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_storeTimer;
    std::array<char, 4096> m_buffer {};
    boost::asio::ip::udp::endpoint m_sender;
    const std::uint64_t m_life;
    std::uint32_t m_sequence = 0;
    std::set<HostId> m_liveHosts;
    std::uint64_t m_bytesSent = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
