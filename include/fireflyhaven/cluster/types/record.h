#pragma once

#include "fireflyhaven/config/types/change.h"
#include "fireflyhaven/idempotency/types/entries.h"
#include "fireflyhaven/membership/types/entries.h"
#include "fireflyhaven/quality/types/entries.h"

#include <variant>

namespace fireflyhaven::cluster {

struct ConfigEntry {
    config::ChangeSet changes;
};

// State that results from all records up to and including `coveredOffset`.
struct SnapshotEntry {
    Offset coveredOffset;
    nlohmann::json state;
};

using Entry = std::variant<ConfigEntry, membership::JoinEntry, membership::AdmitEntry, membership::ConfirmEntry,
    membership::LeaveEntry, membership::EvictEntry, idempotency::ClaimEntry, idempotency::ResultEntry,
    quality::RatingsEntry, quality::SuspendEntry, SnapshotEntry>;

// Identifies a record. A writer numbers its records from 1 and sends the next one only after it has read the previous
// one back from the log. A record whose number is not above the last one applied for its writer is therefore a
// duplicate.
struct RecordId {
    WriterId writer;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const RecordId&, const RecordId&) = default;
};

// Unit of one append to the platform's log.
struct Record {
    RecordId id;
    // The writer's wall clock, milliseconds since the Unix epoch.
    std::int64_t writtenMs = 0;
    std::vector<Entry> entries;
};

std::string encodeRecord(const Record& record);
// Returns no record if the text does not have the format of `encodeRecord`.
std::optional<Record> decodeRecord(const std::string& text);

}
