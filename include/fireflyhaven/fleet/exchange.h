#pragma once

#include "fireflyhaven/fleet/hosttable.h"
#include "fireflyhaven/fleet/reportaggregate.h"

#include <functional>
#include <set>

namespace fireflyhaven::fleet {

// What a host's reports are made of, and where those of others go.
class IReportPart {
public:
    virtual ~IReportPart() = default;
    // `full` asks for all that holds, not only for what changed.
    virtual void fillReport(HostReport& report, bool full, TimePoint now) = 0;
    virtual void onReport(const HostReport& before, const HostReport& report, bool newLife, TimePoint now) = 0;
    virtual void onHostSilent(const HostId& host) = 0;
};

struct ExchangeOptions {
    HostId self;
    DataCentreId dataCentre;
    http::Endpoint frontend;
    // Where this host receives reports.
    http::Endpoint peerAddress;
    // Thousandths of a core.
    std::uint16_t capacity = 0;
    // Names this run of the process; greater than that of any earlier run.
    std::uint64_t life = 0;
    // Peer addresses of hosts that may know the others.
    std::vector<http::Endpoint> seeds;
    // All hosts report to all others, however many they are: the baseline for measurements.
    bool alwaysFlat = false;
    // Up to this many other hosts each reports to each.
    std::size_t mostFlatHosts = 24;
    // Aggregators of each data centre that hear all of its hosts. The first by rank tells, the others take over.
    std::size_t aggregators = 2;
    // Hosts of a data centre that are named to the other ones.
    std::size_t namedHosts = 8;
    // Each so many reports one tells all that holds, for hosts that missed an earlier one.
    std::uint32_t reportsPerFullOne = 10;
    // A host without requests reports in each so many intervals.
    std::uint32_t idleIntervals = 3;
    // A host that heard no digest for this long takes its aggregators for dead, and asks the seeds,
    Duration aggregatorSilence { 1500 };
    // and the second aggregator the first one after this time.
    Duration firstAggregatorSilence { 800 };
};

// One datagram to another host.
struct Datagram {
    http::Endpoint to;
    std::string bytes;
};

// Keeps the hosts in touch. A few hosts report to each other; many report to two aggregators of their data centre,
// which add the reports up, exchange the sums with the other data centres and send them to their hosts, so that the
// work of a host does not grow with their number. Anyone may be an aggregator and several may act at once: sums replace
// earlier sums and are never added to them. Does no I/O.
class Exchange {
public:
    Exchange(ExchangeOptions options, IReportPart& part);

    // Called at each interval; returns what is to be sent.
    std::vector<Datagram> tick(TimePoint now);
    // A report out of turn, for news that should not wait.
    std::vector<Datagram> reportNow(TimePoint now);
    // Returns what is to be sent at once. `unreadable` is set where the datagram is malformed.
    std::vector<Datagram> onDatagram(
        const std::string& bytes, const http::Endpoint& from, TimePoint now, bool& unreadable);
    // A host's record in the store.
    void onAddress(const HostId& host, const http::Endpoint& peerAddress, TimePoint now);

    const HostTable& hosts() const { return m_hosts; }
    // Hosts that may be sending to upstreams, this one included.
    int sharers(TimePoint now) const;
    bool isAggregator() const;
    // Whether any other host was heard lately.
    bool isInTouch(TimePoint now) const;

private:
    // The newest digest of a sender.
    struct Sender {
        std::uint64_t life = 0;
        std::uint32_t sequence = 0;
        TimePoint at {};
    };
    // Sums that come from an aggregator, taken as the report of one host.
    struct Summed {
        HostId from;
        HostReport report;
        TimePoint at {};
    };

    void onHostReport(const HostReport& report, const http::Endpoint& from, TimePoint now);
    void onDigest(std::vector<Datagram>& out, const FleetDigest& digest, TimePoint now);
    bool isNew(const FleetDigest& digest, TimePoint now);
    void onSums(const HostId& source, const FleetDigest& digest, TimePoint now);
    void drop(const HostId& source);
    void dropIf(const std::function<bool(const HostId&)>& condition);
    bool isHostOf(const HostId& source, const DataCentreId& dataCentre) const;
    void dropSilent(TimePoint now);
    void chooseLayout(TimePoint now);
    void suspectAggregators(TimePoint now);
    HostReport report(bool full, TimePoint now);
    http::Endpoint addressOf(const HostId& host) const;
    std::vector<Datagram> sendFlat(bool full, TimePoint now);
    std::vector<Datagram> sendLayered(bool full, TimePoint now);
    void tellDataCentres(std::vector<Datagram>& out, TimePoint now);
    void tellHosts(std::vector<Datagram>& out, TimePoint now);
    void tellHost(std::vector<Datagram>& out, const KnownHost& host, bool withRosters, TimePoint now);
    void askSeeds(std::vector<Datagram>& out, const std::string& report, TimePoint now);
    bool needsSeeds(TimePoint now) const;
    FleetDigest digest(DigestScope scope);
    void addRosters(FleetDigest& digest, const DataCentreId& whole, bool replaceEarlier, TimePoint now) const;
    Roster rosterOf(const DataCentreId& dataCentre, std::size_t most, TimePoint now) const;
    void keepNewSessions(FleetDigest& digest) const;
    void introduceRivals(std::vector<Datagram>& out, const FleetDigest& digest, TimePoint now);
    void tellRosters(std::vector<Datagram>& out, const HostId& host, const DataCentreId& dataCentre,
        const http::Endpoint& address, TimePoint now);

    const ExchangeOptions m_options;
    IReportPart& m_part;
    HostTable m_hosts;
    // Reports of the hosts of this data centre, and those beside the sums of the other ones.
    ReportAggregate m_local;
    ReportAggregate m_all;
    std::uint32_t m_sequence = 0;
    std::uint32_t m_digestSequence = 0;
    std::uint32_t m_ticks = 0;
    // Sources whose reports were passed on, and have not fallen silent.
    std::set<HostId> m_sources;
    std::map<HostId, Sender> m_senders;
    std::map<HostId, Summed> m_summed;
    // Number of hosts in other data centres, as their aggregators told.
    std::map<DataCentreId, std::uint16_t> m_hostsElsewhere;
    std::map<HostId, TimePoint> m_welcomed;
    // As of the last tick.
    std::vector<HostId> m_aggregators;
    std::vector<HostId> m_lastRoster;
    std::uint32_t m_rosterChangedAt = 0;
    TimePoint m_digestAt {};
    // Since when this host waits for digests.
    TimePoint m_waitingSince {};
    TimePoint m_seedsAskedAt {};
};

}
