#pragma once

#include "fireflyhaven/catalog/catalog.h"
#include "fireflyhaven/entry/types/settings.h"
#include "fireflyhaven/entry/wirecodec.h"
#include "fireflyhaven/store/keyedfeed.h"
#include "fireflyhaven/store/readsourceselector.h"
#include "fireflyhaven/store/readtiming.h"
#include "fireflyhaven/store/recordstore.h"
#include "peerrelay.h"

#include <set>

namespace fireflyhaven::entry {

// Told of what the store's records change.
class ICatalogListener {
public:
    virtual ~ICatalogListener() = default;
    virtual void onConfiguration() = 0;
    virtual void onRolloutOrder(const catalog::RolloutOrder& order) = 0;
    virtual void onRolloutWithdrawn(const ServiceName& service) = 0;
    virtual void onRolloutStatus(const catalog::RolloutStatus& status) = 0;
    // A report of an upstream changed something; `newLife` where it is new or has started anew.
    virtual void onUpstreamChanged(const catalog::Upstream& upstream, bool newLife) = 0;
    virtual void onUpstreamGone(const UpstreamId& id) = 0;
};

struct SyncParts {
    boost::asio::io_context& loop;
    const IClock& clock;
    const IWireCodec& codec;
    store::IRecordStore& store;
    catalog::Catalog& catalog;
    const EntrySettings& settings;
    // Hosts that may be read from; may be set later.
    std::function<const fleet::HostTable*()> hosts;
    ICatalogListener& listener;
};

// Keeps the catalog up to date: reads the store's records, from the store or from the host that reads it for all, and
// lets other hosts read them here.
class CatalogSync {
public:
    explicit CatalogSync(SyncParts parts);
    CatalogSync(const CatalogSync&) = delete;
    CatalogSync& operator=(const CatalogSync&) = delete;
    ~CatalogSync();

    Result<void> listen(const http::Endpoint& relayAddress);
    void start();
    // Drops what lapsed, with time.
    void tick(TimePoint now);

    // As of when the operator's records are known; no value before the first read.
    std::optional<TimePoint> operatorConfirmedAt() const { return m_operator.state.confirmedAt(); }
    bool readsFail() const { return m_operator.state.failingSince().has_value(); }
    bool reachesStore() const { return m_choice.reachesStore(); }

private:
    struct Feed {
        store::Topic topic;
        store::KeyedFeed state;
        boost::asio::steady_timer timer;
        std::set<std::string> keys;
        // Since when reads failed before the last one that succeeded.
        std::optional<TimePoint> failedSince;
    };

    void drive(Feed& feed);
    void driveAfter(Feed& feed, Duration delay);
    bool followsOverTwoSteps() const;
    store::ReadTiming timing() const;
    void request(Feed& feed, const store::FeedRequest& request, const std::optional<HostId>& source);
    void onFailed(Feed& feed, const std::optional<HostId>& source, store::StoreError error, const std::string& reason);
    void onSucceeded(Feed& feed, bool fromStore);
    void take(Feed& feed, store::FeedUpdate update);
    // Whether the record said anything new.
    bool takeRecord(Feed& feed, const store::KeyedRecord& record);
    void takeOperatorRecord(const store::KeyedRecord& record);
    bool takeUpstreamRecord(const store::KeyedRecord& record);
    bool wasOutage(const Feed& feed) const;
    std::optional<TimePoint> confirmedAt(store::Topic topic) const;

    SyncParts m_parts;
    store::ReadSourceSelector m_choice;
    RelayServer m_relayServer;
    RelayClient m_relayClient;
    Feed m_operator;
    Feed m_upstreams;
    Feed m_statuses;
    bool m_storeLost = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
