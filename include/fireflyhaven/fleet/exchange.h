#pragma once

#include "fireflyhaven/fleet/hosttable.h"
#include "fireflyhaven/fleet/reportaggregate.h"

#include <functional>
#include <set>

namespace fireflyhaven::fleet {

// Supplies the contents of this host's reports and receives the reports of other hosts and aggregates.
class IReportDelegate {
public:
    virtual ~IReportDelegate() = default;
    // `full` requests the whole state instead of the changes since the last report.
    virtual void fillReport(HostReport& report, bool full, TimePoint now) = 0;
    // `before` is the previous report of the same source, empty if there was none or the host restarted.
    // `newIncarnation` is set if the source is new, restarted, returned after a silence, or is an aggregate of another
    // aggregator than before.
    virtual void onReport(const HostReport& before, const HostReport& report, bool newIncarnation, TimePoint now) = 0;
    // The reports of this host, or the aggregate of this id, no longer count.
    virtual void onHostSilent(const HostId& host) = 0;
};

struct ExchangeOptions {
    HostId self;
    DataCentreId dataCentre;
    http::Endpoint frontend;
    // Address on which this host receives datagrams of other hosts.
    http::Endpoint peerAddress;
    // Thousandths of a core.
    std::uint16_t capacity = 0;
    // Identifies this run of the process; greater than the value of any earlier run.
    std::uint64_t incarnation = 0;
    // Peer addresses of hosts that are contacted to discover the other hosts.
    std::vector<http::Endpoint> seeds;
    // All hosts report to all others regardless of their number; the baseline for benchmarks.
    bool alwaysFlat = false;
    // Up to this many live peers, all hosts report to each other directly. A layered fleet returns to direct reports at
    // half of this number.
    std::size_t maxFlatPeers = 24;
    // Aggregators of each data centre. All of them receive the reports of its hosts; the primary (the first by rank)
    // sends the digests, the others are standbys for failover.
    std::size_t aggregatorsPerDataCentre = 2;
    // Maximum number of hosts in the roster of a data centre other than the receiver's.
    std::size_t partialRosterSize = 8;
    // One report out of this many is a full update, for hosts that missed an earlier delta.
    std::uint32_t reportsPerFullReport = 10;
    // In the layered topology, a host without changed upstream counters reports once in this many ticks.
    std::uint32_t idleReportIntervalTicks = 3;
    // A host that receives no digest for this long suspects its aggregators and contacts the seeds.
    Duration aggregatorTimeout { 1500 };
    // A standby aggregator that receives no report of the primary for this long suspects it.
    Duration primaryAggregatorTimeout { 800 };
};

// An outgoing datagram.
struct Datagram {
    http::Endpoint to;
    std::string bytes;
};

// Exchanges load and liveness reports between the hosts. In the flat topology, used for few hosts, all hosts report to
// each other. In the layered topology hosts report to the aggregators of their data centre, which add up the reports,
// exchange the sums with the other data centres and send them to their hosts, so that the traffic of a host does not
// grow with the size of the fleet. Any host may become an aggregator, and several may be active at once: newer sums
// replace earlier ones and are never added to them. Does no I/O; the caller sends the returned datagrams.
class Exchange {
public:
    Exchange(ExchangeOptions options, IReportDelegate& delegate);

    // Runs one report interval; returns the datagrams to send.
    std::vector<Datagram> tick(TimePoint now);
    // Returns a full report ahead of the next tick, for changes that should not wait for it.
    std::vector<Datagram> reportNow(TimePoint now);
    // Returns the replies to send. Sets `unreadable` if the datagram is malformed and leaves it unchanged otherwise.
    std::vector<Datagram> onDatagram(
        const std::string& bytes, const http::Endpoint& from, TimePoint now, bool& unreadable);
    // Takes a host's address from its record in the store.
    void onAddress(const HostId& host, const http::Endpoint& peerAddress, TimePoint now);

