#include "fireflyhaven/store/relaylog.h"

#include <random>

#include <criterion/criterion.h>

using namespace fireflyhaven::store;

namespace {

KeyedRecord record(const std::string& key, const std::string& value) { return { .key = key, .value = value }; }

}

Test(relaylog, hasNothingBeforeTheFirstSnapshot)
{
    const RelayLog log;
    cr_assert_not(log.read(0).has_value());
    cr_assert_not(log.newest().has_value());
}

Test(relaylog, aReaderThatFollowsHasWhatTheSourceHas)
{
    std::mt19937_64 random(4);
    RelayLog log(20);
    std::map<std::string, std::string> truth;
    std::map<std::string, std::string> followed;
    std::uint64_t offset = 0;
    std::uint64_t followedTo = 0;
    int startedOver = 0;
    log.onUpdate({ .replacesAll = true }, {}, offset);
    for (int round = 0; round < 2000; ++round) {
        FeedUpdate update;
        for (std::uint64_t n = random() % 4; n > 0; --n) {
            const std::string key(1, static_cast<char>('a' + random() % 6));
            const bool dropped = random() % 4 == 0;
            update.records.push_back(dropped ? KeyedRecord { .key = key } : record(key, std::to_string(random())));
            if (dropped)
                truth.erase(key);
            else
                truth[key] = *update.records.back().value;
        }
        offset += update.records.size();
        log.onUpdate(update, std::vector<bool>(update.records.size(), true), offset);
        // The follower reads seldom enough to fall behind at times.
        if (random() % 6 != 0)
            continue;
        auto batch = log.read(followedTo);
        if (!batch) {
            ++startedOver;
            const auto page = log.newest();
            followed.clear();
            for (const KeyedRecord& it : page->records)
                followed[it.key] = *it.value;
            followedTo = page->endOffset;
        } else {
            for (const KeyedRecord& it : batch->records) {
                if (it.value)
                    followed[it.key] = *it.value;
                else
                    followed.erase(it.key);
            }
            followedTo = batch->nextOffset;
        }
        cr_assert(followed == truth, "round %d", round);
    }
    cr_assert_gt(startedOver, 5);
}

Test(relaylog, recordsThatSayNothingNewAreLeftOutOfTheTail)
{
    RelayLog log;
    log.onUpdate({ .replacesAll = true, .records = { record("a", "1") } }, { true }, 5);
    log.onUpdate({ .records = { record("a", "1"), record("b", "2") } }, { false, true }, 7);
    const auto batch = log.read(5);
    cr_assert_eq(batch->records.size(), 1);
    cr_assert_eq(batch->nextOffset, 7);
}

Test(relaylog, aSourceThatStartedOverMakesItsReadersStartOver)
{
    RelayLog log;
    log.onUpdate({ .replacesAll = true, .records = { record("a", "1") } }, { true }, 5);
    log.onUpdate({ .replacesAll = true, .records = { record("b", "1") } }, { true }, 9);
    cr_assert_not(log.read(5).has_value(), "that a is gone is in no record");
    cr_assert_eq(log.newest()->records.size(), 1);
}

Test(relaylog, aReaderAheadOfTheSourceWaits)
{
    RelayLog log;
    log.onUpdate({ .replacesAll = true }, {}, 5);
    const auto batch = log.read(8);
    cr_assert(batch && batch->records.empty());
    cr_assert_eq(batch->nextOffset, 8);
}
