#pragma once

#include "fireflyhaven/fleet/exchange.h"
#include "fireflyhaven/store/topicreader.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>

namespace fireflyhaven::store::tests {

struct PartitionedFleetOptions {
    std::size_t dataCentres = 4;
    std::size_t hostsInEach = 9;
    std::uint64_t seed = 1;
    PropagationBounds bounds;
    // Size of the operator's record, and of the same record as hosts pass it on to each other.
    std::size_t recordBytes = 0;
    std::size_t passedOnBytes = 0;
    // Small hosts, those of every third index, handle events this often only, and have the slower link.
    Duration slowHostPeriod { 40 };
    double slowLinkBytesPerMs = 1250;
    double linkBytesPerMs = 3125;
};

// Hosts in several data centres that follow the operator's records and the registrations of upstreams of one store, on
// a virtual clock. Hosts learn of each other by the datagrams of the exchange. Data centres can be cut off from each
// other and from the store, single hosts from the store; hosts can be frozen or started again.
class PartitionedFleet {
public:
    // Which host lagged behind a change, from when on it was due, and for how long.
    struct Lag {
        std::size_t host = 0;
        Topic topic {};
        TimePoint since {};
        Duration duration {};
    };

    explicit PartitionedFleet(PartitionedFleetOptions options);
    PartitionedFleet(const PartitionedFleet&) = delete;
    PartitionedFleet& operator=(const PartitionedFleet&) = delete;
    ~PartitionedFleet();

    void runUntil(TimePoint end);
    void run(Duration time) { runUntil(m_now + time); }
    // Writes a new version of each topic, which the store acknowledges at once.
    void change();
    // Cuts the data centre off from the store and from all others.
    void cutDataCentre(std::size_t dataCentre, Duration period);
    // Cuts the host off from the store alone. Its calls are refused at once or have no answer.
    void cutFromStore(std::size_t host, bool refused, Duration period);
    // Nobody reaches the store.
    void stopStore(Duration period);
    // Reads that wait hear nothing for the period; then the store drops its history.
    void dropHistory(Duration period);
    void freeze(std::size_t host, Duration period);
    void restart(std::size_t host);

    // Host that reads the store for the others; no value if none does now.
    std::optional<std::size_t> reader() const;

    TimePoint now() const { return m_now; }
    std::size_t size() const { return m_hosts.size(); }
    std::size_t dataCentreOf(std::size_t host) const { return host % m_options.dataCentres; }
    // The longest lag of a host behind what it could have known, counted from the later one of the change and the end
    // of the host's last trouble.
    const Lag& longestLag() const { return m_longestLag; }
    std::uint64_t storeCalls() const { return m_storeCalls; }
    // Most calls to the store within one second.
    std::uint64_t maxStoreCallsPerSecond() const;

    std::mt19937_64 random;

private:
    struct PendingRead {
        WaitingRead read;
        std::function<void(std::optional<RecordBatch>)> answer;
    };
    // An answer on its way. Answers that share a link share its bandwidth.
    struct Transfer {
        // No value for the store.
        std::optional<std::size_t> from;
        std::size_t to = 0;
        Topic topic {};
        // The read that it answers.
        std::uint64_t read = 0;
        std::uint64_t incarnation = 0;
        double bytesLeft = 0;
        std::function<void()> done;
    };
    // One topic as a host follows it.
    struct Feed {
        std::unique_ptr<TopicReader> reader;
        std::unique_ptr<RelayLog> log;
        std::deque<PendingRead> pending;
        std::optional<TopicRead> read;
        TimePoint deadline {};
        std::uint64_t reads = 0;
        int version = 0;
    };
    struct Host;
    class Reports;

    HostId idOf(std::size_t host) const;
    http::Endpoint addressOf(std::size_t host) const;
    bool isFrozen(const Host& host) const;
    bool reaches(std::size_t from, std::size_t to) const;
    bool reachesStore(std::size_t host) const;
    void start(std::size_t host);
    void after(Duration delay, std::function<void()> action) { m_events.emplace(m_now + delay, std::move(action)); }
    void trouble(std::size_t host, TimePoint until);
    void send(std::size_t from, const std::vector<fleet::Datagram>& datagrams);
    void handleEvents(std::size_t host);
    void poll(std::size_t host, Topic topic);
    ReadContext contextOf(const Host& host) const;
    // Runs the action when the host handles events, unless the read was given up or the host restarted.
    std::function<void(std::function<void(Feed&)>)> deliveryTo(std::size_t host, Topic topic);
    void readFromStore(std::size_t host, Topic topic, const TopicRead& read);
    void answerFromStore(std::size_t host, Topic topic, const TopicRead& read, TimePoint until,
        const std::function<void(std::function<void(Feed&)>)>& deliver);
    void readFromHost(std::size_t host, Topic topic, const TopicRead& read);
    void answerPending(std::size_t host, Topic topic);
    template <typename Answer> bool isRejected(Host& host, Feed& feed, const Answer& answer);
    void onPage(std::size_t host, Feed& feed, const SnapshotPage& page);
    void onBatch(std::size_t host, Feed& feed, const RecordBatch& batch);
    void onFailed(std::size_t host, Feed& feed, StoreError error);
    void apply(Feed& feed, FeedUpdate update);
    void check(std::size_t host);
    std::size_t bytesOf(Topic topic, std::size_t records, bool passedOn) const;
    // Begins to transfer the answer to the read that is under way.
    void transfer(
        std::optional<std::size_t> from, std::size_t to, Topic topic, std::size_t bytes, std::function<void()> done);
    void moveTransfers();
    void onProgress(const Transfer& it);
    bool isWanted(const Transfer& it) const;
    double linkOf(std::size_t host) const;

    struct Topics {
        std::vector<int> log;
        std::uint64_t firstOffset = 0;
    };

    const PartitionedFleetOptions m_options;
    TimePoint m_now;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::list<Transfer> m_transfers;
    std::vector<TimePoint> m_cutUntil;
    std::map<Topic, Topics> m_store;
    TimePoint m_storeAwayUntil {};
    TimePoint m_watchesSilentUntil {};
    int m_version = 0;
    std::vector<TimePoint> m_ackedAt;
    std::uint64_t m_storeCalls = 0;
    std::map<std::int64_t, std::uint64_t> m_storeCallsPerSecond;
    Lag m_longestLag;
};

}
