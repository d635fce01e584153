#include "fireflyhaven/store/keyedfeed.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::store;

namespace {

constexpr TimePoint START { Duration(1000) };

KeyedFeed tailingFeed(FeedOptions options = {})
{
    KeyedFeed feed(options);
    feed.poll(START);
    feed.onPage({ .records = { { "a", "1" } }, .endOffset = 7 }, START);
    return feed;
}

}

Test(keyedfeed, readsSnapshotPagesThenTailsFromOffsetOfFirstPage)
{
    KeyedFeed feed({});
    const auto first = feed.poll(START);
    cr_assert(first && first->kind == FeedRequest::Kind::ReadNewest && first->after.empty());
    cr_assert_not(feed.poll(START).has_value(), "only one request is in flight at a time");
    cr_assert_not(
        feed.onPage({ .records = { { "a", "1" } }, .endOffset = 7, .continueAfter = "a" }, START).has_value());
    const auto second = feed.poll(START);
    cr_assert(second && second->kind == FeedRequest::Kind::ReadNewest && second->after == "a");
    const auto update = feed.onPage({ .records = { { "b", "2" } }, .endOffset = 9 }, START);
    cr_assert(update && update->replacesAll);
    cr_assert_eq(update->records.size(), 2);
    const auto tail = feed.poll(START);
    cr_assert(tail && tail->kind == FeedRequest::Kind::Read);
    cr_assert_eq(tail->offset, 7, "changes made while the pages were read are read again");
}

Test(keyedfeed, confirmationTimeIsStartOfRead)
{
    KeyedFeed feed = tailingFeed({ .interval = Duration(500) });
    cr_assert(feed.confirmedAt() == START);
    cr_assert_not(feed.poll(START + Duration(499)).has_value());
    feed.poll(START + Duration(500));
    feed.onRecords({ .records = {}, .nextOffset = 7 }, START + Duration(900));
    cr_assert(feed.confirmedAt() == START + Duration(500), "a read may miss records written after its start");
}

Test(keyedfeed, rereadsSnapshotAfterHistoryLoss)
{
    KeyedFeed feed = tailingFeed();
    feed.poll(START);
    feed.onFailed(StoreError::HistoryLost, START);
    const auto request = feed.poll(START);
    cr_assert(request && request->kind == FeedRequest::Kind::ReadNewest && request->after.empty());
    const auto update = feed.onPage({ .records = { { "b", "2" } }, .endOffset = 20 }, START);
    cr_assert(update && update->replacesAll && update->records.size() == 1);
    cr_assert_eq(feed.offset(), 20);
}

Test(keyedfeed, backsOffExponentiallyAndReportsFailureStart)
{
    KeyedFeed feed = tailingFeed({ .initialBackoff = Duration(100), .maxBackoff = Duration(300) });
    TimePoint now = START;
    for (const int pause : { 100, 200, 300, 300 }) {
        feed.poll(now);
        feed.onFailed(StoreError::NotExecuted, now);
        cr_assert_not(feed.poll(now + Duration(pause - 1)).has_value(), "pause %d", pause);
        now += Duration(pause);
    }
    cr_assert(feed.failingSince() == START);
    cr_assert(feed.confirmedAt() == START, "a failed read confirms nothing");
    feed.poll(now);
    feed.onRecords({ .nextOffset = 8 }, now);
    cr_assert_not(feed.failingSince().has_value());
}

Test(keyedfeed, offsetIsMonotonic)
{
    KeyedFeed feed = tailingFeed();
    feed.poll(START);
    feed.onRecords({ .nextOffset = 3 }, START);
    cr_assert_eq(feed.offset(), 7);
}
