#pragma once

#include "fireflyhaven/store/types/records.h"

#include <functional>
#include <string_view>

namespace fireflyhaven::store {

// Result of a call to the store: a value, or an error with a reason for the log.
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
// Called with each part of an answer that arrives; takes the number of bytes of the answer's body so far.
using OnProgress = std::function<void(std::size_t)>;

// Fencing token that makes writes to one topic exclusive: the store rejects a write whose epoch is lower than the
// highest one that it has received.
struct Fence {
    std::string producer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

// Interface to the platform's store. Callbacks are invoked from the event loop, never from within the call itself.
// `progress` may be null.
class IRecordStore {
public:
    virtual ~IRecordStore() = default;
    // Reads the records from the offset on; waits up to `wait` where there are none yet.
    virtual void read(
        Topic topic, std::uint64_t offset, Duration wait, OnProgress progress, OnOutcome<RecordBatch> done)
        = 0;
    // Reads one page of the newest records of all keys, in the order of the keys, beginning after the key `after`.
    virtual void readNewest(Topic topic, const std::string& after, OnProgress progress, OnOutcome<SnapshotPage> done)
        = 0;
    // Writes one record; a record without a value deletes its key. The outcome holds the offset of the record.
    virtual void put(
        Topic topic, const KeyedRecord& record, const std::optional<Fence>& fence, OnOutcome<std::uint64_t> done)
        = 0;
    // Makes the store reject all later writes to the topic with a lower epoch of this producer; writes no record.
    virtual void claim(Topic topic, const Fence& fence, OnOutcome<std::uint64_t> done) = 0;
    // Number of calls made since the start of the process.
    virtual std::uint64_t calls() const = 0;
};

}
