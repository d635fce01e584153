#pragma once

#include "fireflyhaven/cluster/groupwriter.h"
#include "fireflyhaven/dispatch/concurrencyramp.h"
#include "fireflyhaven/membership/membershiptracker.h"
#include "fireflyhaven/ownership/ownertable.h"

#include <random>

namespace fireflyhaven::tests {

constexpr Duration STEP { 50 };
constexpr Duration LEASE { 4000 };
constexpr Duration REPORT_LAG { 2000 };
// With the log up, a data centre or upstream gets no new requests later than this after it was taken out of service.
constexpr Duration OUT_OF_SERVICE_BOUND { 3000 };
// With the log up, a host that cannot read it sends no new requests to a data centre later than this after the data
// centre was taken out of service: a majority has to fold the change, then the host's lease has to expire.
constexpr Duration OUT_OF_SERVICE_BOUND_WITHOUT_LOG = OUT_OF_SERVICE_BOUND + LEASE;

// The platform's log: ordered records, and an outage that affects every host.
struct FakeLog {
    // Each record has passed through the codec once; all hosts share the decoded copy.
    std::vector<cluster::Record> records;
    bool down = false;

    void append(const cluster::Record& record)
    {
        records.push_back(*cluster::decodeRecord(cluster::encodeRecord(record)));
    }
};

// An upstream that stays in cold start. Each request that takes the in-flight requests above the cold limit counts as
// an overload.
struct FakeUpstream {
    int coldLimit = 2;
    // End time of each request, and the host that sent it.
    std::multimap<TimePoint, HostId> inFlightRequests;
    // Number of in-flight requests over time; load reports lag behind it by REPORT_LAG.
    std::deque<std::pair<TimePoint, int>> inFlightHistory;
    std::uint64_t sent = 0;
    std::uint64_t overloads = 0;
};

// One host: the production state machines, driven by FakeCluster.
struct FakeHost {
    HostId id;
    DataCentreId dataCentre;
    bool alive = true;
    bool logUnreachable = false;
    // The host cannot fetch records from its peers, although heartbeats pass.
    bool recordFetchBlocked = false;
    TimePoint pausedUntil {};
    cluster::ClusterFold fold;
    membership::MembershipTracker tracker;
    ownership::OwnerTable owners;
    cluster::GroupWriter writer;
    bool caughtUp = false;
    // Membership entry that this host has submitted and not yet folded; at most one at a time.
    std::optional<cluster::Ticket> pendingProposal;
    // Per upstream: the offset since which this host owns it, and the ramp that limits the host's requests to it.
    std::map<UpstreamId, std::pair<Offset, dispatch::ConcurrencyRamp>> ramps;
    // Calls that this host has claimed, by ticket.
    std::map<cluster::Ticket, idempotency::CallKey> claims;
};

// A violated invariant, and the upstream, data centre, hosts or call concerned.
struct Violation {
    std::string invariant;
    std::string detail;
};

struct FakeClusterOptions {
    std::uint64_t seed = 1;
    int dataCentres = 3;
    int hostsPerDataCentre = 3;
    int upstreamsPerDataCentre = 2;
    // Each host sends whenever its own ramp allows, without regard to ownership. Serves as the baseline that ownership
    // is compared with; the invariants on ownership and overload are not checked.
    bool uncoordinatedSending = false;
};

// Hosts with an in-memory log, network and upstreams on a virtual clock; a seed determines the run. Violated invariants
// are recorded, not asserted: claims and requests are checked as they occur, ownership after each step.
class FakeCluster {
public:
    explicit FakeCluster(FakeClusterOptions options);

    void step();
    void runFor(Duration time);

    FakeHost& host(std::size_t n) { return m_hosts.at(n); }
    std::size_t size() const { return m_hosts.size(); }
    FakeLog& log() { return m_log; }
    TimePoint now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }

