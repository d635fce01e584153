#pragma once

#include "fireflyhaven/store/keyedfeed.h"

#include <deque>
#include <map>

namespace fireflyhaven::store {

// What one host has read of a topic, kept so that other hosts can read it from there instead of from the store: the
// newest record of each key, and the last records in their order, at the store's own offsets. Does no I/O.
class RelayLog {
public:
    explicit RelayLog(std::size_t maxRecords = 4096);

    // `significant` holds for each record of the update whether it says anything new.
    void onUpdate(const FeedUpdate& update, const std::vector<bool>& significant, std::uint64_t nextOffset);
    // No value where the records after the offset are no longer kept, or nothing was read yet.
    std::optional<RecordBatch> read(std::uint64_t offset) const;
    std::optional<SnapshotPage> newest() const;
    std::uint64_t nextOffset() const { return m_nextOffset; }

private:
    struct Kept {
        // Offset behind the update that the record came with.
        std::uint64_t endOffset = 0;
        KeyedRecord record;
    };

    const std::size_t m_maxRecords;
    bool m_hasSnapshot = false;
    std::map<std::string, KeyedRecord> m_newest;
    std::deque<Kept> m_records;
    // Records before this offset are no longer kept.
    std::uint64_t m_firstOffset = 0;
    std::uint64_t m_nextOffset = 0;
};

}
