#include "catalogsync.h"

#include <spdlog/spdlog.h>

namespace fireflyhaven::entry {

namespace {

// A read of the operator's records may wait this long for news.
constexpr Duration OPERATOR_WAIT { 1000 };
constexpr Duration UPSTREAM_INTERVAL { 700 };
// The key check stays this far inside the bound for keys that were taken away.
constexpr Duration REVOCATION_MARGIN { 500 };

template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

}

CatalogSync::CatalogSync(boost::asio::io_context& loop, const IClock& clock, const IWireCodec& codec,
    store::IRecordStore& store, catalog::Catalog& catalog, const EntrySettings& settings)
    : m_clock(clock)
    , m_codec(codec)
    , m_store(store)
    , m_catalog(catalog)
    , m_settings(settings)
    , m_operator { .topic = store::Topic::Operator,
        .state = store::KeyedFeed({ .wait = OPERATOR_WAIT }),
        .timer = boost::asio::steady_timer(loop) }
    , m_upstreams { .topic = store::Topic::Upstreams,
        .state = store::KeyedFeed({ .interval = UPSTREAM_INTERVAL }),
        .timer = boost::asio::steady_timer(loop) }
{
}

CatalogSync::~CatalogSync() { *m_alive = false; }

void CatalogSync::start(std::function<void()> onConfiguration)
{
    m_onConfiguration = std::move(onConfiguration);
    drive(m_operator);
    drive(m_upstreams);
}

bool CatalogSync::mayUseKeys(TimePoint now) const
{
    const auto confirmed = m_operator.state.confirmedAt();
    return confirmed && now - *confirmed < m_settings.bounds.revocation - REVOCATION_MARGIN;
}

void CatalogSync::drive(Feed& feed)
{
    const TimePoint now = m_clock.now();
    if (const auto due = feed.state.poll(now))
        return request(feed, *due);
    const auto next = feed.state.nextPoll();
    if (!next)
        return;
    feed.timer.expires_after(*next - now);
    feed.timer.async_wait([this, alive = m_alive, &feed](boost::system::error_code ec) {
        if (!ec && *alive)
            drive(feed);
    });
}

void CatalogSync::request(Feed& feed, const store::FeedRequest& request)
{
    const auto finish = [this, &feed](const auto& outcome, auto&& onValue) {
        if (outcome.value) {
            onValue(*outcome.value);
        } else {
            if (!feed.state.failingSince())
                spdlog::warn("store lost: topic {}, {}", static_cast<int>(feed.topic), outcome.reason);
            feed.state.onFailed(outcome.error, m_clock.now());
        }
        drive(feed);
    };
    if (request.kind == store::FeedRequest::Kind::ReadNewest) {
        m_store.readNewest(feed.topic, request.after, [this, alive = m_alive, &feed, finish](const auto& outcome) {
            if (!*alive)
                return;
            finish(outcome, [&](const store::SnapshotPage& page) {
                if (const auto update = feed.state.onPage(page, m_clock.now()))
                    take(feed, *update);
            });
        });
        return;
    }
    m_store.read(feed.topic, request.offset, request.wait, [this, alive = m_alive, &feed, finish](const auto& outcome) {
        if (!*alive)
            return;
        finish(
            outcome, [&](const store::RecordBatch& batch) { take(feed, feed.state.onRecords(batch, m_clock.now())); });
    });
}

void CatalogSync::take(Feed& feed, const store::FeedUpdate& update)
{
    const std::set<std::string> before = update.replacesAll ? std::exchange(feed.keys, {}) : std::set<std::string>();
    for (const store::KeyedRecord& it : update.records)
        takeRecord(feed, it);
    for (const std::string& key : before) {
        if (!feed.keys.contains(key))
            takeRecord(feed, { .key = key, .value = std::nullopt });
    }
}

void CatalogSync::takeRecord(Feed& feed, const store::KeyedRecord& record)
{
    if (record.value)
        feed.keys.insert(record.key);
    else
        feed.keys.erase(record.key);
    if (feed.topic == store::Topic::Operator)
        takeOperatorRecord(record);
    else
        takeUpstreamRecord(record);
}

void CatalogSync::takeOperatorRecord(const store::KeyedRecord& record)
{
    const TimePoint now = m_clock.now();
    std::visit(Overloaded {
                   [&](catalog::Configuration&& it) {
                       const auto version = it.version;
                       if (m_catalog.onConfiguration(std::move(it)) != catalog::ConfigurationChange::Applied)
                           return;
                       spdlog::info("configuration {} in force", version.value());
                       m_onConfiguration();
                   },
                   [&](catalog::RolloutOrder&& it) { m_catalog.onRollout(it, now); },
                   [&](catalog::RolloutWithdrawn&& it) { m_catalog.onRolloutWithdrawn(it.service); },
                   [&](catalog::EvacuationChange&& it) {
                       if (it.evacuated)
                           m_catalog.onEvacuation(it.dataCentre);
                       else
                           m_catalog.onEvacuationEnded(it.dataCentre);
                   },
                   [&](catalog::UnreadableRecord&& it) {
                       spdlog::warn("record {} of the operator is not understood: {}", it.key, it.reason);
                   },
               },
        m_codec.decodeOperatorRecord(record));
}

void CatalogSync::takeUpstreamRecord(const store::KeyedRecord& record)
{
    const TimePoint now = m_clock.now();
    const auto upstream = m_codec.decodeUpstreamRecord(record);
    if (upstream)
        m_catalog.onUpstream(*upstream, now);
    else
        m_catalog.onUpstreamGone(UpstreamId(record.key), std::nullopt);
}

}
