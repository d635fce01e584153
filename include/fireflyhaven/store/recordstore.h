#pragma once

#include "fireflyhaven/store/types/records.h"

#include <functional>
#include <string_view>

namespace fireflyhaven::store {

// What became of a call to the store: a value, or an error with a text for the log.
template <typename T> struct Outcome {
    std::optional<T> value;
    StoreError error = StoreError::Unknown;
    std::string reason;

    static Outcome failed(StoreError error, std::string_view reason)
    {
        Outcome outcome;
        outcome.error = error;
        outcome.reason = reason;
        return outcome;
    }
};

template <typename T> using OnOutcome = std::function<void(Outcome<T>)>;

// Makes writes to one topic exclusive: a write with a lower epoch than one already seen is refused.
struct Fence {
    std::string producer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

// The platform's store, as far as the system uses it. Callbacks come from the event loop, never from within the call.
class IRecordStore {
public:
    virtual ~IRecordStore() = default;
    // Records from the offset on; waits up to `wait` where there are none yet.
    virtual void read(Topic topic, std::uint64_t offset, Duration wait, OnOutcome<RecordBatch> done) = 0;
    // Newest records of all keys, in the order of the keys, from the first one behind `after`.
    virtual void readNewest(Topic topic, const std::string& after, OnOutcome<SnapshotPage> done) = 0;
    // Writes one record, without a value to drop the key; the value of the outcome is its offset.
    virtual void put(
        Topic topic, const KeyedRecord& record, const std::optional<Fence>& fence, OnOutcome<std::uint64_t> done)
        = 0;
    // Refuses all later writes to the topic under a lower epoch of this producer; writes nothing.
    virtual void claim(Topic topic, const Fence& fence, OnOutcome<std::uint64_t> done) = 0;
    // Calls made since the start.
    virtual std::uint64_t calls() const = 0;
};

}
