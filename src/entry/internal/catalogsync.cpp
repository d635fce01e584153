#include "catalogsync.h"

#include "fireflyhaven/telemetry/logevent.h"

#include <algorithm>

namespace fireflyhaven::entry {

namespace {

// Reads that failed for at least this long may indicate an outage of the store, during which registrations lapse.
constexpr Duration MIN_OUTAGE { 1000 };
// Live upstreams renew their registrations within this time after an outage.
constexpr Duration REREGISTRATION_GRACE { 2300 };
// An event loop that handles a timer this late may not have read yet what has arrived meanwhile.
constexpr Duration LATE_LOOP { 50 };
// A host that has started holds its first requests for this long until its records are confirmed.
constexpr Duration CONFIRMATION_WAIT { 500 };

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
    case store::Topic::Eras:
        return "eras";
    }
    return "";
}

}

store::PropagationBounds propagationBounds(const ServiceBounds& bounds)
{
    return { .configuration = bounds.configurationApply,
        .revocation = bounds.revocation,
        .upstreamDrain = bounds.upstreamDrain,
        .evacuation = bounds.evacuation,
        .reachable = bounds.reachableAfter };
}

CatalogSync::CatalogSync(CatalogSyncContext context)
    : m_context(std::move(context))
    , m_relayServer(m_context.loop, m_context.clock, [this](store::Topic topic) { return feedOf(topic); })
    , m_relayClient(m_context.loop, m_context.clock)
    , m_operatorFeed(makeFeed(store::Topic::Operator))
    , m_upstreamFeed(makeFeed(store::Topic::Upstreams))
    , m_statusFeed(makeFeed(store::Topic::Status))
    , m_verifier({ .clock = m_context.clock,
          .store = m_context.store,
          .relayClient = m_relayClient,
          .hosts = m_context.hosts,
          .delegate = *this })
{
    if (!m_context.settings.bootstrap)
        return;
    for (Feed* feed : { &m_operatorFeed, &m_upstreamFeed, &m_statusFeed })
        feed->reader.trustFirstSnapshot();
}

CatalogSync::Feed CatalogSync::makeFeed(store::Topic topic)
{
    return { .topic = topic,
        .reader = store::TopicReader(topic, m_sourceSelector),
        .pollTimer = boost::asio::steady_timer(m_context.loop),
        .timeoutTimer = boost::asio::steady_timer(m_context.loop) };
}

CatalogSync::~CatalogSync() { *m_alive = false; }

Result<void> CatalogSync::listen(const http::Endpoint& relayAddress)
{
    return m_relayServer.listen(relayAddress, m_context.memory);
}

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
            return &feed->reader.feed();
    }
    return nullptr;
}

void CatalogSync::tick(TimePoint now)
{
    m_verifier.advance();
    logVerification();
    checkLoaded();
    for (const UpstreamId& id : m_context.catalog.removeExpired(now)) {
        telemetry::logEvent(spdlog::level::info, "upstream_gone",
            { { "upstream", id.value() }, { "reason", "not registered again after the store outage" } });
        m_context.listener.onUpstreamGone(id);
    }
}

store::ReadContext CatalogSync::readContext() const
{
    return { .hosts = m_context.hosts(),
        .timing = store::ReadTiming(propagationBounds(m_context.settings.bounds)),
        .now = m_context.clock.now() };
}

void CatalogSync::advance(Feed& feed)
{
    const store::ReadContext context = readContext();
    if (const auto read = feed.reader.poll(context))
        return startRead(feed, *read);
    const auto next = feed.reader.nextPoll(context);
    if (!next)
        return;
    feed.pollTimer.expires_after(*next - context.now);
    feed.pollTimer.async_wait([this, alive = m_alive, &feed](boost::system::error_code ec) {
        if (!ec && *alive)
            advance(feed);
    });
}

