#pragma once

#include "fireflyhaven/store/types/records.h"

#include <map>

namespace fireflyhaven::store {

struct FeedOptions {
    // Shortest time from the start of one read to the start of the next.
    Duration interval { 0 };
    // Long-poll time: how long a read may wait at its source for a new record.
    Duration wait { 0 };
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
    Duration wait {};
};

// Changes that result from a completed read.
struct FeedUpdate {
    // The records are a complete snapshot: keys that are not among them have been deleted.
    bool replacesAll = false;
    std::vector<KeyedRecord> records;
};

// Follows a keyed topic: reads a snapshot of the newest records, then tails the topic from the snapshot's offset. Reads
// a new snapshot where the store has already deleted the next records. Does no I/O.
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
    // Makes the next request due at once.
    void scheduleNow(TimePoint now);

    // Every write that the store acknowledged before this time has been received; no value before the first snapshot.
    std::optional<TimePoint> confirmedAt() const { return m_confirmedAt; }
    // Start of the first of the consecutive failed reads; no value where the last read succeeded.
    std::optional<TimePoint> failingSince() const { return m_failingSince; }
    std::uint64_t offset() const { return m_offset; }

private:
    void onSucceeded(TimePoint now);

    FeedOptions m_options;
    bool m_tailing = false;
    bool m_requestInFlight = false;
    TimePoint m_dueAt {};
    TimePoint m_requestedAt {};
    std::optional<TimePoint> m_confirmedAt;
    std::optional<TimePoint> m_failingSince;
    Duration m_backoff {};
    std::uint64_t m_offset = 0;
    // Snapshot in progress: the key after which its next page begins, its start, and the records received so far.
    std::optional<std::string> m_continueAfter;
    TimePoint m_snapshotStartedAt {};
    std::vector<KeyedRecord> m_snapshotRecords;
};

}
