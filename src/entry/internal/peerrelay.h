#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/http/eventclient.h"
#include "fireflyhaven/http/eventserver.h"
#include "fireflyhaven/store/recordstore.h"
#include "fireflyhaven/store/topicreader.h"
#include "recordpacker.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <map>

namespace fireflyhaven::entry {

// Serves the records that this host has read from the store to other hosts.
class RelayServer {
public:
    // Returns this host's feed of a topic, or null if it reads none.
    using FeedOf = std::function<const store::KeyedFeed*(store::Topic)>;

    RelayServer(boost::asio::io_context& loop, const IClock& clock, FeedOf feedOf);
    RelayServer(const RelayServer&) = delete;
    RelayServer& operator=(const RelayServer&) = delete;
    ~RelayServer() { *m_alive = false; }

    Result<void> listen(const http::Endpoint& address, std::shared_ptr<http::MemoryBudget> memory = nullptr);
    // This host can't read the topic any more: waiting reads fail at once, so that they are made elsewhere.
    void onSourceLost(store::Topic topic);
    // The feed of the topic has made this update, which may be empty.
    void onUpdate(store::Topic topic, const store::FeedUpdate& update, const std::vector<bool>& significant);

private:
    struct PendingRead {
        std::shared_ptr<http::Exchange> exchange;
        store::Topic topic = store::Topic::Operator;
        bool acceptsPacked = false;
        store::WaitingRead read;
    };

    void onRequest(std::shared_ptr<http::Exchange> exchange);
    void answerRead(const PendingRead& pending);
    void answerNewest(http::Exchange& exchange, store::Topic topic, bool acceptsPacked);
    std::vector<PackedRecord> packLargeRecords(std::vector<store::KeyedRecord>& records);
    bool isAnswerDue(const PendingRead& pending) const;
    void answerPendingReads();
    Duration age(store::Topic topic) const;
    store::EraState eraState(store::Topic topic) const;

    boost::asio::io_context& m_loop;
    const IClock& m_clock;
    const FeedOf m_feedOf;
    std::map<store::Topic, store::RelayLog> m_logs;
    RecordPacker m_packer;
    std::list<PendingRead> m_pendingReads;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<http::EventServer> m_server;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

// Identifies a call of a relay client.
using RelayCallId = StrongNumber<struct RelayCallTag>;

// Which snapshots of a host count.
enum class SnapshotKind {
    Any,
    // Not one that is unverified; a host that has no other answers that it has none.
    Verified,
};

// Reads records of the store through another host's relay server. The caller ends the calls that take too long.
class RelayClient {
public:
    RelayClient(boost::asio::io_context& loop, const IClock& clock);
    ~RelayClient();

    RelayCallId read(const http::Endpoint& host, store::Topic topic, const store::FeedRequest& request,
        store::OnProgress progress, store::OnOutcome<store::RecordBatch> done);
    RelayCallId readNewest(const http::Endpoint& host, store::Topic topic, SnapshotKind kind,
        store::OnProgress progress, store::OnOutcome<store::SnapshotPage> done);
    // Ends a call whose answer is not awaited any longer; its outcome is not reported.
    void cancel(RelayCallId call);

private:
    class Call;

    RelayCallId call(const http::Endpoint& host, std::string target, store::OnProgress progress,
        std::function<void(store::Outcome<std::string>)> done);

    std::unique_ptr<http::EventClient> m_client;
    std::map<RelayCallId, std::shared_ptr<Call>> m_openCalls;
    std::uint64_t m_lastCall = 0;
};

}