template <typename T, typename Handler>
store::OnOutcome<T> CatalogSync::forRead(Feed& feed, const store::TopicRead& read, Handler onValue)
{
    return [this, alive = m_alive, &feed, read, number = feed.reads, onValue](const store::Outcome<T>& outcome) {
        if (!*alive || number != feed.reads)
            return;
        feed.timeoutTimer.cancel();
        feed.relayCall.reset();
        if (!outcome.value) {
            onReadFailed(feed, read, outcome.error, outcome.reason);
        } else if (const auto reason
            = feed.reader.rejectionOf(read, outcome.value->sourceAge, outcome.value->era, readContext())) {
            onReadFailed(feed, read, store::StoreError::NotExecuted, *reason);
        } else {
            onReadSucceeded(feed, { .host = read.source, .age = outcome.value->sourceAge });
            onValue(*outcome.value);
            logVerification();
            m_verifier.advance();
            checkLoaded();
        }
        advance(feed);
    };
}

void CatalogSync::checkLoaded()
{
    const bool isRead = m_operatorFeed.reader.feed().currentAt() && m_upstreamFeed.reader.feed().currentAt();
    if (m_loaded || !isRead || !m_context.catalog.hasConfiguration())
        return;
    const TimePoint now = m_context.clock.now();
    if (!m_readAt)
        m_readAt = now;
    if (!m_operatorFeed.reader.feed().confirmedAt() && now - *m_readAt < CONFIRMATION_WAIT)
        return;
    m_loaded = true;
    m_context.listener.onCatalogLoaded();
}

void CatalogSync::abandonRead(Feed& feed)
{
    ++feed.reads;
    feed.timeoutTimer.cancel();
    if (const auto call = std::exchange(feed.relayCall, std::nullopt))
        m_relayClient.cancel(*call);
}

void CatalogSync::logVerification()
{
    for (Feed* feed : { &m_operatorFeed, &m_upstreamFeed, &m_statusFeed }) {
        const bool isUnverified = feed->reader.feed().isUnverified();
        if (std::exchange(feed->isLoggedAsUnverified, isUnverified) == isUnverified)
            continue;
        const auto era = feed->reader.feed().era();
        telemetry::logEvent(isUnverified ? spdlog::level::warn : spdlog::level::info,
            isUnverified ? "records_unverified" : "records_verified",
            { { "topic", topicName(feed->topic) }, { "era", era ? era->value() : 0 },
                { "from", feed->origin.name() } });
    }
}

std::vector<store::Topic> CatalogSync::unverifiedTopics() const
{
    std::vector<store::Topic> topics;
    for (const Feed* feed : { &m_operatorFeed, &m_upstreamFeed, &m_statusFeed }) {
        if (feed->reader.feed().isUnverified())
            topics.push_back(feed->topic);
    }
    return topics;
}

std::optional<store::Era> CatalogSync::settledEra() const
{
    const auto era = storeEra();
    for (const Feed* feed : { &m_operatorFeed, &m_upstreamFeed, &m_statusFeed }) {
        const store::KeyedFeed& it = feed->reader.feed();
        const bool isSettled = it.currentAt() && it.eraState() == store::EraState::Settled && it.era() == era;
        if (!isSettled || feed->origin.host)
            return std::nullopt;
    }
    return era;
}

void CatalogSync::onEraSettled(store::Era era)
{
    for (Feed* feed : { &m_operatorFeed, &m_upstreamFeed, &m_statusFeed }) {
        if (!feed->reader.onEraSettled(era, m_context.clock.now()))
            continue;
        abandonRead(*feed);
        advance(*feed);
    }
}

void CatalogSync::onVerifiedSnapshot(store::Topic topic, const store::SnapshotPage& page, const HostId& from)
{
    for (Feed* feed : { &m_operatorFeed, &m_upstreamFeed, &m_statusFeed }) {
        // A host that has not been current for long may know less than the copy.
        const bool isOld = page.sourceAge > readContext().timing.bound(topic);
        if (feed->topic != topic || !feed->reader.feed().isUnverified() || !page.era || isOld)
            continue;
        abandonRead(*feed);
        onReadSucceeded(*feed, { .host = from, .age = page.sourceAge });
        applyUpdate(*feed, feed->reader.adopt(page, m_context.clock.now()));
        logVerification();
        checkLoaded();
        advance(*feed);
    }
}

