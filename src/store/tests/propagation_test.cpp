#include "fireflyhaven/store/topicreader.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::store;

namespace {

constexpr Duration STEP { 5 };
constexpr TimePoint START { Duration(100'000) };
// Hosts are judged when nothing has happened to them for this long.
constexpr Duration CONTACT { 3000 };
constexpr Duration BOUND { 2000 };
constexpr Duration REPORT_INTERVAL { 200 };
constexpr Duration STORE_DELAY { 4 };
constexpr Duration HOST_DELAY { 1 };

enum class StoreAccess { Normal, Silent, Refused, Slow };

struct Version {
    int number = 0;
    TimePoint ackedAt {};
    // The store has lost it, and it was not written again.
    bool lost = false;
};

// The store: one topic with the record "configuration", whose value is a version.
struct SimulatedStore {
    std::vector<int> log;
    std::vector<TimePoint> writtenAt;
    Era era { 1 };
    bool away = false;

    void write(int version, TimePoint now)
    {
        log.push_back(version);
        writtenAt.push_back(now);
    }
    void restore(TimePoint copyOf)
    {
        while (log.size() > 1 && writtenAt.back() > copyOf) {
            log.pop_back();
            writtenAt.pop_back();
        }
        era = era.next();
        away = false;
    }
};

KeyedRecord recordOf(int version) { return { .key = "configuration", .value = std::to_string(version) }; }

// Hosts that follow a topic of the store, on a virtual clock.
class Fleet {
public:
    Fleet(int hosts, bool layered, std::uint64_t seed, Topic topic)
        : random(seed)
        , m_layered(layered)
        , m_topic(topic)
    {
        for (int n = 0; n < hosts; ++n) {
            m_hosts.push_back(std::make_unique<Host>());
            start(n);
        }
        store.write(1, m_now);
        versions.push_back({ .number = 1, .ackedAt = m_now });
    }

    void runUntil(TimePoint end)
    {
        while (m_now < end) {
            m_now += STEP;
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const auto action = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                action();
            }
            for (std::size_t n = 0; n < m_hosts.size(); ++n)
                tick(n);
        }
    }

    void change()
    {
        const int number = versions.back().number + 1;
        store.write(number, m_now);
        versions.push_back({ .number = number, .ackedAt = m_now });
    }
    void setAccess(std::size_t n, StoreAccess access, Duration period)
    {
        Host& host = *m_hosts[n];
        host.access = access;
        host.accessUntil = m_now + period;
    }
    void freeze(std::size_t n, Duration period)
    {
        m_hosts[n]->frozenUntil = std::max(m_hosts[n]->frozenUntil, m_now + period);
    }
    void restart(std::size_t n) { start(static_cast<int>(n)); }
    void restoreStore(Duration away, Duration copyAge, Duration rewrittenAfter)
    {
        const TimePoint copyOf = m_now - copyAge;
        store.away = true;
        m_storeTroubledAt = m_now + away;
        after(away, [this, copyOf, rewrittenAfter] {
            store.restore(copyOf);
            for (Version& it : versions)
                it.lost = it.number > store.log.back();
            after(rewrittenAfter, [this] {
                if (store.log.back() >= versions.back().number)
                    return;
                store.write(versions.back().number, m_now);
                // Earlier versions are part of the last one.
                for (Version& it : versions) {
                    it.ackedAt = it.lost ? m_now : it.ackedAt;
                    it.lost = false;
                }
            });
        });
    }

    std::size_t size() const { return m_hosts.size(); }
    TimePoint now() const { return m_now; }

    std::mt19937_64 random;
    SimulatedStore store;
    std::vector<Version> versions;
    int storeReads = 0;
    std::vector<int> readsOf;
    // What was found wrong.
    int falselyConfirmed = 0;
    int late = 0;
    Duration latest { 0 };

private:
    struct PendingRead {
        WaitingRead read;
        std::function<void(std::optional<RecordBatch>, StoreError)> answer;
    };
    struct Host {
        std::unique_ptr<fleet::HostTable> table;
        std::unique_ptr<ReadSourceSelector> selector;
        std::unique_ptr<TopicReader> reader;
        std::unique_ptr<RelayLog> log;
        std::deque<PendingRead> pending;
        std::optional<TopicRead> read;
        std::uint64_t reads = 0;
        int life = 0;
        std::uint32_t sequence = 0;
        int version = 0;
        TimePoint reportAt {};
        TimePoint frozenUntil {};
        // When something last happened to the host.
        TimePoint troubledAt {};
        StoreAccess access = StoreAccess::Normal;
        TimePoint accessUntil {};
    };

    static HostId idOf(std::size_t n) { return HostId("h" + std::to_string(n)); }
    DataCentreId dataCentreOf(std::size_t n) const
    {
        return DataCentreId("dc" + std::to_string(m_layered ? n % 3 : 0));
    }
    bool isFrozen(const Host& host) const { return m_now < host.frozenUntil; }

    void start(int n)
    {
        Host& host = *m_hosts[static_cast<std::size_t>(n)];
        host.table = std::make_unique<fleet::HostTable>(idOf(static_cast<std::size_t>(n)),
            fleet::HostTableOptions { .dataCentre = dataCentreOf(static_cast<std::size_t>(n)), .capacity = 250 });
        host.table->setLayered(m_layered);
        host.selector = std::make_unique<ReadSourceSelector>();
        host.selector->onStart(false, m_now);
        host.reader = std::make_unique<TopicReader>(m_topic, *host.selector);
        host.log = std::make_unique<RelayLog>();
        host.pending.clear();
        host.read.reset();
        host.version = 0;
        host.reportAt = m_now;
        host.sequence = 0;
        ++host.life;
        host.troubledAt = m_now;
    }

    void after(Duration delay, std::function<void()> action) { m_events.emplace(m_now + delay, std::move(action)); }

    ReadContext contextOf(const Host& host) const
    {
        return { .hosts = host.table.get(),
            .timing = ReadTiming(PropagationBounds { .configuration = BOUND, .upstreamDrain = BOUND }),
            .now = m_now };
    }

    void tick(std::size_t n)
    {
        Host& host = *m_hosts[n];
        if (m_now >= host.accessUntil && host.access != StoreAccess::Normal) {
            host.access = StoreAccess::Normal;
            host.troubledAt = m_now;
        }
        if (host.access != StoreAccess::Normal || isFrozen(host))
            host.troubledAt = m_now;
        if (isFrozen(host))
            return;
        report(n);
        if (host.read && m_now - host.read->startedAt >= host.read->timeout)
            onFailed(host, StoreError::Unknown);
        answerPending(host);
        if (!host.read) {
            if (auto read = host.reader->poll(contextOf(host)))
                startRead(n, *read);
        }
        check(host);
    }

    void report(std::size_t n)
    {
        Host& host = *m_hosts[n];
        host.table->setOwnState({ .acceptsRequests = true, .reachesStore = host.selector->reachesStore() });
        if (m_now < host.reportAt)
            return;
        host.reportAt = m_now + REPORT_INTERVAL;
        const fleet::HostReport report { .host = idOf(n),
            .incarnation = static_cast<std::uint64_t>(host.life),
            .sequence = ++host.sequence,
            .dataCentre = dataCentreOf(n),
            .capacity = 250,
            .acceptsRequests = true,
            .reachesStore = host.selector->reachesStore() };
        for (std::size_t to = 0; to < m_hosts.size(); ++to) {
            if (to != n && !isFrozen(*m_hosts[to]))
                m_hosts[to]->table->onReport(report, { .ip = "10.0.0." + std::to_string(n + 1), .port = 7000 }, m_now);
        }
    }

    void startRead(std::size_t n, const TopicRead& read)
    {
        Host& host = *m_hosts[n];
        host.read = read;
        const std::uint64_t number = ++host.reads;
        const int life = host.life;
        // Answers reach a frozen host when it wakes, and a restarted one never.
        const auto deliver = [this, &host, number, life](auto onAnswer) {
            const Duration frozen = std::max(Duration(0), host.frozenUntil - m_now);
            after(frozen, [&host, number, life, onAnswer] {
                if (host.life == life && host.reads == number && host.read)
                    onAnswer();
            });
        };
        if (read.source)
            return readFromHost(host, read, deliver);
        ++storeReads;
        readsOf.resize(m_hosts.size());
        ++readsOf[n];
        readFromStore(host, read, m_now + read.request.wait, deliver);
    }

    template <typename Deliver>
    void readFromStore(Host& host, const TopicRead& read, TimePoint until, const Deliver& deliver)
    {
        const Duration slow
            = host.access == StoreAccess::Slow ? Duration(200 + static_cast<long>(random() % 400)) : Duration(0);
        if (host.access == StoreAccess::Refused || store.away)
            return after(STORE_DELAY,
                [this, &host, deliver] { deliver([this, &host] { onFailed(host, StoreError::NotExecuted); }); });
        if (host.access == StoreAccess::Silent)
            return;
        const FeedRequest& request = read.request;
        if (request.kind == FeedRequest::Kind::ReadNewest) {
            const SnapshotPage page {
                .records = { recordOf(store.log.back()) }, .endOffset = store.log.size(), .era = store.era
            };
            return after(STORE_DELAY + slow,
                [this, &host, page, deliver] { deliver([this, &host, page] { onPage(host, page); }); });
        }
        if (request.offset > store.log.size())
            return after(STORE_DELAY,
                [this, &host, deliver] { deliver([this, &host] { onFailed(host, StoreError::HistoryLost); }); });
        if (request.offset == store.log.size() && m_now < until) {
            return after(STEP, [this, &host, read, until, deliver] {
                if (host.read && host.read->startedAt == read.startedAt)
                    readFromStore(host, read, until, deliver);
            });
        }
        RecordBatch batch { .records = {}, .nextOffset = store.log.size(), .era = store.era };
        for (std::size_t k = request.offset; k < store.log.size(); ++k)
            batch.records.push_back(recordOf(store.log[k]));
        after(STORE_DELAY + slow,
            [this, &host, batch, deliver] { deliver([this, &host, batch] { onBatch(host, batch); }); });
    }

    template <typename Deliver> void readFromHost(Host& host, const TopicRead& read, const Deliver& deliver)
    {
        const std::size_t n = std::stoul(read.source->value().substr(1));
        Host& from = *m_hosts[n];
        const int life = from.life;
        const Duration frozen = std::max(Duration(0), from.frozenUntil - m_now);
        after(HOST_DELAY + frozen, [this, &host, &from, life, read, deliver] {
            if (from.life != life)
                return deliver([this, &host] { onFailed(host, StoreError::NotExecuted); });
            if (read.request.kind == FeedRequest::Kind::ReadNewest) {
                auto page = from.log->newest();
                if (!page)
                    return deliver([this, &host] { onFailed(host, StoreError::NotExecuted); });
                page->sourceAge = ageAt(from);
                page->eraState = from.reader->feed().eraState();
                return deliver([this, &host, page] { onPage(host, *page); });
            }
            from.pending.push_back({ .read = { .offset = read.request.offset,
                                         .era = read.request.era,
                                         .currentAt = from.reader->feed().currentAt(),
                                         .receivedAt = m_now,
                                         .deadline = m_now + read.request.wait },
                .answer = [this, &host, deliver](std::optional<RecordBatch> batch, StoreError error) {
                    if (!batch)
                        return deliver([this, &host, error] { onFailed(host, error); });
                    deliver([this, &host, batch] { onBatch(host, *batch); });
                } });
        });
    }

    Duration ageAt(const Host& host) const
    {
        const auto at = host.reader->feed().currentAt();
        return at ? m_now - *at : Duration(3'600'000);
    }

    void answerPending(Host& host)
    {
        std::deque<PendingRead> waiting;
        for (PendingRead& it : std::exchange(host.pending, {})) {
            if (!isAnswerDue(*host.log, host.reader->feed(), it.read, m_now)) {
                waiting.push_back(std::move(it));
                continue;
            }
            auto batch = host.log->read(it.read.offset, it.read.era);
            if (batch) {
                batch->sourceAge = ageAt(host);
                batch->heldFor = m_now - it.read.receivedAt;
                batch->eraState = host.reader->feed().eraState();
            }
            it.answer(batch, StoreError::HistoryLost);
        }
        host.pending = std::move(waiting);
    }

    template <typename Answer> bool isRejected(Host& host, const Answer& answer)
    {
        if (!host.reader->rejectionOf(*host.read, answer.sourceAge, answer.era, contextOf(host)))
            return false;
        onFailed(host, StoreError::NotExecuted);
        return true;
    }

    void onPage(Host& host, const SnapshotPage& page)
    {
        if (isRejected(host, page))
            return;
        const TopicRead read = *std::exchange(host.read, std::nullopt);
        if (auto update = host.reader->onPage(read, page, m_now))
            apply(host, std::move(*update));
    }

    void onBatch(Host& host, const RecordBatch& batch)
    {
        if (isRejected(host, batch))
            return;
        const TopicRead read = *std::exchange(host.read, std::nullopt);
        apply(host, host.reader->onRecords(read, batch, m_now));
    }

    void onFailed(Host& host, StoreError error)
    {
        const TopicRead read = *std::exchange(host.read, std::nullopt);
        host.reader->onFailed(read, error, contextOf(host));
        if (read.source || error == StoreError::HistoryLost)
            return;
        for (PendingRead& it : std::exchange(host.pending, {}))
            it.answer(std::nullopt, StoreError::NotExecuted);
    }

    void apply(Host& host, FeedUpdate update)
    {
        // A configuration never replaces a newer one; the records that are passed on follow that.
        std::erase_if(update.records, [&](const KeyedRecord& it) {
            const int version = std::stoi(*it.value);
            if (version >= host.version) {
                host.version = version;
                host.reader->onWrittenAgain();
                return false;
            }
            return update.isRestored;
        });
        const KeyedFeed& feed = host.reader->feed();
        host.log->onUpdate(update, std::vector<bool>(update.records.size(), true), feed.offset(), feed.era());
    }

    void check(Host& host)
    {
        const auto confirmed = host.reader->feed().confirmedAt();
        const bool storeIsStable = m_now - m_storeTroubledAt >= CONTACT && !store.away;
        const bool isInTouch = m_now - host.troubledAt >= CONTACT && storeIsStable;
        for (const Version& it : versions) {
            if (it.lost || it.number <= host.version)
                continue;
            if (storeIsStable && confirmed && *confirmed > it.ackedAt)
                ++falselyConfirmed;
            if (isInTouch && m_now - it.ackedAt > BOUND) {
                ++late;
                latest = std::max(latest, m_now - it.ackedAt);
            }
        }
    }

    const bool m_layered;
    const Topic m_topic;
    TimePoint m_now = START;
    TimePoint m_storeTroubledAt = START - CONTACT;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<std::unique_ptr<Host>> m_hosts;
};

// Half a minute in which some hosts lose the store in different ways, freeze and restart, the store comes back from a
// copy in every third seed, and the configuration changes all the time.
Fleet playTroubles(int hosts, bool layered, std::uint64_t seed, Topic topic)
{
    Fleet it(hosts, layered, seed, topic);
    it.runUntil(START + Duration(5000));
    const TimePoint end = START + Duration(35'000);
    bool mayRestore = seed % 3 == 0;
    while (it.now() < end) {
        it.runUntil(it.now() + Duration(100 + static_cast<long>(it.random() % 900)));
        if (!it.store.away && it.random() % 3 > 0)
            it.change();
        const std::uint64_t kind = it.random() % 8;
        const std::size_t first = it.random() % it.size();
        const Duration period(500 + static_cast<long>(it.random() % 6000));
        if (kind < 3) {
            const std::array accesses { StoreAccess::Silent, StoreAccess::Refused, StoreAccess::Slow };
            for (std::size_t n = 0; n < it.size() / 3; ++n)
                it.setAccess((first + n) % it.size(), accesses[kind], period);
        } else if (kind == 3) {
            it.freeze(first, period / 2);
        } else if (kind == 4) {
            it.restart(first);
        } else if (kind == 5 && mayRestore) {
            mayRestore = false;
            it.restoreStore(Duration(500), Duration(4000), Duration(800));
        }
    }
    return it;
}

void checkTroubles(int hosts, bool layered, std::uint64_t seeds, Topic topic)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Fleet it = playTroubles(hosts, layered, seed, topic);
        cr_expect_eq(it.falselyConfirmed, 0, "seed %lu: confirmed without a version", seed);
        cr_expect_eq(
            it.late, 0, "seed %lu: in force %ld ms after its confirmation", seed, static_cast<long>(it.latest.count()));
    }
}

}

