#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/strongid.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fireflyhaven::store {

// A keyed topic of the platform's store, which retains the newest record of each key.
enum class Topic {
    // Written by the operator: configuration, roll-out orders, evacuations.
    Operator,
    // Registrations of upstreams.
    Upstreams,
    // Written by the system for the operator: statuses of roll-outs.
    Status,
    // Registrations of entry hosts, with their addresses.
    Hosts,
    // Written by the system: the newest era that is settled.
    Eras,
};

// How often the store has come back from an older copy of itself. An offset belongs to its era: after a restoration the
// store gives the same offsets to other records, so that offsets of different eras are never compared.
using Era = StrongNumber<struct EraTag>;

// What the source of records knows of the era that they belong to. A host that has followed the store since before the
// era began knows what the store may have lost; a host that has started since knows only what the store has now.
enum class EraState {
    // Nothing: the store itself, which does not tell.
    Untold,
    // Whatever the store had lost was written again.
    Settled,
    // The source has records of before the era, and does not know yet whether what the store had lost was written
    // again.
    Restoring,
    // The source has only what the store had in this era, which may be an older copy.
    Unverified,
};

struct KeyedRecord {
    std::string key;
    // No value where the key was deleted.
    std::optional<std::string> value;
    // The key may have expired only because its writer could not reach the store, and may soon be written again.
    bool mayReappear = false;
};

// Records of a topic in their order.
struct RecordBatch {
    std::vector<KeyedRecord> records;
    std::uint64_t nextOffset = 0;
    // Era of the offset; no value where the source does not tell it.
    std::optional<Era> era {};
    EraState eraState = EraState::Untold;
    // Age of the data at the source that answered; zero for the store itself.
    Duration sourceAge {};
    // Lower bound of the time for which the source held the request before it answered; zero where it is not reported.
    Duration heldFor {};
};

// One page of the newest records of all keys.
struct SnapshotPage {
    std::vector<KeyedRecord> records;
    std::uint64_t endOffset = 0;
    // As in `RecordBatch`.
    std::optional<Era> era {};
    EraState eraState = EraState::Untold;
    // Where set, the next page begins after this key.
    std::optional<std::string> continueAfter;
    Duration sourceAge {};
};

enum class StoreError {
    // The call had no effect: it was rejected, or was never sent.
    NotExecuted,
    // No answer arrived: the call may have taken effect, or may still do so.
    Unknown,
    // The requested records have been deleted from the store.
    HistoryLost,
    // A precondition of the call did not hold.
    ConditionFailed,
    // The answer does not follow the protocol.
    Malformed,
};

}
