#include "recordpacker.h"

#include "fireflyhaven/common/hash.h"

#include <zlib.h>

namespace fireflyhaven::entry {

namespace {

// Smaller values are not worth the processor time.
constexpr std::size_t MIN_PACKED_BYTES = 4096;
constexpr std::uint32_t MAX_VALUE_BYTES = 16 * 1024 * 1024;
// The fastest level: configurations repeat themselves so much that higher ones gain little.
constexpr int COMPRESSION_LEVEL = 1;

std::optional<std::string> deflated(const std::string& value)
{
    uLongf n = compressBound(value.size());
    std::string out(n, '\0');
    if (compress2(reinterpret_cast<Bytef*>(out.data()), &n, reinterpret_cast<const Bytef*>(value.data()), value.size(),
            COMPRESSION_LEVEL)
        != Z_OK)
        return std::nullopt;
    out.resize(n);
    out.shrink_to_fit();
    return out;
}

}

const PackedRecord* RecordPacker::pack(const store::KeyedRecord& record)
{
    if (!record.value || record.value->size() < MIN_PACKED_BYTES || record.value->size() > MAX_VALUE_BYTES)
        return nullptr;
    const std::uint64_t hash = stableHash(*record.value);
    const auto it = m_packed.find(record.key);
    if (it != m_packed.end() && it->second.hash == hash)
        return &it->second.record;
    auto value = deflated(*record.value);
    if (!value)
        return nullptr;
    Packed& packed = m_packed[record.key];
    packed = { .hash = hash,
        .record = { .key = record.key,
            .bytes = static_cast<std::uint32_t>(record.value->size()),
            .deflated = std::move(*value) } };
    return &packed.record;
}

std::optional<store::KeyedRecord> RecordPacker::unpack(const PackedRecord& packed)
{
    if (packed.bytes > MAX_VALUE_BYTES)
        return std::nullopt;
    std::string value(packed.bytes, '\0');
    uLongf n = packed.bytes;
    const int result = uncompress(reinterpret_cast<Bytef*>(value.data()), &n,
        reinterpret_cast<const Bytef*>(packed.deflated.data()), packed.deflated.size());
    if (result != Z_OK || n != packed.bytes)
        return std::nullopt;
    return store::KeyedRecord { .key = packed.key, .value = std::move(value) };
}

}