void CatalogSync::startRead(Feed& feed, const store::TopicRead& read)
{
    const std::uint64_t number = ++feed.reads;
    feed.deadline = read.startedAt + read.timeout;
    feed.isLateLoopAllowedFor = false;
    awaitAnswer(feed, read);
    feed.receivedBytes = 0;
    const store::FeedRequest& request = read.request;
    const auto progress = [this, alive = m_alive, &feed, read, number](std::size_t bytes) {
        if (*alive && number == feed.reads)
            onProgress(feed, read, bytes);
    };
    const auto onPage = forRead<store::SnapshotPage>(feed, read, [this, &feed, read](const store::SnapshotPage& page) {
        if (auto update = feed.reader.onPage(read, page, m_context.clock.now()))
            applyUpdate(feed, std::move(*update));
    });
    const auto onBatch = forRead<store::RecordBatch>(feed, read, [this, &feed, read](const store::RecordBatch& batch) {
        applyUpdate(feed, feed.reader.onRecords(read, batch, m_context.clock.now()));
    });
    const bool snapshot = request.kind == store::FeedRequest::Kind::ReadNewest;
    if (!read.source) {
        snapshot ? m_context.store.readNewest(feed.topic, request.after, progress, onPage)
                 : m_context.store.read(feed.topic, request.offset, request.wait, progress, onBatch);
        return;
    }
    const http::Endpoint host = m_context.hosts()->hosts().at(*read.source).peerAddress;
    feed.relayCall = snapshot ? m_relayClient.readNewest(host, feed.topic, SnapshotKind::Any, progress, onPage)
                              : m_relayClient.read(host, feed.topic, request, progress, onBatch);
}

void CatalogSync::awaitAnswer(Feed& feed, const store::TopicRead& read)
{
    feed.timeoutTimer.expires_after(feed.deadline - m_context.clock.now());
    feed.timeoutTimer.async_wait(
        [this, alive = m_alive, &feed, read, number = feed.reads](boost::system::error_code ec) {
            if (!ec && *alive && number == feed.reads)
                onDeadline(feed, read);
        });
}

void CatalogSync::onDeadline(Feed& feed, const store::TopicRead& read)
{
    const TimePoint now = m_context.clock.now();
    // More of the answer has arrived since this handler was queued.
    if (now < feed.deadline)
        return;
    // A late event loop handles its timers before the answers that have arrived meanwhile.
    if (now - feed.deadline >= LATE_LOOP && !std::exchange(feed.isLateLoopAllowedFor, true)) {
        feed.deadline = now + LATE_LOOP;
        return awaitAnswer(feed, read);
    }
    ++feed.reads;
    if (const auto call = std::exchange(feed.relayCall, std::nullopt))
        m_relayClient.cancel(*call);
    onReadFailed(feed, read, store::StoreError::Unknown, "no answer in time");
    advance(feed);
}

void CatalogSync::onProgress(Feed& feed, const store::TopicRead& read, std::size_t bytes)
{
    if (feed.receivedBytes == 0)
        feed.firstByteAt = m_context.clock.now();
    feed.receivedBytes = bytes;
    feed.deadline = feed.reader.deadlineAfterProgress(read, readContext());
    awaitAnswer(feed, read);
}

void CatalogSync::onReadSucceeded(Feed& feed, ReadOrigin origin)
{
    feed.failedSince = feed.reader.feed().failingSince();
    feed.origin = std::move(origin);
    feed.answeredAt = m_context.clock.now();
    if (feed.receivedBytes == 0)
        feed.firstByteAt = feed.answeredAt;
    if (feed.origin.host)
        return;
    if (std::exchange(m_storeLost, false))
        telemetry::logEvent(spdlog::level::info, "store_regained");
}