    void pause(std::size_t n, Duration time) { m_hosts[n].pausedUntil = m_now + time; }
    void kill(std::size_t n) { m_hosts[n].alive = false; }
    // Starts the host as a new process with empty state. Also ends its pause, and clears `logUnreachable` and
    // `recordFetchBlocked`.
    void restart(std::size_t n);
    void cutLink(const HostId& from, const HostId& to) { m_cutLinks.insert({ from, to }); }
    // Ends the log outage, all link cuts and all pauses, and clears `logUnreachable` and `recordFetchBlocked` of every
    // host. Killed hosts stay down.
    void heal();
    // Submits a configuration change through the host, as an operator would; `patch` overwrites fields of the item.
    void changeConfig(
        std::size_t viaHost, config::Collection collection, const std::string& key, const nlohmann::json& patch);
    // Submits a claim of a non-repeatable call through the host.
    void submitClaim(std::size_t viaHost, const idempotency::CallKey& call);
    // The log stores the next `n` records, but their writers get no confirmation of the append.
    void dropNextAppendAnswers(int n) { m_appendAnswersToDrop = n; }
    // Appends a leave record for the host and stops it.
    void leave(std::size_t n);

    bool mayAct(const FakeHost& host) const;
    bool maySendTo(const FakeHost& host, const UpstreamId& upstream) const;
    // Whether every upstream has a running host that may send to it.
    bool allUpstreamsOwned() const;
    const std::map<UpstreamId, FakeUpstream>& upstreams() const { return m_upstreams; }
    // Number of accepted claims of each call; an accepted claim stands for one dispatch.
    const std::map<idempotency::CallKey, int>& dispatchCounts() const { return m_dispatchCounts; }
    const std::vector<Violation>& violations() const { return m_violations; }
    // Heartbeats sent so far, including those lost on cut links.
    std::uint64_t messageCount() const { return m_messageCount; }
    void printTrace() const;
    void trace(std::string line);

private:
    struct Message {
        HostId to;
        membership::Heartbeat heartbeat;
    };

    FakeHost makeHost(const HostId& id, const DataCentreId& dataCentre);
    bool isRunning(const FakeHost& host) const { return host.alive && m_now >= host.pausedUntil; }
    bool isLinkCut(const HostId& from, const HostId& to) const { return m_cutLinks.count({ from, to }) > 0; }
    // Reads from the log or, where it is unreachable, from a peer that is ahead.
    void readRecords(FakeHost& host);
    void foldRecords(FakeHost& host, std::size_t until);
    void applyOutcome(FakeHost& host, const cluster::TicketOutcome& ticketOutcome);
    void deliverHeartbeats(FakeHost& host);
    void tickTracker(FakeHost& host);
    void appendPendingRecord(FakeHost& host);
    void sendRequests(FakeHost& host);
    void sendRequest(FakeHost& host, const UpstreamId& id);
    void finishRequests();
    void checkOwners();
    void recordViolation(const std::string& invariant, const std::string& detail);
    FakeHost* find(const HostId& id);
    void recordServiceChange(const config::ChangeSet& changes);

    FakeClusterOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now { Duration(1'000'000) };
    FakeLog m_log;
    std::deque<FakeHost> m_hosts;
    std::map<UpstreamId, FakeUpstream> m_upstreams;
    std::multimap<TimePoint, Message> m_network;
    std::set<std::pair<HostId, HostId>> m_cutLinks;
    std::map<idempotency::CallKey, int> m_dispatchCounts;
    // Data centres out of service by the configuration in the log, and since when.
    std::map<DataCentreId, TimePoint> m_outOfServiceSince;
    // Configuration after all records of the log.
    config::ConfigFold m_loggedConfig;
    std::vector<Violation> m_violations;
    std::deque<std::string> m_trace;
    std::uint64_t m_lastWriter = 0;
    std::uint64_t m_messageCount = 0;
    int m_appendAnswersToDrop = 0;
};

}
