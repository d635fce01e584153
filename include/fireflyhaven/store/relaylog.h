#pragma once

#include "fireflyhaven/store/keyedfeed.h"

#include <list>
#include <map>

namespace fireflyhaven::store {

// In-memory copy of a topic as one host has read it, from which other hosts read instead of from the store: the newest
// record of each key, and a bounded tail of the last records in their order, at the store's own offsets. The tail holds
// the last record of a key only: what a later one has replaced is of no use to a reader. Does no I/O.
class RelayLog {
public:
    explicit RelayLog(std::size_t maxRecords = 4096);

    // `isChange` holds for each record of the update whether it changes anything; other records are left out of the
    // tail. The offset is one of the era. A restored update adds its records to what is held.
    void onUpdate(const FeedUpdate& update, const std::vector<bool>& isChange, std::uint64_t nextOffset,
        std::optional<Era> era = std::nullopt);
    // No value where records after the offset have already been dropped from the tail, where the offset is one of
    // another era, or before the first snapshot.
    std::optional<RecordBatch> read(std::uint64_t offset, std::optional<Era> era = std::nullopt) const;
    std::optional<SnapshotPage> newest() const;
    std::uint64_t nextOffset() const { return m_nextOffset; }

private:
    // Appends a record to the tail, in place of an earlier one of its key.
    void retain(const KeyedRecord& record, std::uint64_t endOffset);

    struct RetainedRecord {
        // Next offset after the update in which the record arrived.
        std::uint64_t endOffset = 0;
        KeyedRecord record;
    };

    const std::size_t m_maxRecords;
    bool m_hasSnapshot = false;
    std::map<std::string, KeyedRecord> m_newest;
    std::list<RetainedRecord> m_records;
    // Position of each key in the tail.
    std::map<std::string, std::list<RetainedRecord>::iterator> m_positions;
    // Records before this offset have been dropped from the tail.
    std::uint64_t m_firstOffset = 0;
    std::uint64_t m_nextOffset = 0;
    std::optional<Era> m_era;
};

}