// Guards against hosts that wait for a silent source beyond the bound, and against a confirmation for records that the
// store has lost.
Test(propagation, confirmedChangeIsInForceInTime) { checkTroubles(9, false, 200, Topic::Operator); }

Test(propagation, confirmedChangeIsInForceInTimeOverTwoHops) { checkTroubles(30, true, 60, Topic::Operator); }

Test(propagation, drainIsSeenInTime) { checkTroubles(9, false, 200, Topic::Upstreams); }

Test(propagation, drainIsSeenInTimeOverTwoHops) { checkTroubles(30, true, 60, Topic::Upstreams); }

// Guards against limits so short that all hosts read the store while nothing is wrong.
Test(propagation, oneHostReadsWhileNothingFails)
{
    constexpr int MAX_READS_PER_SECOND = 3;
    constexpr int SECONDS = 20;
    for (const Topic topic : { Topic::Operator, Topic::Upstreams }) {
        for (const bool layered : { false, true }) {
            Fleet it(layered ? 30 : 9, layered, 1, topic);
            it.runUntil(START + Duration(5000));
            it.storeReads = 0;
            std::fill(it.readsOf.begin(), it.readsOf.end(), 0);
            it.runUntil(START + Duration(5000 + 1000 * SECONDS));
            const auto readers = std::count_if(it.readsOf.begin(), it.readsOf.end(), [](int n) { return n > 0; });
            cr_assert_eq(readers, 1, "%d hosts read the store", static_cast<int>(readers));
            cr_assert_leq(it.storeReads, MAX_READS_PER_SECOND * SECONDS, "%d reads", it.storeReads);
        }
    }
}
