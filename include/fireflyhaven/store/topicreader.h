#pragma once

#include "fireflyhaven/store/readsourceselector.h"
#include "fireflyhaven/store/readtiming.h"
#include "fireflyhaven/store/relaylog.h"

namespace fireflyhaven::store {

// A read that is due, and how long the driver waits for its answer.
struct TopicRead {
    // The host to read from; no value for the store itself.
    std::optional<HostId> source;
    FeedRequest request;
    Duration timeout {};
    TimePoint startedAt {};
};

// What a read needs to know of its surroundings.
struct ReadContext {
    // Null before the exchange with the other hosts has begun.
    const fleet::HostTable* hosts = nullptr;
    ReadTiming timing;
    TimePoint now {};
};

// Follows one topic: decides what to read from whom and for how long, and whether an answer counts. A source whose data
// gets too old is given up in time for another one to be read within the topic's propagation bound. Does no I/O.
class TopicReader {
public:
    // The selector is shared by all topics of a host.
    TopicReader(Topic topic, ReadSourceSelector& selector)
        : m_topic(topic)
        , m_selector(selector)
        , m_feed(FeedOptions {})
    {
    }

    // The next read; no value while one is under way or none is due.
    std::optional<TopicRead> poll(const ReadContext& context);
    // When `poll` may return a read; no value while one is under way.
    std::optional<TimePoint> nextPoll(const ReadContext& context) const;

    // When a read is given up of whose answer a part has arrived now. An answer has to be complete within the topic's
    // propagation bound, beyond the wait of the read.
    TimePoint deadlineAfterProgress(const TopicRead& read, const ReadContext& context) const;

    // Why an answer counts as a failed read; no value if it counts.
    std::optional<std::string_view> rejectionOf(
        const TopicRead& read, Duration sourceAge, const std::optional<Era>& era, const ReadContext& context) const;
    // Take an answer that counts.
    std::optional<FeedUpdate> onPage(const TopicRead& read, const SnapshotPage& page, TimePoint now);
    FeedUpdate onRecords(const TopicRead& read, RecordBatch batch, TimePoint now);
    void onFailed(const TopicRead& read, StoreError error, const ReadContext& context);

    const KeyedFeed& feed() const { return m_feed; }
    // As the functions of the feed.
    void trustFirstSnapshot() { m_feed.trustFirstSnapshot(); }
    void onWrittenAgain() { m_feed.onWrittenAgain(); }
    void onNothingKnownLost() { m_feed.onNothingKnownLost(); }
    bool onEraSettled(Era era, TimePoint now) { return m_feed.onEraSettled(era, now); }
    FeedUpdate adopt(const SnapshotPage& page, TimePoint now) { return m_feed.adopt(page, now); }

private:
    bool readsOverTwoHops(const ReadContext& context) const { return context.hosts && context.hosts->isLayered(); }
    // Age of this host's data at which it gives up the host that it reads from.
    Duration maxAge(const ReadContext& context) const;
    Duration timeoutOf(const TopicRead& read, const ReadContext& context) const;
    void onSucceeded(const TopicRead& read, TimePoint now);

    const Topic m_topic;
    ReadSourceSelector& m_selector;
    KeyedFeed m_feed;
    // The source of the last read; no value for the store itself.
    std::optional<HostId> m_lastSource;
    // Reads of the store that had no answer in time, less the later ones that had one.
    int m_unansweredReads = 0;
};

// A read that waits at a host for new records.
struct WaitingRead {
    std::uint64_t offset = 0;
    std::optional<Era> era;
    // When the records of the host that is read from were current, as of the receipt of this read.
    std::optional<TimePoint> currentAt;
    TimePoint receivedAt {};
    TimePoint deadline {};
};

// Whether a waiting read is to be answered: there are new records, its offset can't be served, the topic was read again
// since, which confirms the reader's records, or its time is over.
bool isAnswerDue(const RelayLog& log, const KeyedFeed& feed, const WaitingRead& read, TimePoint now);

}
