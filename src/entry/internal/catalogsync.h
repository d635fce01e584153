#pragma once

#include "fireflyhaven/catalog/catalog.h"
#include "fireflyhaven/entry/types/settings.h"
#include "fireflyhaven/entry/wirecodec.h"
#include "fireflyhaven/store/keyedfeed.h"
#include "fireflyhaven/store/knownkeys.h"
#include "fireflyhaven/store/readsourceselector.h"
#include "fireflyhaven/store/readtiming.h"
#include "fireflyhaven/store/recordstore.h"
#include "peerrelay.h"

namespace fireflyhaven::entry {

// Receives the changes that follow from the store's records.
class ICatalogListener {
public:
    virtual ~ICatalogListener() = default;
    virtual void onConfiguration() = 0;
    virtual void onRolloutOrder(const catalog::RolloutOrder& order) = 0;
    virtual void onRolloutWithdrawn(const ServiceName& service) = 0;
    virtual void onRolloutStatus(const catalog::RolloutStatus& status) = 0;
    // The store has come back from an older copy, and may have lost what this system wrote.
    virtual void onStoreRestored() = 0;
    // Called if a registration changed an upstream; `newIncarnation` is set for a new or restarted upstream.
    virtual void onUpstreamChanged(const catalog::Upstream& upstream, bool newIncarnation) = 0;
    virtual void onUpstreamGone(const UpstreamId& id) = 0;
};

struct CatalogSyncContext {
    boost::asio::io_context& loop;
    const IClock& clock;
    const IWireCodec& codec;
    store::IRecordStore& store;
    catalog::Catalog& catalog;
    const EntrySettings& settings;
    // Returns the table of the hosts that may serve as sources, or null if there is none yet.
    std::function<const fleet::HostTable*()> hosts;
    ICatalogListener& listener;
};

// Keeps the catalog up to date. Reads the store's records either directly or from another host that has read them, and
// serves them to other hosts.
class CatalogSync {
public:
    explicit CatalogSync(CatalogSyncContext context);
    CatalogSync(const CatalogSync&) = delete;
    CatalogSync& operator=(const CatalogSync&) = delete;
    ~CatalogSync();

    Result<void> listen(const http::Endpoint& relayAddress);
    void start();
    // Removes upstreams whose lapsed registrations were not renewed in time.
    void tick(TimePoint now);

    // Time up to which the operator's records are known to be complete; no value before the first snapshot.
    std::optional<TimePoint> operatorConfirmedAt() const { return m_operatorFeed.state.confirmedAt(); }
    bool operatorReadsFail() const { return m_operatorFeed.state.failingSince().has_value(); }
    bool reachesStore() const { return m_sourceSelector.reachesStore(); }
    // Era of the store that the operator's records were read in; no value where the store does not tell it.
    std::optional<store::Era> storeEra() const { return m_operatorFeed.state.era(); }

private:
    // The source of a read that has succeeded, and the age of its data.
    struct ReadOrigin {
        // No value for the store itself.
        std::optional<HostId> host;
        Duration age {};

        std::string name() const { return host ? host->value() : "store"; }
    };

    struct Feed {
        store::Topic topic;
        store::KeyedFeed state;
        boost::asio::steady_timer timer;
        store::KnownKeys keys;
        // When the reads before the last successful one began to fail; no value if the preceding read succeeded.
        std::optional<TimePoint> failedSince;
        // Where the records that are being applied come from, for the log.
        ReadOrigin origin;
    };

    void advance(Feed& feed);
    void advanceAfter(Feed& feed, Duration delay);
    // Whether records may pass two other hosts on their way from the store to a host, as in the layered exchange.
    bool readsOverTwoHops() const;
    store::ReadTiming readTiming() const;
    void request(Feed& feed, const store::FeedRequest& request, const std::optional<HostId>& source);
    void onReadFailed(
        Feed& feed, const std::optional<HostId>& source, store::StoreError error, const std::string& reason);
    void onReadSucceeded(Feed& feed, ReadOrigin origin);
    void applyUpdate(Feed& feed, store::FeedUpdate update);
    // Prepares the first snapshot of a new era: leaves out the records of the copy that this host has newer, and keeps
    // what the copy lacks.
    void keepNewerThan(Feed& feed, store::FeedUpdate& copy);
    // Whether a record of the copy is newer than what this host knows of its key.
    bool isNewer(const Feed& feed, const store::KeyedRecord& record) const;
    // Returns whether the record may have changed anything.
    bool applyRecord(Feed& feed, const store::KeyedRecord& record);
    void applyOperatorRecord(Feed& feed, const store::KeyedRecord& record);
    void applyConfiguration(Feed& feed, catalog::Configuration configuration);
    bool applyUpstreamRecord(const store::KeyedRecord& record);
    bool isAfterOutage(const Feed& feed) const;
    const store::KeyedFeed* feedOf(store::Topic topic) const;

    CatalogSyncContext m_context;
    store::ReadSourceSelector m_sourceSelector;
    RelayServer m_relayServer;
    RelayClient m_relayClient;
    Feed m_operatorFeed;
    Feed m_upstreamFeed;
    Feed m_statusFeed;
    bool m_storeLost = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
