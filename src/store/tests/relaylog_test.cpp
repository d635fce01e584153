#include "fireflyhaven/store/relaylog.h"

#include <random>

#include <criterion/criterion.h>

using namespace fireflyhaven::store;

namespace {

KeyedRecord record(const std::string& key, const std::string& value) { return { .key = key, .value = value }; }

}

Test(relaylog, isEmptyBeforeFirstSnapshot)
{
    const RelayLog log;
    cr_assert_not(log.read(0).has_value());
    cr_assert_not(log.newest().has_value());
}

Test(relaylog, followerConvergesToSourceState)
{
    std::mt19937_64 random(4);
    RelayLog log(4);
    std::map<std::string, std::string> expected;
    std::map<std::string, std::string> replica;
    std::uint64_t offset = 0;
    std::uint64_t replicaOffset = 0;
    int restarts = 0;
    log.onUpdate({ .replacesAll = true }, {}, offset);
    for (int round = 0; round < 2000; ++round) {
        FeedUpdate update;
        for (std::uint64_t n = random() % 4; n > 0; --n) {
            const std::string key(1, static_cast<char>('a' + random() % 6));
            const bool dropped = random() % 4 == 0;
            update.records.push_back(dropped ? KeyedRecord { .key = key } : record(key, std::to_string(random())));
            if (dropped)
                expected.erase(key);
            else
                expected[key] = *update.records.back().value;
        }
        offset += update.records.size();
        log.onUpdate(update, std::vector<bool>(update.records.size(), true), offset);
        // The follower reads rarely enough that it sometimes falls behind the retained tail.
        if (random() % 6 != 0)
            continue;
        auto batch = log.read(replicaOffset);
        if (!batch) {
            ++restarts;
            const auto page = log.newest();
            replica.clear();
            for (const KeyedRecord& it : page->records)
                replica[it.key] = *it.value;
            replicaOffset = page->endOffset;
        } else {
            for (const KeyedRecord& it : batch->records) {
                if (it.value)
                    replica[it.key] = *it.value;
                else
                    replica.erase(it.key);
            }
            replicaOffset = batch->nextOffset;
        }
        cr_assert(replica == expected, "round %d", round);
    }
    cr_assert_gt(restarts, 5);
}

Test(relaylog, unchangedRecordsAreOmittedFromTail)
{
    RelayLog log;
    log.onUpdate({ .replacesAll = true, .records = { record("a", "1") } }, { true }, 5);
    log.onUpdate({ .records = { record("a", "1"), record("b", "2") } }, { false, true }, 7);
    const auto batch = log.read(5);
    cr_assert_eq(batch->records.size(), 1);
    cr_assert_eq(batch->nextOffset, 7);
}

Test(relaylog, newSnapshotForcesReadersToRestart)
{
    RelayLog log;
    log.onUpdate({ .replacesAll = true, .records = { record("a", "1") } }, { true }, 5);
    log.onUpdate({ .replacesAll = true, .records = { record("b", "1") } }, { true }, 9);
    cr_assert_not(log.read(5).has_value(), "no record holds the deletion of a");
    cr_assert_eq(log.newest()->records.size(), 1);
}

Test(relaylog, readerAheadOfSourceGetsEmptyBatch)
{
    RelayLog log;
    log.onUpdate({ .replacesAll = true }, {}, 5);
    const auto batch = log.read(8);
    cr_assert(batch && batch->records.empty());
    cr_assert_eq(batch->nextOffset, 8);
}
