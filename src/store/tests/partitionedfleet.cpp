#include "partitionedfleet.h"

#include <algorithm>

namespace fireflyhaven::store::tests {

namespace {

constexpr Duration STEP { 5 };
constexpr TimePoint START { Duration(100'000) };
constexpr Duration REPORT_INTERVAL { 200 };
constexpr Duration STORE_DELAY { 4 };
constexpr Duration HOST_DELAY { 1 };
constexpr double DATAGRAM_LOSS = 0.02;
// Datagrams that wait for a frozen host; later ones are lost.
constexpr std::size_t MAX_WAITING_EVENTS = 200;
constexpr std::size_t SEEDS = 3;
// Thousandths of a core.
constexpr std::uint16_t SMALL_CAPACITY = 90;
constexpr std::uint16_t LARGE_CAPACITY = 300;
constexpr std::string_view KEY = "version";
constexpr Topic TOPICS[] = { Topic::Operator, Topic::Upstreams };

bool isSmall(std::size_t host) { return host % 3 == 0; }

KeyedRecord recordOf(int version) { return { .key = std::string(KEY), .value = std::to_string(version) }; }

}

// What a host tells the others of itself.
class PartitionedFleet::Reports final : public fleet::IReportDelegate {
public:
    explicit Reports(const ReadSourceSelector& selector)
        : m_selector(selector)
    {
    }
    void fillReport(fleet::HostReport& report, bool full, TimePoint) override
    {
        report.acceptsRequests = true;
        report.reachesStore = m_selector.reachesStore();
        if (full)
            report.upstreams.items.push_back({ .upstream = 1, .inFlight = 1 });
    }
    void onReport(const fleet::HostReport&, const fleet::HostReport&, bool, TimePoint) override { }
    void onHostSilent(const HostId&) override { }

private:
    const ReadSourceSelector& m_selector;
};

struct PartitionedFleet::Host {
    std::unique_ptr<ReadSourceSelector> selector;
    std::unique_ptr<Reports> reports;
    std::unique_ptr<fleet::Exchange> exchange;
    std::map<Topic, Feed> feeds;
    std::deque<std::function<void()>> events;
    std::uint64_t incarnation = 0;
    TimePoint reportAt {};
    TimePoint turnAt {};
    Duration period = STEP;
    TimePoint frozenUntil {};
    TimePoint cutFromStoreUntil {};
    bool isRefused = false;
    // When the host's last trouble ends or has ended.
    TimePoint troubledUntil {};
};

PartitionedFleet::PartitionedFleet(PartitionedFleetOptions options)
    : random(options.seed)
    , m_options(std::move(options))
    , m_now(START)
    , m_cutUntil(m_options.dataCentres)
{
    for (const Topic topic : TOPICS)
        m_store[topic] = {};
    change();
    for (std::size_t n = 0; n < m_options.dataCentres * m_options.hostsInEach; ++n) {
        m_hosts.push_back(std::make_unique<Host>());
        m_hosts.back()->period = isSmall(n) ? m_options.slowHostPeriod : STEP;
    }
    for (std::size_t n = 0; n < m_hosts.size(); ++n)
        start(n);
}

PartitionedFleet::~PartitionedFleet() = default;

HostId PartitionedFleet::idOf(std::size_t host) const
{
    return HostId("h-" + std::to_string(dataCentreOf(host)) + "-" + std::to_string(host / m_options.dataCentres));
}

http::Endpoint PartitionedFleet::addressOf(std::size_t host) const
{
    return { .ip
        = "10.0." + std::to_string(dataCentreOf(host)) + "." + std::to_string(host / m_options.dataCentres + 1),
        .port = 7000 };
}

bool PartitionedFleet::isFrozen(const Host& host) const { return m_now < host.frozenUntil; }

bool PartitionedFleet::reaches(std::size_t from, std::size_t to) const
{
    const std::size_t a = dataCentreOf(from);
    const std::size_t b = dataCentreOf(to);
    return a == b || (m_now >= m_cutUntil[a] && m_now >= m_cutUntil[b]);
}

bool PartitionedFleet::reachesStore(std::size_t host) const
{
    return m_now >= m_cutUntil[dataCentreOf(host)] && m_now >= m_hosts[host]->cutFromStoreUntil
        && m_now >= m_storeAwayUntil;
}

void PartitionedFleet::trouble(std::size_t host, TimePoint until)
{
    m_hosts[host]->troubledUntil = std::max(m_hosts[host]->troubledUntil, until);
}

void PartitionedFleet::start(std::size_t n)
{
    Host& host = *m_hosts[n];
    std::vector<http::Endpoint> seeds;
    for (std::size_t k = 0; k < SEEDS; ++k)
        seeds.push_back(addressOf(k));
    host.events.clear();
    host.feeds.clear();
    host.selector = std::make_unique<ReadSourceSelector>();
    host.selector->onStart(m_now == START, m_now);
    host.reports = std::make_unique<Reports>(*host.selector);
    host.exchange = std::make_unique<fleet::Exchange>(fleet::ExchangeOptions { .self = idOf(n),
                                                          .dataCentre = DataCentreId(std::to_string(dataCentreOf(n))),
                                                          .frontend = addressOf(n),
                                                          .peerAddress = addressOf(n),
                                                          .capacity = isSmall(n) ? SMALL_CAPACITY : LARGE_CAPACITY,
                                                          .incarnation = ++host.incarnation,
                                                          .seeds = seeds },
        *host.reports);
    for (const Topic topic : TOPICS) {
        Feed& feed = host.feeds[topic];
        feed.reader = std::make_unique<TopicReader>(topic, *host.selector);
        feed.log = std::make_unique<RelayLog>();
    }
    host.reportAt = m_now + Duration(static_cast<long>(random() % 200));
    host.turnAt = m_now;
    trouble(n, m_now);
}

void PartitionedFleet::runUntil(TimePoint end)
{
    while (m_now < end) {
        m_now += STEP;
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        moveTransfers();
        for (std::size_t n = 0; n < m_hosts.size(); ++n) {
            if (!isFrozen(*m_hosts[n]) && m_now >= m_hosts[n]->turnAt)
                handleEvents(n);
            check(n);
        }
    }
}

void PartitionedFleet::change()
{
    ++m_version;
    m_ackedAt.push_back(m_now);
    for (auto& [topic, it] : m_store)
        it.log.push_back(m_version);
}

void PartitionedFleet::cutDataCentre(std::size_t dataCentre, Duration period)
{
    m_cutUntil[dataCentre] = std::max(m_cutUntil[dataCentre], m_now + period);
    for (std::size_t n = dataCentre; n < m_hosts.size(); n += m_options.dataCentres)
        trouble(n, m_now + period);
}

void PartitionedFleet::cutFromStore(std::size_t host, bool refused, Duration period)
{
    m_hosts[host]->isRefused = refused;
    m_hosts[host]->cutFromStoreUntil = m_now + period;
}

void PartitionedFleet::stopStore(Duration period)
{
    m_storeAwayUntil = m_now + period;
    for (std::size_t n = 0; n < m_hosts.size(); ++n)
        trouble(n, m_storeAwayUntil);
}

void PartitionedFleet::dropHistory(Duration period)
{
    m_watchesSilentUntil = m_now + period;
    for (std::size_t n = 0; n < m_hosts.size(); ++n)
        trouble(n, m_watchesSilentUntil);
    after(period, [this] {
        for (auto& [topic, it] : m_store)
            it.firstOffset = it.log.size();
    });
}

void PartitionedFleet::freeze(std::size_t host, Duration period)
{
    m_hosts[host]->frozenUntil = std::max(m_hosts[host]->frozenUntil, m_now + period);
    trouble(host, m_hosts[host]->frozenUntil);
}

void PartitionedFleet::restart(std::size_t host) { start(host); }

std::optional<std::size_t> PartitionedFleet::reader() const
{
    for (std::size_t n = 0; n < m_hosts.size(); ++n) {
        const Host& host = *m_hosts[n];
        if (host.selector->reachesStore() && !host.selector->source(host.exchange->hosts(), m_now))
            return n;
    }
    return std::nullopt;
}

std::uint64_t PartitionedFleet::maxStoreCallsPerSecond() const
{
    std::uint64_t most = 0;
    for (const auto& [second, n] : m_storeCallsPerSecond)
        most = std::max(most, n);
    return most;
}

void PartitionedFleet::send(std::size_t from, const std::vector<fleet::Datagram>& datagrams)
{
    for (const fleet::Datagram& it : datagrams) {
        const auto to = [&]() -> std::optional<std::size_t> {
            for (std::size_t n = 0; n < m_hosts.size(); ++n) {
                if (addressOf(n) == it.to)
                    return n;
            }
            return std::nullopt;
        }();
        const bool lost = std::uniform_real_distribution(0.0, 1.0)(random) < DATAGRAM_LOSS;
        if (!to || lost || !reaches(from, *to) || m_hosts[*to]->events.size() >= MAX_WAITING_EVENTS)
            continue;
        after(HOST_DELAY, [this, from, n = *to, bytes = it.bytes] {
            m_hosts[n]->events.emplace_back([this, from, n, bytes] {
                bool unreadable = false;
                send(n, m_hosts[n]->exchange->onDatagram(bytes, addressOf(from), m_now, unreadable));
            });
        });
    }
}

// After a freeze, timers are handled before the answers that have arrived meanwhile.
void PartitionedFleet::handleEvents(std::size_t n)
{
    Host& host = *m_hosts[n];
    host.turnAt = m_now + host.period;
    for (auto& [topic, feed] : host.feeds) {
        if (feed.read && m_now >= feed.deadline)
            onFailed(n, feed, StoreError::Unknown);
    }
    for (const auto& it : std::exchange(host.events, {}))
        it();
    if (m_now >= host.reportAt) {
        host.reportAt = m_now + REPORT_INTERVAL;
        send(n, host.exchange->tick(m_now));
    }
    for (const Topic topic : TOPICS) {
        answerPending(n, topic);
        poll(n, topic);
    }
}

ReadContext PartitionedFleet::contextOf(const Host& host) const
{
    return { .hosts = &host.exchange->hosts(), .timing = ReadTiming(m_options.bounds), .now = m_now };
}

void PartitionedFleet::poll(std::size_t n, Topic topic)
{
    Host& host = *m_hosts[n];
    Feed& feed = host.feeds[topic];
    if (feed.read)
        return;
    auto read = feed.reader->poll(contextOf(host));
    if (!read)
        return;
    feed.read = *read;
    feed.deadline = read->startedAt + read->timeout;
    ++feed.reads;
    if (read->source)
        return readFromHost(n, topic, *read);
    ++m_storeCalls;
    ++m_storeCallsPerSecond[m_now.time_since_epoch() / std::chrono::seconds(1)];
    readFromStore(n, topic, *read);
}

std::function<void(std::function<void(PartitionedFleet::Feed&)>)> PartitionedFleet::deliveryTo(
    std::size_t n, Topic topic)
{
    Host& host = *m_hosts[n];
    return [this, n, topic, number = host.feeds[topic].reads, life = host.incarnation](auto onAnswer) {
        m_hosts[n]->events.emplace_back([this, n, topic, number, life, onAnswer] {
            Feed& feed = m_hosts[n]->feeds[topic];
            if (m_hosts[n]->incarnation == life && feed.reads == number && feed.read)
                onAnswer(feed);
        });
    };
}

void PartitionedFleet::readFromStore(std::size_t n, Topic topic, const TopicRead& read)
{
    const auto deliver = deliveryTo(n, topic);
    const Host& host = *m_hosts[n];
    if (m_now < host.cutFromStoreUntil && host.isRefused) {
        return after(STORE_DELAY,
            [this, n, deliver] { deliver([this, n](Feed& feed) { onFailed(n, feed, StoreError::NotExecuted); }); });
    }
    // What is sent while the way is cut is lost.
    if (reachesStore(n))
        answerFromStore(n, topic, read, m_now + read.request.wait, deliver);
}

void PartitionedFleet::answerFromStore(std::size_t n, Topic topic, const TopicRead& read, TimePoint until,
    const std::function<void(std::function<void(Feed&)>)>& deliver)
{
    if (!reachesStore(n))
        return;
    const Topics& store = m_store.at(topic);
    const FeedRequest& request = read.request;
    if (request.kind == FeedRequest::Kind::ReadNewest) {
        const SnapshotPage page { .records = { recordOf(store.log.back()) }, .endOffset = store.log.size() };
        return transfer(std::nullopt, n, topic, bytesOf(topic, 1, false),
            [this, n, page, deliver] { deliver([this, n, page](Feed& feed) { onPage(n, feed, page); }); });
    }
    if (request.offset < store.firstOffset) {
        return after(STORE_DELAY,
            [this, n, deliver] { deliver([this, n](Feed& feed) { onFailed(n, feed, StoreError::HistoryLost); }); });
    }
    const bool hasRecords = request.offset < store.log.size() && m_now >= m_watchesSilentUntil;
    if (!hasRecords && m_now < until) {
        return after(STEP, [this, n, topic, read, until, deliver] { answerFromStore(n, topic, read, until, deliver); });
    }
    RecordBatch batch { .records = {}, .nextOffset = request.offset };
    for (; hasRecords && batch.nextOffset < store.log.size(); ++batch.nextOffset)
        batch.records.push_back(recordOf(store.log[batch.nextOffset]));
    transfer(std::nullopt, n, topic, bytesOf(topic, batch.records.size(), false),
        [this, n, batch, deliver] { deliver([this, n, batch](Feed& feed) { onBatch(n, feed, batch); }); });
}

void PartitionedFleet::readFromHost(std::size_t n, Topic topic, const TopicRead& read)
{
    std::size_t source = 0;
    while (idOf(source) != *read.source)
        ++source;
    const auto deliver = deliveryTo(n, topic);
    // The answer is lost if the way is cut meanwhile.
    const auto answer = [this, n, source, topic, deliver](std::size_t records, std::function<void(Feed&)> onAnswer) {
        if (!reaches(source, n))
            return;
        transfer(source, n, topic, bytesOf(topic, records, true),
            [deliver, onAnswer = std::move(onAnswer)] { deliver(onAnswer); });
    };
    if (!reaches(n, source))
        return;
    after(HOST_DELAY, [this, n, source, topic, read, answer, life = m_hosts[source]->incarnation] {
        m_hosts[source]->events.emplace_back([this, n, source, topic, read, answer, life] {
            Host& from = *m_hosts[source];
            const auto fail
                = [this, n](StoreError error) { return [this, n, error](Feed& feed) { onFailed(n, feed, error); }; };
            Feed& feed = from.feeds[topic];
            if (from.incarnation != life)
                return answer(0, fail(StoreError::NotExecuted));
            if (read.request.kind == FeedRequest::Kind::ReadNewest) {
                auto page = feed.log->newest();
                const auto currentAt = feed.reader->feed().currentAt();
                if (!page || !currentAt)
                    return answer(0, fail(StoreError::NotExecuted));
                page->sourceAge = m_now - *currentAt;
                return answer(1, [this, n, page](Feed& it) { onPage(n, it, *page); });
            }
            feed.pending.push_back({ .read = { .offset = read.request.offset,
                                         .era = read.request.era,
                                         .currentAt = feed.reader->feed().currentAt(),
                                         .receivedAt = m_now,
                                         .deadline = m_now + read.request.wait },
                .answer = [this, n, answer, fail](std::optional<RecordBatch> batch) {
                    if (!batch)
                        return answer(0, fail(StoreError::HistoryLost));
                    answer(batch->records.size(), [this, n, batch](Feed& it) { onBatch(n, it, *batch); });
                } });
        });
    });
}

void PartitionedFleet::answerPending(std::size_t n, Topic topic)
{
    Feed& feed = m_hosts[n]->feeds[topic];
    std::deque<PendingRead> waiting;
    for (PendingRead& it : std::exchange(feed.pending, {})) {
        if (!isAnswerDue(*feed.log, feed.reader->feed(), it.read, m_now)) {
            waiting.push_back(std::move(it));
            continue;
        }
        auto batch = feed.log->read(it.read.offset, it.read.era);
        const auto currentAt = feed.reader->feed().currentAt();
        if (batch && currentAt) {
            batch->sourceAge = m_now - *currentAt;
            batch->heldFor = m_now - it.read.receivedAt;
        }
        it.answer(currentAt ? batch : std::nullopt);
    }
    feed.pending = std::move(waiting);
}

template <typename Answer> bool PartitionedFleet::isRejected(Host& host, Feed& feed, const Answer& answer)
{
    return feed.reader->rejectionOf(*feed.read, answer.sourceAge, answer.era, contextOf(host)).has_value();
}

void PartitionedFleet::onPage(std::size_t n, Feed& feed, const SnapshotPage& page)
{
    if (isRejected(*m_hosts[n], feed, page))
        return onFailed(n, feed, StoreError::NotExecuted);
    const TopicRead read = *std::exchange(feed.read, std::nullopt);
    if (auto update = feed.reader->onPage(read, page, m_now))
        apply(feed, std::move(*update));
}

void PartitionedFleet::onBatch(std::size_t n, Feed& feed, const RecordBatch& batch)
{
    if (isRejected(*m_hosts[n], feed, batch))
        return onFailed(n, feed, StoreError::NotExecuted);
    const TopicRead read = *std::exchange(feed.read, std::nullopt);
    apply(feed, feed.reader->onRecords(read, batch, m_now));
}

void PartitionedFleet::onFailed(std::size_t n, Feed& feed, StoreError error)
{
    const TopicRead read = *std::exchange(feed.read, std::nullopt);
    feed.reader->onFailed(read, error, contextOf(*m_hosts[n]));
    if (read.source || error == StoreError::HistoryLost)
        return;
    for (PendingRead& it : std::exchange(feed.pending, {}))
        it.answer(std::nullopt);
}

void PartitionedFleet::apply(Feed& feed, FeedUpdate update)
{
    for (const KeyedRecord& it : update.records)
        feed.version = std::max(feed.version, std::stoi(*it.value));
    const KeyedFeed& state = feed.reader->feed();
    feed.log->onUpdate(update, std::vector<bool>(update.records.size(), true), state.offset(), state.era());
}

std::size_t PartitionedFleet::bytesOf(Topic topic, std::size_t records, bool passedOn) const
{
    if (topic != Topic::Operator)
        return 0;
    return records * (passedOn ? m_options.passedOnBytes : m_options.recordBytes);
}

double PartitionedFleet::linkOf(std::size_t host) const
{
    return isSmall(host) ? m_options.slowLinkBytesPerMs : m_options.linkBytesPerMs;
}

void PartitionedFleet::transfer(
    std::optional<std::size_t> from, std::size_t to, Topic topic, std::size_t bytes, std::function<void()> done)
{
    const Host& receiver = *m_hosts[to];
    Transfer it { .from = from,
        .to = to,
        .topic = topic,
        .read = receiver.feeds.at(topic).reads,
        .incarnation = receiver.incarnation,
        .bytesLeft = static_cast<double>(bytes),
        .done = std::move(done) };
    after(from ? HOST_DELAY : STORE_DELAY, [this, it = std::move(it)] {
        if (it.bytesLeft > 0)
            return m_transfers.push_back(it);
        it.done();
    });
}

// A host that gives a read up closes its connection, which ends the transfer.
bool PartitionedFleet::isWanted(const Transfer& it) const
{
    const Host& to = *m_hosts[it.to];
    const Feed& feed = to.feeds.at(it.topic);
    return to.incarnation == it.incarnation && feed.reads == it.read && feed.read;
}

void PartitionedFleet::moveTransfers()
{
    std::erase_if(m_transfers, [this](const Transfer& it) { return !isWanted(it); });
    std::map<std::size_t, int> sending;
    std::map<std::size_t, int> receiving;
    for (const Transfer& it : m_transfers) {
        ++receiving[it.to];
        if (it.from)
            ++sending[*it.from];
    }
    for (auto it = m_transfers.begin(); it != m_transfers.end();) {
        double rate = linkOf(it->to) / receiving[it->to];
        if (it->from)
            rate = std::min(rate, linkOf(*it->from) / sending[*it->from]);
        const bool isCut = it->from ? !reaches(*it->from, it->to) : !reachesStore(it->to);
        if (!isCut) {
            it->bytesLeft -= rate * static_cast<double>(STEP.count());
            onProgress(*it);
        }
        if (it->bytesLeft > 0) {
            ++it;
            continue;
        }
        it->done();
        it = m_transfers.erase(it);
    }
}

void PartitionedFleet::onProgress(const Transfer& it)
{
    Host& to = *m_hosts[it.to];
    Feed& feed = to.feeds.at(it.topic);
    if (!isFrozen(to))
        feed.deadline = feed.reader->deadlineAfterProgress(*feed.read, contextOf(to));
}

void PartitionedFleet::check(std::size_t n)
{
    const Host& host = *m_hosts[n];
    if (m_now < host.troubledUntil)
        return;
    for (const auto& [topic, feed] : host.feeds) {
        if (feed.version >= m_version)
            continue;
        // The oldest change that the host doesn't have.
        const TimePoint ackedAt = m_ackedAt[static_cast<std::size_t>(feed.version)];
        const TimePoint since = std::max(ackedAt, host.troubledUntil);
        if (m_now - since > m_longestLag.duration)
            m_longestLag = { .host = n, .topic = topic, .since = since, .duration = m_now - since };
    }
}

}
