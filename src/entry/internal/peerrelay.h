#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/http/eventclient.h"
#include "fireflyhaven/http/eventserver.h"
#include "fireflyhaven/store/recordstore.h"
#include "fireflyhaven/store/topicreader.h"

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

    Result<void> listen(const http::Endpoint& address);
    // This host can't read the topic any more: waiting reads fail at once, so that they are made elsewhere.
    void onSourceLost(store::Topic topic);
    // The feed of the topic has made this update, which may be empty.
    void onUpdate(store::Topic topic, const store::FeedUpdate& update, const std::vector<bool>& significant);

private:
    struct PendingRead {
        std::shared_ptr<http::Exchange> exchange;
        store::Topic topic = store::Topic::Operator;
        store::WaitingRead read;
    };

    void onRequest(std::shared_ptr<http::Exchange> exchange);
    void answerRead(const PendingRead& pending);
    void answerNewest(http::Exchange& exchange, store::Topic topic);
    bool isAnswerDue(const PendingRead& pending) const;
    void answerPendingReads();
    Duration age(store::Topic topic) const;
    bool isRestoring(store::Topic topic) const;

    boost::asio::io_context& m_loop;
    const IClock& m_clock;
    const FeedOf m_feedOf;
    std::map<store::Topic, store::RelayLog> m_logs;
    std::list<PendingRead> m_pendingReads;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<http::EventServer> m_server;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

// Reads records of the store through another host's relay server.
class RelayClient {
public:
    RelayClient(boost::asio::io_context& loop, const IClock& clock);
    ~RelayClient();

    void read(const http::Endpoint& host, store::Topic topic, const store::FeedRequest& request, Duration timeout,
        store::OnProgress progress, store::OnOutcome<store::RecordBatch> done);
    void readNewest(const http::Endpoint& host, store::Topic topic, store::OnProgress progress,
        store::OnOutcome<store::SnapshotPage> done);

private:
    class Call;

    void call(const http::Endpoint& host, std::string target, Duration timeout, store::OnProgress progress,
        std::function<void(store::Outcome<std::string>)> done);

    boost::asio::io_context& m_loop;
    std::unique_ptr<http::EventClient> m_client;
    std::list<std::shared_ptr<Call>> m_openCalls;
};

}
