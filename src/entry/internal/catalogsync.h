#pragma once

#include "fireflyhaven/catalog/catalog.h"
#include "fireflyhaven/entry/types/settings.h"
#include "fireflyhaven/entry/wirecodec.h"
#include "fireflyhaven/store/knownkeys.h"
#include "fireflyhaven/store/recordstore.h"
#include "fireflyhaven/store/topicreader.h"
#include "eraverifier.h"
#include "peerrelay.h"

namespace fireflyhaven::entry {

// Receives the changes that follow from the store's records.
class ICatalogListener {
public:
    virtual ~ICatalogListener() = default;
    virtual void onConfiguration() = 0;
    // The configuration and the registered upstreams have been read completely for the first time.
    virtual void onCatalogLoaded() = 0;
    virtual void onRolloutOrder(const catalog::RolloutOrder& order) = 0;
    virtual void onRolloutWithdrawn(const ServiceName& service) = 0;
    virtual void onRolloutStatus(const catalog::RolloutStatus& status) = 0;
    // The store has come back from an older copy, and may have lost what this system wrote.
    virtual void onStoreRestored() = 0;
    // Called if a registration changed an upstream; `newIncarnation` is set for a new or restarted upstream.
    virtual void onUpstreamChanged(const catalog::Upstream& upstream, bool newIncarnation) = 0;
    virtual void onUpstreamGone(const UpstreamId& id) = 0;
};

// The bounds within which changes in the store reach every host.
store::PropagationBounds propagationBounds(const ServiceBounds& bounds);

struct CatalogSyncContext {
    boost::asio::io_context& loop;
    const IClock& clock;
    const IWireCodec& codec;
    store::IRecordStore& store;
    catalog::Catalog& catalog;
    const EntrySettings& settings;
    // Of the connections of all listeners.
    std::shared_ptr<http::MemoryBudget> memory;
    // Returns the table of the hosts that may serve as sources, or null if there is none yet.
    std::function<const fleet::HostTable*()> hosts;
    ICatalogListener& listener;
};

// Keeps the catalog up to date. Reads the store's records either directly or from another host that has read them, and
// serves them to other hosts.
class CatalogSync : private IEraDelegate {
public:
    explicit CatalogSync(CatalogSyncContext context);
    CatalogSync(const CatalogSync&) = delete;
    CatalogSync& operator=(const CatalogSync&) = delete;
    ~CatalogSync() override;

    Result<void> listen(const http::Endpoint& relayAddress);
    void start();
    // Removes upstreams whose lapsed registrations were not renewed in time, and verifies the records.
    void tick(TimePoint now);

    // Time up to which the operator's records are known to be complete; no value before the first snapshot.
    std::optional<TimePoint> operatorConfirmedAt() const { return m_operatorFeed.reader.feed().confirmedAt(); }
    // Time at which the operator's records were those that the store had, whether or not it had lost some; no value
    // before the first snapshot.
    std::optional<TimePoint> operatorCurrentAt() const { return m_operatorFeed.reader.feed().currentAt(); }
    // Whether the configuration and the registered upstreams have been read completely, and are confirmed or can't be
    // soon.
    bool isLoaded() const { return m_loaded; }
    bool operatorReadsFail() const { return m_operatorFeed.reader.feed().failingSince().has_value(); }
    bool reachesStore() const { return m_sourceSelector.reachesStore(); }
    // Era of the store that the operator's records were read in; no value where the store does not tell it.
    std::optional<store::Era> storeEra() const { return m_operatorFeed.reader.feed().era(); }

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
        store::TopicReader reader;
        // Until the next read is due.
        boost::asio::steady_timer pollTimer;
        // Until the read under way is given up.
        boost::asio::steady_timer timeoutTimer;
        // Counts the reads, so that the answer to one that was given up is recognised.
        std::uint64_t reads = 0;
        // When the read under way is given up.
        TimePoint deadline {};
        // Whether the read under way was given more time because the event loop was late.
        bool isLateLoopAllowedFor = false;
        // The call of the read under way, if it reads from another host.
        std::optional<RelayCallId> relayCall;
        // Bytes of the answer to the read under way, and when the first of them arrived.
        std::size_t receivedBytes = 0;
        TimePoint firstByteAt {};
        // When the answer that is being applied was complete.
        TimePoint answeredAt {};
        store::KnownKeys keys;
        // When the reads before the last successful one began to fail; no value if the preceding read succeeded.
        std::optional<TimePoint> failedSince;
        // Where the records that are being applied come from, for the log.
        ReadOrigin origin;
        // The records that are being applied are a copy of the store, and this host was not current shortly before.
        bool mayHaveMissedRecords = false;
        // Whether the records were unverified when that was last logged.
        bool isLoggedAsUnverified = false;
    };

    Feed makeFeed(store::Topic topic);
    void advance(Feed& feed);
    store::ReadContext readContext() const;
    void startRead(Feed& feed, const store::TopicRead& read);
    // Wraps a handler of the outcome so that it is called for the read under way only.
    template <typename T, typename Handler>
    store::OnOutcome<T> forRead(Feed& feed, const store::TopicRead& read, Handler onValue);
    // Waits for the answer to the read under way until the feed's deadline.
    void awaitAnswer(Feed& feed, const store::TopicRead& read);
    void onDeadline(Feed& feed, const store::TopicRead& read);
    void onProgress(Feed& feed, const store::TopicRead& read, std::size_t bytes);
    void onReadFailed(Feed& feed, const store::TopicRead& read, store::StoreError error, std::string_view reason);
    void onReadSucceeded(Feed& feed, ReadOrigin origin);
    void applyUpdate(Feed& feed, store::FeedUpdate update);
    void checkLoaded();
    // Gives up the read under way; the caller makes the feed due again.
    void abandonRead(Feed& feed);
    void logVerification();
    std::vector<store::Topic> unverifiedTopics() const override;
    std::optional<store::Era> settledEra() const override;
    void onEraSettled(store::Era era) override;
    void onVerifiedSnapshot(store::Topic topic, const store::SnapshotPage& page, const HostId& from) override;
    // Prepares the first snapshot of a new era: leaves out the records of the copy that this host has newer, and keeps
    // what the copy lacks.
    void keepNewerThan(Feed& feed, store::FeedUpdate& copy);
    // Whether a record of the copy is newer than what this host knows of its key.
    bool isNewer(const Feed& feed, const store::KeyedRecord& record) const;
    // Returns whether the record may have changed anything.
    bool applyRecord(Feed& feed, const store::KeyedRecord& record);
    void applyOperatorRecord(Feed& feed, const store::KeyedRecord& record);
    // Whether the store may have lost records that this host has never read.
    bool mayHaveMissedRecords(const Feed& feed) const;
    void applyConfiguration(Feed& feed, catalog::Configuration configuration);
    // Names the entries that grant nothing because they cannot be read.
    static void logUnreadableEntries(const catalog::Configuration& configuration);
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
    EraVerifier m_verifier;
    bool m_storeLost = false;
    bool m_loaded = false;
    // When the configuration and the registered upstreams had been read, confirmed or not.
    std::optional<TimePoint> m_readAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
