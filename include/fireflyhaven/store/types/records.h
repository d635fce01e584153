#pragma once

#include "fireflyhaven/common/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fireflyhaven::store {

// A topic of the platform's store in which the newest record of each key is kept.
enum class Topic {
    // What the operator wants: configuration, roll-outs, evacuations.
    Operator,
    // Upstreams that registered themselves.
    Upstreams,
    // What the system tells the operator.
    Status,
    // Entry hosts, with their addresses.
    Hosts,
};

struct KeyedRecord {
    std::string key;
    // No value where the key was dropped.
    std::optional<std::string> value;
    // The key may have been dropped only because its writer could not reach the store, and may be back at once.
    bool mayReturn = false;
};

// Records of a topic in their order.
struct RecordBatch {
    std::vector<KeyedRecord> records;
    std::uint64_t nextOffset = 0;
    // How old the knowledge of the source was that answered; zero for the store itself.
    Duration sourceAge {};
    // How long the source held the request before it answered, at least; zero where it did not tell.
    Duration heldFor {};
};

// One page of the newest records of all keys.
struct SnapshotPage {
    std::vector<KeyedRecord> records;
    std::uint64_t endOffset = 0;
    // Where set, the next page begins after this key.
    std::optional<std::string> continueAfter;
    Duration sourceAge {};
};

enum class StoreError {
    // Nothing was done: refused, or never sent.
    NotDone,
    // No answer: it may have been done, or may be done later.
    Unknown,
    // The records asked for were deleted.
    HistoryLost,
    // A condition of the call did not hold.
    ConditionFailed,
    // An answer that does not follow the protocol.
    Malformed,
};

}
