#include "../internal/recordpacker.h"

#include <fmt/format.h>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::entry;

namespace {

// A configuration of many routes, with names that differ.
store::KeyedRecord largeRecord(int routes)
{
    std::string value = "{\"routes\":[";
    for (int n = 0; n < routes; ++n) {
        value += fmt::format("{{\"name\":\"r-{:07x}\",\"host\":\"shop.example\",\"path_prefix\":\"/{:x}/\",\"type\":"
                             "\"streaming\",\"timeout_ms\":20000,\"service\":\"models\",\"max_attempts\":3}},",
            n * 2654435761U, n * 40503U);
    }
    return { .key = "config", .value = value + "]}" };
}

}

Test(recordPacker, largeRecordShrinksAndComesBackUnchanged)
{
    RecordPacker it;
    const store::KeyedRecord record = largeRecord(1200);
    const PackedRecord* packed = it.pack(record);
    cr_assert(packed);
    cr_assert_lt(packed->deflated.size() * 4, record.value->size());
    const auto unpacked = RecordPacker::unpack(*packed);
    cr_assert(unpacked && unpacked->key == record.key && unpacked->value == record.value);
    cr_assert_eq(it.pack(record), packed, "the same value is compressed once");
}

Test(recordPacker, newValueOfKeyReplacesPackedOne)
{
    RecordPacker it;
    it.pack(largeRecord(1200));
    const store::KeyedRecord newer = largeRecord(1300);
    cr_assert(RecordPacker::unpack(*it.pack(newer))->value == newer.value);
}

Test(recordPacker, smallAndDeletedRecordsAreLeftAsTheyAre)
{
    RecordPacker it;
    cr_assert_null(it.pack({ .key = "config", .value = "{}" }));
    cr_assert_null(it.pack({ .key = "config", .value = std::nullopt }));
}

Test(recordPacker, malformedBytesAreNoRecord)
{
    RecordPacker it;
    const PackedRecord packed = *it.pack(largeRecord(1200));
    PackedRecord cut = packed;
    cut.deflated.resize(cut.deflated.size() / 2);
    cr_assert_not(RecordPacker::unpack(cut));
    PackedRecord wrongSize = packed;
    ++wrongSize.bytes;
    cr_assert_not(RecordPacker::unpack(wrongSize));
    PackedRecord huge = packed;
    huge.bytes = UINT32_MAX;
    cr_assert_not(RecordPacker::unpack(huge));
}
