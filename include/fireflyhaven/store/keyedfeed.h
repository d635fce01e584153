#pragma once

#include "fireflyhaven/store/types/records.h"

#include <map>

namespace fireflyhaven::store {

struct FeedOptions {
    // Pause between two reads.
    Duration interval { 0 };
    // How long a read may wait at the store for a record.
    Duration wait { 0 };
    // Pause after a failed read; doubles up to the longest.
    Duration firstRetry { 100 };
    Duration longestRetry { 500 };
};

// What a feed asks its driver to do next.
struct FeedRequest {
    enum class Kind { ReadNewest, Read };
    Kind kind = Kind::Read;
    // For ReadNewest: the key behind which the page begins.
    std::string after;
    // For Read.
    std::uint64_t offset = 0;
    Duration wait {};
};

// Changes that follow from an answer of the store.
struct FeedUpdate {
    // The records are all that there is: keys that are not among them are gone.
    bool replacesAll = false;
    std::vector<KeyedRecord> records;
};

// Follows a topic: takes a snapshot of the newest records, then reads on from its offset, and starts over where the
// store has deleted what comes next. Does no I/O.
class KeyedFeed {
public:
    explicit KeyedFeed(FeedOptions options);
    // Holds from the next request on, for a source that is asked in another manner.
    void setOptions(const FeedOptions& options) { m_options = options; }

    // The next request to make; no value while one is under way or none is due.
    std::optional<FeedRequest> poll(TimePoint now);
    // When `poll` will have a request; no value while one is under way.
    std::optional<TimePoint> nextPoll() const;

    // A page of a snapshot; no value until the last page has come.
    std::optional<FeedUpdate> onPage(const SnapshotPage& page, TimePoint now);
    FeedUpdate onRecords(const RecordBatch& batch, TimePoint now);
    void onFailed(StoreError error, TimePoint now);
    // Asks for the next request at once.
    void hurry(TimePoint now);

    // Everything that was acknowledged before this moment has been taken in; no value before the first snapshot.
    std::optional<TimePoint> confirmedAt() const { return m_confirmedAt; }
    // Since when reads fail; no value where the last one succeeded.
    std::optional<TimePoint> failingSince() const { return m_failingSince; }
    std::uint64_t offset() const { return m_offset; }

private:
    void onSucceeded(TimePoint now);

    FeedOptions m_options;
    bool m_tailing = false;
    bool m_waiting = false;
    TimePoint m_dueAt {};
    TimePoint m_requestedAt {};
    std::optional<TimePoint> m_confirmedAt;
    std::optional<TimePoint> m_failingSince;
    Duration m_retry {};
    std::uint64_t m_offset = 0;
    // Of the snapshot under way.
    std::optional<std::string> m_after;
    TimePoint m_snapshotBegan {};
    std::vector<KeyedRecord> m_collected;
};

}
