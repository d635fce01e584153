#include "catalogsync.h"

#include "fireflyhaven/telemetry/logevent.h"

namespace fireflyhaven::entry {

namespace {

// Interval of looks for another host to read from, while this one starts.
constexpr Duration START_LOOK { 50 };
// Reads that failed for this long may have been the store's outage, in which registrations lapse.
constexpr Duration OUTAGE { 1000 };
// Upstreams that live are registered again within this time after an outage.
constexpr Duration REGISTERED_AGAIN { 2300 };

template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

const char* topicText(store::Topic topic)
{
    switch (topic) {
    case store::Topic::Operator:
        return "operator";
    case store::Topic::Upstreams:
        return "upstreams";
    case store::Topic::Status:
        return "status";
    case store::Topic::Hosts:
        return "hosts";
    }
    return "";
}

}

CatalogSync::CatalogSync(SyncParts parts)
    : m_parts(std::move(parts))
    , m_relayServer(m_parts.loop, m_parts.clock, [this](store::Topic topic) { return confirmedAt(topic); })
    , m_relayClient(m_parts.loop, m_parts.clock)
    , m_operator { .topic = store::Topic::Operator,
        .state = store::KeyedFeed({}),
        .timer = boost::asio::steady_timer(m_parts.loop) }
    , m_upstreams { .topic = store::Topic::Upstreams,
        .state = store::KeyedFeed({}),
        .timer = boost::asio::steady_timer(m_parts.loop) }
    , m_statuses {
        .topic = store::Topic::Status, .state = store::KeyedFeed({}), .timer = boost::asio::steady_timer(m_parts.loop)
    }
{
}

CatalogSync::~CatalogSync() { *m_alive = false; }

Result<void> CatalogSync::listen(const http::Endpoint& relayAddress) { return m_relayServer.listen(relayAddress); }

void CatalogSync::start()
{
    if (!m_parts.settings.seedIps.empty())
        m_choice.onStart(m_parts.settings.firstStart, m_parts.clock.now());
    drive(m_statuses);
    drive(m_operator);
    drive(m_upstreams);
}

std::optional<TimePoint> CatalogSync::confirmedAt(store::Topic topic) const
{
    for (const Feed* feed : { &m_operator, &m_upstreams, &m_statuses }) {
        if (feed->topic == topic)
            return feed->state.confirmedAt();
    }
    return std::nullopt;
}

void CatalogSync::tick(TimePoint now)
{
    for (const UpstreamId& id : m_parts.catalog.removeExpired(now)) {
        telemetry::logEvent(spdlog::level::info, "upstream_gone",
            { { "upstream", id.value() }, { "reason", "did not register again after the outage" } });
        m_parts.listener.onUpstreamGone(id);
    }
}

store::ReadTiming CatalogSync::timing() const
{
    const ServiceBounds& bounds = m_parts.settings.bounds;
    return store::ReadTiming({ .revocation = bounds.revocation, .upstreamDrain = bounds.upstreamDrain });
}

bool CatalogSync::followsOverTwoSteps() const
{
    const fleet::HostTable* hosts = m_parts.hosts();
    return hosts && hosts->isLayered();
}

void CatalogSync::drive(Feed& feed)
{
    const TimePoint now = m_parts.clock.now();
    const fleet::HostTable* hosts = m_parts.hosts();
    const auto source = hosts ? m_choice.source(*hosts, now) : std::nullopt;
    if (!source && hosts && m_choice.mustWait(*hosts, now))
        return driveAfter(feed, START_LOOK);
    const bool steps = followsOverTwoSteps();
    store::FeedOptions options = source ? timing().fromHost(feed.topic, steps) : timing().fromStore(feed.topic, steps);
    // After a source that failed, another one is asked for what it knows now.
    if (source && steps && feed.state.failingSince())
        options.wait = Duration(0);
    feed.state.setOptions(options);
    if (const auto due = feed.state.poll(now))
        return request(feed, *due, source);
    const auto next = feed.state.nextPoll();
    if (!next)
        return;
    driveAfter(feed, *next - now);
}

void CatalogSync::driveAfter(Feed& feed, Duration delay)
{
    feed.timer.expires_after(delay);
    feed.timer.async_wait([this, alive = m_alive, &feed](boost::system::error_code ec) {
        if (!ec && *alive)
            drive(feed);
    });
}

void CatalogSync::request(Feed& feed, const store::FeedRequest& request, const std::optional<HostId>& source)
{
    const bool fromStore = !source;
    const auto finish = [this, &feed, source](const auto& outcome, auto&& onValue) {
        const TimePoint now = m_parts.clock.now();
        const bool tooOld
            = outcome.value && outcome.value->sourceAge > timing().maxSourceAge(feed.topic, followsOverTwoSteps());
        if (!outcome.value || tooOld)
            onFailed(feed, source, outcome.value ? store::StoreError::NotExecuted : outcome.error,
                tooOld ? "the other host's knowledge is old" : outcome.reason);
        else
            onValue(*outcome.value, now);
        drive(feed);
    };
    const auto onPage = [this, alive = m_alive, &feed, finish, fromStore](const auto& outcome) {
        if (!*alive)
            return;
        finish(outcome, [&](const store::SnapshotPage& page, TimePoint now) {
            onSucceeded(feed, fromStore);
            if (auto update = feed.state.onPage(page, now))
                take(feed, std::move(*update));
        });
    };
    const auto onBatch = [this, alive = m_alive, &feed, finish, fromStore](const auto& outcome) {
        if (!*alive)
            return;
        finish(outcome, [&](const store::RecordBatch& batch, TimePoint now) {
            onSucceeded(feed, fromStore);
            take(feed, feed.state.onRecords(batch, now));
        });
    };
    const bool snapshot = request.kind == store::FeedRequest::Kind::ReadNewest;
    if (fromStore) {
        snapshot ? m_parts.store.readNewest(feed.topic, request.after, onPage)
                 : m_parts.store.read(feed.topic, request.offset, request.wait, onBatch);
        return;
    }
    const http::Endpoint host = m_parts.hosts()->hosts().at(*source).peerAddress;
    snapshot ? m_relayClient.readNewest(host, feed.topic, onPage)
             : m_relayClient.read(host, feed.topic, request.offset, request.wait, onBatch);
}

void CatalogSync::onSucceeded(Feed& feed, bool fromStore)
{
    feed.failedSince = feed.state.failingSince();
    if (!fromStore)
        return;
    m_choice.onStoreRead(true, m_parts.clock.now());
    if (std::exchange(m_storeLost, false))
        telemetry::logEvent(spdlog::level::info, "store_regained");
}

void CatalogSync::onFailed(
    Feed& feed, const std::optional<HostId>& source, store::StoreError error, const std::string& reason)
{
    const TimePoint now = m_parts.clock.now();
    feed.state.onFailed(error, now);
    if (error == store::StoreError::HistoryLost) {
        telemetry::logEvent(spdlog::level::info, "store_history_lost", { { "topic", topicText(feed.topic) } });
        return;
    }
    const fleet::HostTable* hosts = m_parts.hosts();
    if (source) {
        telemetry::logEvent(spdlog::level::info, "relay_lost",
            { { "topic", topicText(feed.topic) }, { "from", source->value() }, { "reason", reason } });
        m_choice.onPeerFailed(*hosts, *source, now);
        if (m_choice.source(*hosts, now) != source)
            feed.state.scheduleNow(now);
        return;
    }
    m_choice.onStoreRead(false, now);
    // Another host may know what this one just failed to read.
    if (hosts && m_choice.source(*hosts, now))
        feed.state.scheduleNow(now);
    if (!std::exchange(m_storeLost, true))
        telemetry::logEvent(
            spdlog::level::warn, "store_lost", { { "topic", topicText(feed.topic) }, { "reason", reason } });
}

void CatalogSync::take(Feed& feed, store::FeedUpdate update)
{
    if (update.replacesAll) {
        const std::set<std::string> before = std::exchange(feed.keys, {});
        std::set<std::string> present;
        for (const store::KeyedRecord& it : update.records)
            present.insert(it.key);
        for (const std::string& key : before) {
            if (!present.contains(key))
                takeRecord(feed, { .key = key, .value = std::nullopt, .mayReappear = wasOutage(feed) });
        }
    }
    std::vector<bool> significant;
    const bool afterOutage = wasOutage(feed);
    for (store::KeyedRecord& it : update.records) {
        it.mayReappear = it.mayReappear || (!it.value && afterOutage);
        significant.push_back(takeRecord(feed, it));
    }
    m_relayServer.onUpdate(feed.topic, update, significant, feed.state.offset());
}

bool CatalogSync::takeRecord(Feed& feed, const store::KeyedRecord& record)
{
    if (record.value)
        feed.keys.insert(record.key);
    else
        feed.keys.erase(record.key);
    if (feed.topic == store::Topic::Upstreams)
        return takeUpstreamRecord(record);
    if (feed.topic == store::Topic::Operator)
        takeOperatorRecord(record);
    else if (const auto status = m_parts.codec.decodeRolloutStatus(record))
        m_parts.listener.onRolloutStatus(*status);
    return true;
}

void CatalogSync::takeOperatorRecord(const store::KeyedRecord& record)
{
    const TimePoint now = m_parts.clock.now();
    catalog::Catalog& catalog = m_parts.catalog;
    std::visit(Overloaded {
                   [&](catalog::Configuration&& it) {
                       if (catalog.onConfiguration(std::move(it)) != catalog::ConfigurationChange::Applied)
                           return;
                       telemetry::logEvent(spdlog::level::info, "configuration_applied",
                           { { "configuration", catalog.version().value() }, { "routes", catalog.routes().size() } });
                       m_parts.listener.onConfiguration();
                   },
                   [&](catalog::RolloutOrder&& it) {
                       catalog.onRollout(it, now);
                       m_parts.listener.onRolloutOrder(it);
                   },
                   [&](catalog::RolloutWithdrawn&& it) {
                       catalog.onRolloutWithdrawn(it.service);
                       m_parts.listener.onRolloutWithdrawn(it.service);
                   },
                   [&](catalog::EvacuationChange&& it) {
                       telemetry::logEvent(spdlog::level::info,
                           it.evacuated ? "data_centre_evacuated" : "data_centre_returned",
                           { { "data_centre", it.dataCentre.value() } });
                       if (it.evacuated)
                           catalog.onEvacuation(it.dataCentre);
                       else
                           catalog.onEvacuationEnded(it.dataCentre);
                   },
                   [&](catalog::UnreadableRecord&& it) {
                       telemetry::logEvent(spdlog::level::warn, "operator_record_unreadable",
                           { { "record", it.key }, { "reason", it.reason } });
                   },
               },
        m_parts.codec.decodeOperatorRecord(record));
}

// Where reads failed for a while the store may have been away, and registrations may have lapsed for that alone.
bool CatalogSync::wasOutage(const Feed& feed) const
{
    return feed.failedSince && m_parts.clock.now() - *feed.failedSince >= OUTAGE;
}

bool CatalogSync::takeUpstreamRecord(const store::KeyedRecord& record)
{
    const UpstreamId id(record.key);
    const TimePoint now = m_parts.clock.now();
    const auto report = m_parts.codec.decodeUpstreamRecord(record);
    const catalog::UpstreamState* known = m_parts.catalog.upstream(id);
    if (!report) {
        if (!known)
            return record.value.has_value();
        m_parts.catalog.onUpstreamGone(id, record.mayReappear ? std::optional(now + REGISTERED_AGAIN) : std::nullopt);
        if (!m_parts.catalog.upstream(id))
            m_parts.listener.onUpstreamGone(id);
        return true;
    }
    const std::optional<catalog::UpstreamState> before = known ? std::optional(*known) : std::nullopt;
    const bool newLife = m_parts.catalog.onUpstream(*report, now);
    const catalog::UpstreamState* after = m_parts.catalog.upstream(id);
    const bool changed = !before || before->upstream != after->upstream || before->graceEndsAt != after->graceEndsAt;
    if (changed)
        m_parts.listener.onUpstreamChanged(after->upstream, newLife);
    return changed;
}

}
