#pragma once

#include "fireflyhaven/store/types/records.h"

#include <map>

namespace fireflyhaven::store {

struct FeedOptions {
    // Shortest time from the start of one read to the start of the next.
    Duration interval { 0 };
    // Long-poll time: how long a read may wait at its source for a new record.
    Duration wait { 0 };
    // A host whose records are older than this reads a snapshot instead of all records since then; unlimited where
    // zero.
    Duration maxTailAge { 0 };
    // Pause after a failed read. It doubles with each further failure, up to the maximum.
    Duration initialBackoff { 100 };
    Duration maxBackoff { 500 };
};

// Next read that the driver of a feed has to make.
struct FeedRequest {
    enum class Kind { ReadNewest, Read };
    Kind kind = Kind::Read;
    // For ReadNewest: the page begins after this key.
    std::string after;
    // For Read: offset of the first record.
    std::uint64_t offset = 0;
    // Era of the offset; no value where it is not known.
    std::optional<Era> era {};
    Duration wait {};
};

// Changes that result from a completed read.
struct FeedUpdate {
    // The records are a complete snapshot: keys that are not among them have been deleted.
    bool replacesAll = false;
    std::vector<KeyedRecord> records;
    // The snapshot is the first one of a new era: a copy of the store that may lack what this host knows already.
    bool isRestored = false;
};

// Follows a keyed topic: reads a snapshot of the newest records, then tails the topic from the snapshot's offset. Reads
// a new snapshot where the store has already deleted the next records, or has come back from an older copy. In the
// latter case reads confirm nothing until what the store has lost was written again, and a second snapshot then drops
// what was not. Does no I/O.
class KeyedFeed {
public:
    explicit KeyedFeed(FeedOptions options);
    // Takes effect with the next request. Needed because the timing depends on the source that is read.
    void setOptions(const FeedOptions& options) { m_options = options; }

    // The next request to make; no value while one is in flight or none is due.
    std::optional<FeedRequest> poll(TimePoint now);
    // When `poll` will return a request; no value while one is in flight.
    std::optional<TimePoint> nextPoll() const;

    // Takes a page of a snapshot; returns no value until the last page has arrived.
    std::optional<FeedUpdate> onPage(const SnapshotPage& page, TimePoint now);
    FeedUpdate onRecords(const RecordBatch& batch, TimePoint now);
    void onFailed(StoreError error, TimePoint now);
    // Whether an answer of this era is older than what was read before. Such an answer counts as a failed read.
    bool isBehind(const std::optional<Era>& era) const { return m_era && era && *era < *m_era; }
    // What the store has lost of this topic was written again.
    void onWrittenAgain() { m_isRestoring = false; }
    // Makes the next request due at once.
    void scheduleNow(TimePoint now);

    // Every write that the store acknowledged before this time has been received; no value before the first snapshot.
    std::optional<TimePoint> confirmedAt() const { return m_confirmedAt; }
    // The records are those that the store had at this time, whether or not it had lost some; no value before the first
    // snapshot.
    std::optional<TimePoint> currentAt() const { return m_currentAt; }
    // Whether it is not known yet that what the store has lost was written again.
    bool isRestoring() const { return m_isRestoring; }
    // Start of the first of the consecutive failed reads; no value where the last read succeeded.
    std::optional<TimePoint> failingSince() const { return m_failingSince; }
    std::uint64_t offset() const { return m_offset; }
    std::optional<Era> era() const { return m_era; }

private:
    void onSucceeded(TimePoint now);
    // The source had the records at this time.
    void onCurrent(TimePoint at, bool sourceIsRestoring);
    void startSnapshot(TimePoint now);
    // Ends the time after a restoration in which lost records may still be written again.
    void endRestoration(TimePoint now);

    FeedOptions m_options;
    bool m_tailing = false;
    bool m_requestInFlight = false;
    TimePoint m_dueAt {};
    TimePoint m_requestedAt {};
    std::optional<TimePoint> m_confirmedAt;
    std::optional<TimePoint> m_currentAt;
    std::optional<TimePoint> m_failingSince;
    Duration m_backoff {};
    std::uint64_t m_offset = 0;
    std::optional<Era> m_era;
    bool m_isRestoring = false;
    // When the first snapshot of a new era was complete, until the second one is read.
    std::optional<TimePoint> m_restoredAt;
    // Snapshot in progress: the key after which its next page begins, its start, and the records received so far.
    std::optional<std::string> m_continueAfter;
    TimePoint m_snapshotStartedAt {};
    std::optional<Era> m_snapshotEra;
    std::vector<KeyedRecord> m_snapshotRecords;
};

}
