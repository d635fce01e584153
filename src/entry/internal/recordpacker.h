#pragma once

#include "fireflyhaven/store/types/records.h"

#include <map>
#include <optional>
#include <string>

namespace fireflyhaven::entry {

// A record whose value is compressed, as hosts pass it on to each other.
struct PackedRecord {
    std::string key;
    // Size of the value in bytes.
    std::uint32_t bytes = 0;
    std::string deflated;

    template <typename Archive> void serialize(Archive& archive) { archive(key, bytes, deflated); }
};

// Compresses large records, such as a configuration with hundreds of routes, for transfers between hosts. Keeps the
// result for each key, since a host passes the same record on to many others. Does no I/O.
class RecordPacker {
public:
    // Null if the record is small, or has no value.
    const PackedRecord* pack(const store::KeyedRecord& record);
    // No value if the bytes are no compressed value of that size, or the size is beyond what a record may have.
    static std::optional<store::KeyedRecord> unpack(const PackedRecord& packed);

private:
    struct Packed {
        // Of the value that was compressed.
        std::uint64_t hash = 0;
        PackedRecord record;
    };
    std::map<std::string, Packed> m_packed;
};

}