    const HostTable& hosts() const { return m_hosts; }
    // Number of hosts that may be sending to upstreams and share their limits, this one included.
    int sharingHostCount(TimePoint now) const;
    bool isAggregator() const;
    bool isPrimaryAggregator() const;
    // Aggregators of this data centre in order of rank; empty in the flat topology.
    const std::vector<HostId>& aggregators() const { return m_aggregators; }
    std::size_t aggregatorsPerDataCentre() const { return m_options.aggregatorsPerDataCentre; }
    bool hasLivePeers(TimePoint now) const;

private:
    // Incarnation, sequence number and time of receipt of the newest digest from a host.
    struct LastDigest {
        std::uint64_t incarnation = 0;
        std::uint32_t sequence = 0;
        TimePoint receivedAt {};
    };
    // Sums received from an aggregator, stored as the report of a single source.
    struct ReceivedAggregate {
        HostId from;
        HostReport report;
        TimePoint receivedAt {};
    };

    void onHostReport(const HostReport& report, const http::Endpoint& from, TimePoint now);
    void onDigest(std::vector<Datagram>& out, const FleetDigest& digest, TimePoint now);
    bool acceptDigest(const FleetDigest& digest, TimePoint now);
    void onAggregate(const HostId& source, const FleetDigest& digest, TimePoint now);
    void clearSource(const HostId& source);
    void removeSourcesIf(const std::function<bool(const HostId&)>& condition);
    bool isHostOf(const HostId& source, const DataCentreId& dataCentre) const;
    void removeSilentSources(TimePoint now);
    void chooseTopology(TimePoint now);
    void suspectAggregators(TimePoint now);
    HostReport makeReport(bool full, TimePoint now);
    http::Endpoint addressOf(const HostId& host) const;
    std::vector<Datagram> sendFlat(bool full, TimePoint now);
    std::vector<Datagram> sendLayered(bool full, TimePoint now);
    void sendToDataCentres(std::vector<Datagram>& out, TimePoint now);
    void sendToHosts(std::vector<Datagram>& out, TimePoint now);
    void sendToHost(std::vector<Datagram>& out, const KnownHost& host, bool withRosters, TimePoint now);
    void contactSeeds(std::vector<Datagram>& out, const std::string& report, TimePoint now);
    bool needsSeeds(TimePoint now) const;
    FleetDigest makeDigest(DigestScope scope);
    void addRosters(FleetDigest& digest, const DataCentreId& fullRosterOf, bool replaceEarlier, TimePoint now) const;
    Roster rosterOf(const DataCentreId& dataCentre, std::size_t maxEntries, TimePoint now) const;
    void keepRecentSessions(FleetDigest& digest) const;
    void introduceCompetingAggregators(std::vector<Datagram>& out, const FleetDigest& digest, TimePoint now);
    void sendRosters(std::vector<Datagram>& out, const HostId& host, const DataCentreId& dataCentre,
        const http::Endpoint& address, TimePoint now);

    const ExchangeOptions m_options;
    IReportDelegate& m_delegate;
    HostTable m_hosts;
    // Reports of the hosts of this data centre.
    ReportAggregate m_localAggregate;
    // Reports of these hosts and the aggregates of the other data centres.
    ReportAggregate m_fleetAggregate;
    std::uint32_t m_sequence = 0;
    std::uint32_t m_digestSequence = 0;
    std::uint32_t m_ticks = 0;
    // Sources with at least one forwarded report that have not timed out or been replaced by another source.
    std::set<HostId> m_activeSources;
    std::map<HostId, LastDigest> m_lastDigests;
    std::map<HostId, ReceivedAggregate> m_receivedAggregates;
    // Number of hosts in each other data centre according to the received rosters.
    std::map<DataCentreId, std::uint16_t> m_remoteHostCounts;
    // Time of the last roster reply to each host.
    std::map<HostId, TimePoint> m_rostersSentAt;
    // Aggregators of this data centre as of the last tick, in order of rank; empty in the flat topology.
    std::vector<HostId> m_aggregators;
    // Lasting work times of upstreams in this host's newest report; digests pass them on.
    ShortList<UpstreamSpeed> m_ownSpeeds;
    // What rosters tell, as of the last digests: the ranked hosts of this data centre, and the first host of each data
    // centre that reaches the store. The tick is that of the last change.
    std::vector<HostId> m_lastRanking;
    std::vector<HostId> m_lastStoreReaders;
    std::uint32_t m_rosterChangedTick = 0;
    // Whether this host's last report said that it reaches the store.
    bool m_reportedStoreAccess = false;
    TimePoint m_digestReceivedAt {};
    // Start of the current wait for a digest; set anew when the aggregators are suspected.
    TimePoint m_awaitingDigestSince {};
    TimePoint m_seedsContactedAt {};
};

}
