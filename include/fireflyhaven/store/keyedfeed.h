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
// what was not. The first snapshot of all may be such a copy too: it is unverified until the feed learns that its era
// is settled, takes the records of a host that knows more, or has waited for as long. Does no I/O.
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
    // The first snapshot cannot be an older copy, because nothing was written to the store before.
    void trustFirstSnapshot() { m_trustsFirstSnapshot = true; }
    // What the store has lost of this topic was written again, as far as this feed knows what was lost.
    void onWrittenAgain();
    // A copy of the store has nothing older than this feed, which may however have missed what the store has lost.
    void onNothingKnownLost();
    // The era is settled. The next read, which becomes due at once, confirms the records of a feed that was unverified;
    // the answer to a read in flight is not awaited any longer. Returns whether that is so.
    bool onEraSettled(Era era, TimePoint now);
    // Takes the snapshot of a host that knows the era or an earlier one in place of this feed's unverified records. The
    // answer to a read in flight is not awaited any longer.
    FeedUpdate adopt(const SnapshotPage& page, TimePoint now);
    // Makes the next request due at once.
    void scheduleNow(TimePoint now);

    // Every write that the store acknowledged before this time has been received; no value before the first snapshot.
    std::optional<TimePoint> confirmedAt() const { return m_confirmedAt; }
    // The records are those that the store had at this time, whether or not it had lost some; no value before the first
    // snapshot.
    std::optional<TimePoint> currentAt() const { return m_currentAt; }
    // What this feed can tell other hosts of its records. They are settled once a read has confirmed them.
    EraState eraState() const;
    // Whether the feed has only what the store had in an era of which it does not know more.
    bool isUnverified() const { return m_eraState == EraState::Unverified; }
    // Whether the next read is to confirm the records without waiting for new ones.
    bool isConfirmationDue() const { return m_isConfirmationDue; }
    // Start of the first of the consecutive failed reads; no value where the last read succeeded.
    std::optional<TimePoint> failingSince() const { return m_failingSince; }
    std::uint64_t offset() const { return m_offset; }
    std::optional<Era> era() const { return m_era; }

private:
    void onSucceeded(TimePoint now);
    // The source, which knows this of the era, had the records at this time.
    void onCurrent(TimePoint at, EraState source);
    void startSnapshot(TimePoint now);
    // A snapshot that begins an era for this feed; returns whether it is the copy of an era that the feed knows more
    // of.
    bool beginEra(const SnapshotPage& page, TimePoint now);
    // Takes over what the source of all of this feed's records knows of their era.
    void takeEraState(EraState source, TimePoint now);
    // Confirms nothing until `onWrittenAgain`, or until lost records have had their time.
    void awaitRewrite(EraState state, TimePoint now);
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
    // Settled, restoring or unverified.
    EraState m_eraState = EraState::Settled;
    bool m_trustsFirstSnapshot = false;
    bool m_isConfirmationDue = false;
    // Reads of before this time confirm nothing.
    TimePoint m_settledAt {};
    // When the first snapshot of a new era was complete, until the second one is read.
    std::optional<TimePoint> m_restoredAt;
    // Snapshot in progress: the key after which its next page begins, its start, and the records received so far.
    std::optional<std::string> m_continueAfter;
    TimePoint m_snapshotStartedAt {};
    std::optional<Era> m_snapshotEra;
    std::vector<KeyedRecord> m_snapshotRecords;
};

}
