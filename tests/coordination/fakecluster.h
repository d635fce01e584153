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
// Target: a data centre or upstream taken out gets no new work after this time with the log up.
constexpr Duration OUT_OF_SERVICE_BOUND { 3000 };
// The same for a host that can't read the log: until a majority has folded the change and the host's lease has run out.
constexpr Duration CUT_OFF_BOUND = OUT_OF_SERVICE_BOUND + LEASE;

// The platform's log: records in order, and who can reach it.
struct FakeLog {
    // As they come out of the codec, decoded once for all hosts.
    std::vector<cluster::Record> records;
    bool down = false;

    void append(const cluster::Record& record)
    {
        records.push_back(*cluster::decodeRecord(cluster::encodeRecord(record)));
    }
};

// An upstream that falls over where it has more in flight than it bears while cold.
struct FakeUpstream {
    int coldLimit = 2;
    std::multimap<TimePoint, HostId> running;
    std::deque<std::pair<TimePoint, int>> history;
    std::uint64_t sent = 0;
    std::uint64_t overloads = 0;
};

// One host: the real state machines, driven by the fake cluster.
struct FakeHost {
    HostId id;
    DataCentreId dataCentre;
    bool alive = true;
    bool logCut = false;
    // Can't fetch records from its peers either, although heartbeats pass.
    bool fetchCut = false;
    TimePoint pausedUntil {};
    cluster::ClusterFold fold;
    membership::MembershipTracker tracker;
    ownership::OwnerTable owners;
    cluster::GroupWriter writer;
    bool caughtUp = false;
    std::optional<cluster::Ticket> proposal;
    std::map<UpstreamId, std::pair<Offset, dispatch::ConcurrencyRamp>> ramps;
    // Claims that this host has submitted, by ticket.
    std::map<cluster::Ticket, idempotency::CallKey> claims;
};

// A broken promise, with what was seen.
struct Violation {
    std::string promise;
    std::string seen;
};

struct FakeClusterOptions {
    std::uint64_t seed = 1;
    int dataCentres = 3;
    int hostsPerDataCentre = 3;
    int upstreamsPerDataCentre = 2;
    // Every host sends by itself whenever it thinks that there is room: the way that the owners replace.
    bool naiveSending = false;
};

// Hosts with fakes for log, network and upstreams, on a virtual clock. Checks the promises after each step.
class FakeCluster {
public:
    explicit FakeCluster(FakeClusterOptions options);

    void step();
    void run(Duration time);

    FakeHost& host(std::size_t n) { return m_hosts.at(n); }
    std::size_t size() const { return m_hosts.size(); }
    FakeLog& log() { return m_log; }
    TimePoint now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }

    void pause(std::size_t n, Duration time) { m_hosts[n].pausedUntil = m_now + time; }
    void kill(std::size_t n) { m_hosts[n].alive = false; }
    // Starts the host again as a new process that remembers nothing.
    void restart(std::size_t n);
    void cut(const HostId& from, const HostId& to) { m_cuts.insert({ from, to }); }
    void heal();
    // An operator's change of one field through the host; settled in the log like any other.
    void change(
        std::size_t viaHost, config::Collection collection, const std::string& key, const nlohmann::json& patch);
    // Submits the same call that may run once through the host.
    void claim(std::size_t viaHost, const idempotency::CallKey& call);
    void loseNextAnswers(int n) { m_lostAnswers = n; }
    void leave(std::size_t n);

    bool mayAct(const FakeHost& host) const;
    bool hasRight(const FakeHost& host, const UpstreamId& upstream) const;
    // Whether every upstream in service has an owner with the right to send.
    bool isWhole() const;
    const std::map<UpstreamId, FakeUpstream>& upstreams() const { return m_upstreams; }
    const std::map<idempotency::CallKey, int>& dispatched() const { return m_dispatched; }
    const std::vector<Violation>& violations() const { return m_violations; }
    std::uint64_t messages() const { return m_messageCount; }
    void printTrace() const;
    void trace(std::string line);

private:
    struct Message {
        HostId to;
        membership::Heartbeat heartbeat;
    };

    FakeHost makeHost(const HostId& id, const DataCentreId& dataCentre);
    bool isRunning(const FakeHost& host) const { return host.alive && m_now >= host.pausedUntil; }
    bool isCut(const HostId& from, const HostId& to) const { return m_cuts.count({ from, to }) > 0; }
    void readLog(FakeHost& host);
    void fold(FakeHost& host, std::size_t until);
    void applyVerdict(FakeHost& host, const cluster::TicketOutcome& verdict);
    void deliver(FakeHost& host);
    void tick(FakeHost& host);
    void append(FakeHost& host);
    void work(FakeHost& host);
    void send(FakeHost& host, const UpstreamId& id);
    void finishRequests();
    void check();
    void violate(const std::string& promise, const std::string& seen);
    FakeHost* find(const HostId& id);
    void noteServiceChange(const config::ChangeSet& changes);

    FakeClusterOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now { Duration(1'000'000) };
    FakeLog m_log;
    std::deque<FakeHost> m_hosts;
    std::map<UpstreamId, FakeUpstream> m_upstreams;
    std::multimap<TimePoint, Message> m_network;
    std::set<std::pair<HostId, HostId>> m_cuts;
    std::map<idempotency::CallKey, int> m_dispatched;
    // When the log took each data centre out of service.
    std::map<DataCentreId, TimePoint> m_outSince;
    config::ConfigFold m_operatorView;
    std::vector<Violation> m_violations;
    std::deque<std::string> m_trace;
    std::uint64_t m_lastWriter = 0;
    std::uint64_t m_messageCount = 0;
    int m_lostAnswers = 0;
};

}