void CatalogSync::onReadFailed(
    Feed& feed, const store::TopicRead& read, store::StoreError error, std::string_view reason)
{
    const TimePoint now = m_context.clock.now();
    const auto confirmed = feed.reader.feed().confirmedAt();
    feed.reader.onFailed(read, error, readContext());
    if (error == store::StoreError::HistoryLost) {
        telemetry::logEvent(spdlog::level::info, "store_history_lost", { { "topic", topicName(feed.topic) } });
        return;
    }
    if (read.source) {
        telemetry::logEvent(spdlog::level::info, "relay_lost",
            { { "topic", topicName(feed.topic) }, { "from", read.source->value() }, { "reason", reason },
                { "confirmed_ms_ago", confirmed ? (now - *confirmed).count() : -1 },
                { "waited_ms", (now - read.startedAt).count() }, { "timeout_ms", read.timeout.count() },
                { "received_bytes", feed.receivedBytes } });
        return;
    }
    m_relayServer.onSourceLost(feed.topic);
    if (!std::exchange(m_storeLost, true))
        telemetry::logEvent(spdlog::level::warn, "store_lost",
            { { "topic", topicName(feed.topic) }, { "reason", reason }, { "waited_ms", (now - read.startedAt).count() },
                { "timeout_ms", read.timeout.count() }, { "received_bytes", feed.receivedBytes } });
}

void CatalogSync::applyUpdate(Feed& feed, store::FeedUpdate update)
{
    feed.mayHaveMissedRecords = update.isRestored && mayHaveMissedRecords(feed);
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
        { { "topic", topicName(feed.topic) }, { "era", feed.reader.feed().era()->value() },
            { "from", feed.origin.name() }, { "records", read }, { "kept_newer", read - copy.records.size() },
            { "kept_missing", missing.size() } });
    // The registration of an upstream that is missing is written again soon, or the upstream is gone.
    if (feed.topic == store::Topic::Upstreams) {
        for (const std::string& key : missing)
            copy.records.push_back({ .key = key, .value = std::nullopt, .mayReappear = true });
    }
    if (feed.topic == store::Topic::Status)
        m_context.listener.onStoreRestored();
}

bool CatalogSync::mayHaveMissedRecords(const Feed& feed) const
{
    const auto confirmed = feed.reader.feed().confirmedAt();
    return !confirmed || m_context.clock.now() - *confirmed > readContext().timing.bound(feed.topic);
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

void CatalogSync::logUnreadableEntries(const catalog::Configuration& configuration)
{
    constexpr std::size_t MAX_NAMED_ENTRIES = 8;
    const std::vector<std::string>& entries = configuration.unreadableEntries;
    if (entries.empty())
        return;
    const std::vector<std::string> named(
        entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(std::min(entries.size(), MAX_NAMED_ENTRIES)));
    telemetry::logEvent(spdlog::level::warn, "configuration_partly_unreadable",
        { { "configuration", configuration.version.value() }, { "unreadable_entries", entries.size() },
            { "entries", named } });
}

void CatalogSync::applyConfiguration(Feed& feed, catalog::Configuration configuration)
{
    catalog::Catalog& catalog = m_context.catalog;
    if (configuration.version >= catalog.version())
        feed.mayHaveMissedRecords ? feed.reader.onNothingKnownLost() : feed.reader.onWrittenAgain();
    if (catalog.onConfiguration(std::move(configuration)) != catalog::ConfigurationChange::Applied)
        return;
    telemetry::logEvent(spdlog::level::info, "configuration_applied",
        { { "configuration", catalog.version().value() }, { "routes", catalog.routes().size() },
            { "from", feed.origin.name() }, { "source_age_ms", feed.origin.age.count() },
            { "received_bytes", feed.receivedBytes }, { "transfer_ms", (feed.answeredAt - feed.firstByteAt).count() },
            { "decode_ms", (m_context.clock.now() - feed.answeredAt).count() } });
    logUnreadableEntries(catalog.configuration());
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
