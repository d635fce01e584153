#include "catalogsync.h"

#include "fireflyhaven/telemetry/logevent.h"

namespace fireflyhaven::entry {

namespace {

// Interval of checks for another host to read from during start-up.
constexpr Duration STARTUP_RETRY_INTERVAL { 50 };
// Reads that failed for at least this long may indicate an outage of the store, during which registrations lapse.
constexpr Duration MIN_OUTAGE { 1000 };
// Live upstreams renew their registrations within this time after an outage.
constexpr Duration REREGISTRATION_GRACE { 2300 };

template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

const char* topicName(store::Topic topic)
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

CatalogSync::CatalogSync(CatalogSyncContext context)
    : m_context(std::move(context))
    , m_relayServer(m_context.loop, m_context.clock, [this](store::Topic topic) { return feedOf(topic); })
    , m_relayClient(m_context.loop, m_context.clock)
    , m_operatorFeed { .topic = store::Topic::Operator,
        .state = store::KeyedFeed({}),
        .timer = boost::asio::steady_timer(m_context.loop) }
    , m_upstreamFeed { .topic = store::Topic::Upstreams,
        .state = store::KeyedFeed({}),
        .timer = boost::asio::steady_timer(m_context.loop) }
    , m_statusFeed {
        .topic = store::Topic::Status, .state = store::KeyedFeed({}), .timer = boost::asio::steady_timer(m_context.loop)
    }
{
}

CatalogSync::~CatalogSync() { *m_alive = false; }

Result<void> CatalogSync::listen(const http::Endpoint& relayAddress) { return m_relayServer.listen(relayAddress); }

void CatalogSync::start()
{
    if (!m_context.settings.seedIps.empty())
        m_sourceSelector.onStart(m_context.settings.bootstrap, m_context.clock.now());
    advance(m_statusFeed);
    advance(m_operatorFeed);
    advance(m_upstreamFeed);
}

const store::KeyedFeed* CatalogSync::feedOf(store::Topic topic) const
{
    for (const Feed* feed : { &m_operatorFeed, &m_upstreamFeed, &m_statusFeed }) {
        if (feed->topic == topic)
            return &feed->state;
    }
    return nullptr;
}

void CatalogSync::tick(TimePoint now)
{
    for (const UpstreamId& id : m_context.catalog.removeExpired(now)) {
        telemetry::logEvent(spdlog::level::info, "upstream_gone",
            { { "upstream", id.value() }, { "reason", "not registered again after the store outage" } });
        m_context.listener.onUpstreamGone(id);
    }
}

store::ReadTiming CatalogSync::readTiming() const
{
    const ServiceBounds& bounds = m_context.settings.bounds;
    return store::ReadTiming({ .revocation = bounds.revocation, .upstreamDrain = bounds.upstreamDrain });
}

bool CatalogSync::readsOverTwoHops() const
{
    const fleet::HostTable* hosts = m_context.hosts();
    return hosts && hosts->isLayered();
}

void CatalogSync::advance(Feed& feed)
{
    const TimePoint now = m_context.clock.now();
    const fleet::HostTable* hosts = m_context.hosts();
    const auto source = hosts ? m_sourceSelector.source(*hosts, now) : std::nullopt;
    if (!source && hosts && m_sourceSelector.mustWait(*hosts, now))
        return advanceAfter(feed, STARTUP_RETRY_INTERVAL);
    const bool twoHops = readsOverTwoHops();
    store::FeedOptions options
        = source ? readTiming().fromHost(feed.topic, twoHops) : readTiming().fromStore(feed.topic, twoHops);
    // After a failed source, the next one is read without waiting for new records.
    if (source && twoHops && feed.state.failingSince())
        options.wait = Duration(0);
    feed.state.setOptions(options);
    if (const auto due = feed.state.poll(now))
        return request(feed, *due, source);
    const auto next = feed.state.nextPoll();
    if (!next)
        return;
    advanceAfter(feed, *next - now);
}

void CatalogSync::advanceAfter(Feed& feed, Duration delay)
{
    feed.timer.expires_after(delay);
    feed.timer.async_wait([this, alive = m_alive, &feed](boost::system::error_code ec) {
        if (!ec && *alive)
            advance(feed);
    });
}

void CatalogSync::request(Feed& feed, const store::FeedRequest& request, const std::optional<HostId>& source)
{
    const bool fromStore = !source;
    const auto finish = [this, &feed, source](const auto& outcome, auto&& onValue) {
        const TimePoint now = m_context.clock.now();
        const bool stale
            = outcome.value && outcome.value->sourceAge > readTiming().maxSourceAge(feed.topic, readsOverTwoHops());
        const bool behind = outcome.value && feed.state.isBehind(outcome.value->era);
        if (behind)
            onReadFailed(feed, source, store::StoreError::NotExecuted, "the source is in an earlier era of the store");
        else if (!outcome.value || stale)
            onReadFailed(feed, source, outcome.value ? store::StoreError::NotExecuted : outcome.error,
                stale ? "data of the source host is too old" : outcome.reason);
        else
            onValue(*outcome.value, now);
        advance(feed);
    };
    const auto onPage = [this, alive = m_alive, &feed, finish, source](const auto& outcome) {
        if (!*alive)
            return;
        finish(outcome, [&](const store::SnapshotPage& page, TimePoint now) {
            onReadSucceeded(feed, { .host = source, .age = page.sourceAge });
            if (auto update = feed.state.onPage(page, now))
                applyUpdate(feed, std::move(*update));
        });
    };
    const auto onBatch = [this, alive = m_alive, &feed, finish, source](const auto& outcome) {
        if (!*alive)
            return;
        finish(outcome, [&](const store::RecordBatch& batch, TimePoint now) {
            onReadSucceeded(feed, { .host = source, .age = batch.sourceAge });
            applyUpdate(feed, feed.state.onRecords(batch, now));
        });
    };
    const bool snapshot = request.kind == store::FeedRequest::Kind::ReadNewest;
    if (fromStore) {
        snapshot ? m_context.store.readNewest(feed.topic, request.after, onPage)
                 : m_context.store.read(feed.topic, request.offset, request.wait, onBatch);
        return;
    }
    const http::Endpoint host = m_context.hosts()->hosts().at(*source).peerAddress;
    snapshot ? m_relayClient.readNewest(host, feed.topic, onPage)
             : m_relayClient.read(host, feed.topic, request, onBatch);
}

void CatalogSync::onReadSucceeded(Feed& feed, ReadOrigin origin)
{
    feed.failedSince = feed.state.failingSince();
    feed.origin = std::move(origin);
    if (feed.origin.host)
        return;
    m_sourceSelector.onStoreRead(true, m_context.clock.now());
    if (std::exchange(m_storeLost, false))
        telemetry::logEvent(spdlog::level::info, "store_regained");
}

void CatalogSync::onReadFailed(
    Feed& feed, const std::optional<HostId>& source, store::StoreError error, const std::string& reason)
{
    const TimePoint now = m_context.clock.now();
    feed.state.onFailed(error, now);
    if (error == store::StoreError::HistoryLost) {
        telemetry::logEvent(spdlog::level::info, "store_history_lost", { { "topic", topicName(feed.topic) } });
        return;
    }
    const fleet::HostTable* hosts = m_context.hosts();
    if (source) {
        const auto confirmed = feed.state.confirmedAt();
        telemetry::logEvent(spdlog::level::info, "relay_lost",
            { { "topic", topicName(feed.topic) }, { "from", source->value() }, { "reason", reason },
                { "confirmed_ms_ago", confirmed ? (now - *confirmed).count() : -1 } });
        m_sourceSelector.onPeerFailed(*hosts, *source, now);
        if (m_sourceSelector.source(*hosts, now) != source)
            feed.state.scheduleNow(now);
        return;
    }
    m_sourceSelector.onStoreRead(false, now);
    // Another host may have the records that this one has just failed to read from the store.
    if (hosts && m_sourceSelector.source(*hosts, now))
        feed.state.scheduleNow(now);
    if (!std::exchange(m_storeLost, true))
        telemetry::logEvent(
            spdlog::level::warn, "store_lost", { { "topic", topicName(feed.topic) }, { "reason", reason } });
}

void CatalogSync::applyUpdate(Feed& feed, store::FeedUpdate update)
{
    if (update.isRestored) {
        keepNewerThan(feed, update);
    } else if (update.replacesAll) {
        for (const std::string& key : feed.keys.missingFrom(update.records))
            applyRecord(feed, { .key = key, .value = std::nullopt, .mayReappear = isAfterOutage(feed) });
    }
    std::vector<bool> significant;
    const bool afterOutage = isAfterOutage(feed);
    for (store::KeyedRecord& it : update.records) {
        it.mayReappear = it.mayReappear || (!it.value && afterOutage);
        significant.push_back(applyRecord(feed, it));
    }
    m_relayServer.onUpdate(feed.topic, update, significant);
}

void CatalogSync::keepNewerThan(Feed& feed, store::FeedUpdate& copy)
{
    const std::vector<std::string> missing = feed.keys.missingFrom(copy.records);
    const std::size_t read = copy.records.size();
    std::erase_if(copy.records, [&](const store::KeyedRecord& it) { return !isNewer(feed, it); });
    telemetry::logEvent(spdlog::level::warn, "store_restored",
        { { "topic", topicName(feed.topic) }, { "era", feed.state.era()->value() }, { "from", feed.origin.name() },
            { "records", read }, { "kept_newer", read - copy.records.size() }, { "kept_missing", missing.size() } });
    // The registration of an upstream that is missing is written again soon, or the upstream is gone.
    if (feed.topic == store::Topic::Upstreams) {
        for (const std::string& key : missing)
            copy.records.push_back({ .key = key, .value = std::nullopt, .mayReappear = true });
    }
    if (feed.topic == store::Topic::Status)
        m_context.listener.onStoreRestored();
}

bool CatalogSync::isNewer(const Feed& feed, const store::KeyedRecord& record) const
{
    if (!feed.keys.contains(record.key))
        return feed.keys.isUnknown(record.key);
    if (feed.topic == store::Topic::Upstreams) {
        const auto report = m_context.codec.decodeUpstreamRecord(record);
        const catalog::UpstreamState* known = m_context.catalog.upstream(UpstreamId(record.key));
        return report && (!known || report->startedAtMs > known->upstream.startedAtMs);
    }
    if (feed.topic != store::Topic::Operator)
        return false;
    // Configurations are ordered by their versions; other records of the operator are not.
    const catalog::OperatorChange change = m_context.codec.decodeOperatorRecord(record);
    const auto* configuration = std::get_if<catalog::Configuration>(&change);
    return configuration && configuration->version >= m_context.catalog.version();
}

bool CatalogSync::applyRecord(Feed& feed, const store::KeyedRecord& record)
{
    feed.keys.onRecord(record, m_context.clock.now());
    if (feed.topic == store::Topic::Upstreams)
        return applyUpstreamRecord(record);
    if (feed.topic == store::Topic::Operator)
        applyOperatorRecord(feed, record);
    else if (const auto status = m_context.codec.decodeRolloutStatus(record))
        m_context.listener.onRolloutStatus(*status);
    return true;
}

void CatalogSync::applyConfiguration(Feed& feed, catalog::Configuration configuration)
{
    catalog::Catalog& catalog = m_context.catalog;
    if (configuration.version >= catalog.version())
        feed.state.onWrittenAgain();
    if (catalog.onConfiguration(std::move(configuration)) != catalog::ConfigurationChange::Applied)
        return;
    telemetry::logEvent(spdlog::level::info, "configuration_applied",
        { { "configuration", catalog.version().value() }, { "routes", catalog.routes().size() },
            { "from", feed.origin.name() }, { "source_age_ms", feed.origin.age.count() } });
    m_context.listener.onConfiguration();
}

void CatalogSync::applyOperatorRecord(Feed& feed, const store::KeyedRecord& record)
{
    const TimePoint now = m_context.clock.now();
    catalog::Catalog& catalog = m_context.catalog;
    std::visit(Overloaded {
                   [&](catalog::Configuration&& it) { applyConfiguration(feed, std::move(it)); },
                   [&](catalog::RolloutOrder&& it) {
                       catalog.onRollout(it, now);
                       m_context.listener.onRolloutOrder(it);
                   },
                   [&](catalog::RolloutWithdrawn&& it) {
                       catalog.onRolloutWithdrawn(it.service);
                       m_context.listener.onRolloutWithdrawn(it.service);
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
        m_context.codec.decodeOperatorRecord(record));
}

// Whether reads failed for so long that the store may have been unavailable, in which case registrations may have
// lapsed without their upstreams being gone.
bool CatalogSync::isAfterOutage(const Feed& feed) const
{
    return feed.failedSince && m_context.clock.now() - *feed.failedSince >= MIN_OUTAGE;
}

bool CatalogSync::applyUpstreamRecord(const store::KeyedRecord& record)
{
    const UpstreamId id(record.key);
    const TimePoint now = m_context.clock.now();
    const auto report = m_context.codec.decodeUpstreamRecord(record);
    const catalog::UpstreamState* known = m_context.catalog.upstream(id);
    if (!report) {
        if (!known)
            return record.value.has_value();
        m_context.catalog.onUpstreamGone(
            id, record.mayReappear ? std::optional(now + REREGISTRATION_GRACE) : std::nullopt);
        if (!m_context.catalog.upstream(id))
            m_context.listener.onUpstreamGone(id);
        return true;
    }
    const std::optional<catalog::UpstreamState> before = known ? std::optional(*known) : std::nullopt;
    const bool newIncarnation = m_context.catalog.onUpstream(*report, now);
    const catalog::UpstreamState* after = m_context.catalog.upstream(id);
    const bool changed = !before || before->upstream != after->upstream || before->graceEndsAt != after->graceEndsAt;
    if (changed)
        m_context.listener.onUpstreamChanged(after->upstream, newIncarnation);
    return changed;
}

}
