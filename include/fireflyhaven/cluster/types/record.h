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

// Folded state of all records up to and including `covers`.
struct SnapshotEntry {
    Offset covers;
    nlohmann::json state;
};

using Entry = std::variant<ConfigEntry, membership::JoinEntry, membership::AdmitEntry, membership::ConfirmEntry,
    membership::LeaveEntry, membership::EvictEntry, idempotency::ClaimEntry, idempotency::ResultEntry,
    quality::RatingsEntry, quality::SuspendEntry, SnapshotEntry>;

// Identifies a record: a writer numbers its records from 1 and sends the next only after it has seen the last in the
// log, so that a second copy of a record is known by its number.
struct RecordId {
    WriterId writer;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const RecordId&, const RecordId&) = default;
};

// One append to the platform's log.
struct Record {
    RecordId id;
    // The writer's wall clock, milliseconds since the Unix epoch.
    std::int64_t writtenMs = 0;
    std::vector<Entry> entries;
};

std::string encodeRecord(const Record& record);
// Returns no record where the text is not one that encodeRecord writes.
std::optional<Record> decodeRecord(const std::string& text);

}
