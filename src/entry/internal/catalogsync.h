#pragma once

#include "fireflyhaven/catalog/catalog.h"
#include "fireflyhaven/entry/types/settings.h"
#include "fireflyhaven/entry/wirecodec.h"
#include "fireflyhaven/store/keyedfeed.h"
#include "fireflyhaven/store/recordstore.h"

#include <boost/asio/steady_timer.hpp>

#include <set>

namespace fireflyhaven::entry {

// Keeps the catalog up to date from the store.
class CatalogSync {
public:
    CatalogSync(boost::asio::io_context& loop, const IClock& clock, const IWireCodec& codec, store::IRecordStore& store,
        catalog::Catalog& catalog, const EntrySettings& settings);
    CatalogSync(const CatalogSync&) = delete;
    CatalogSync& operator=(const CatalogSync&) = delete;
    ~CatalogSync();

    // `onConfiguration` is called after each new configuration.
    void start(std::function<void()> onConfiguration);
    // Whether everything acknowledged until the bound for keys ago is known for certain.
    bool mayUseKeys(TimePoint now) const;

private:
    struct Feed {
        store::Topic topic;
        store::KeyedFeed state;
        boost::asio::steady_timer timer;
        std::set<std::string> keys;
    };

    void drive(Feed& feed);
    void request(Feed& feed, const store::FeedRequest& request);
    void take(Feed& feed, const store::FeedUpdate& update);
    void takeRecord(Feed& feed, const store::KeyedRecord& record);
    void takeOperatorRecord(const store::KeyedRecord& record);
    void takeUpstreamRecord(const store::KeyedRecord& record);

    const IClock& m_clock;
    const IWireCodec& m_codec;
    store::IRecordStore& m_store;
    catalog::Catalog& m_catalog;
    const EntrySettings& m_settings;
    std::function<void()> m_onConfiguration;
    Feed m_operator;
    Feed m_upstreams;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
