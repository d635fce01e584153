#include "fireflyhaven/store/keyedfeed.h"
#include "fireflyhaven/store/knownkeys.h"
#include "fireflyhaven/store/relaylog.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::store;

namespace {

constexpr TimePoint START { Duration(1000) };
constexpr Era FIRST { 1 };
constexpr Era SECOND { 2 };

KeyedRecord record(const std::string& key, const std::string& value) { return { .key = key, .value = value }; }

// A feed that has read a snapshot of the first era up to offset 7.
KeyedFeed tailingFeed()
{
    KeyedFeed feed({});
    feed.trustFirstSnapshot();
    feed.poll(START);
    feed.onPage({ .records = { record("a", "1") }, .endOffset = 7, .era = FIRST }, START);
    return feed;
}

// A feed of a host that has started in the second era, and has read a snapshot of the store up to offset 7.
KeyedFeed unverifiedFeed()
{
    KeyedFeed feed({});
    feed.poll(START);
    feed.onPage({ .records = { record("a", "1") }, .endOffset = 7, .era = SECOND }, START);
    return feed;
}

// The first snapshot of the second era, up to offset 5.
FeedUpdate readCopy(KeyedFeed& feed, TimePoint now)
{
    feed.poll(now);
    return *feed.onPage({ .records = { record("a", "0") }, .endOffset = 5, .era = SECOND }, now);
}

}

// A follower holds an offset of before a restoration, which its source has not reached again. Guards against taking "no
// newer records" for a confirmation, so that the follower misses what the operator writes next (review/2).
Test(restoration, followerSeesChangesAfterOffsetsWentBack)
{
    RelayLog source;
    source.onUpdate({ .replacesAll = true, .records = { record("a", "1") } }, { true }, 7, FIRST);
    KeyedFeed follower = tailingFeed();
    source.onUpdate({ .replacesAll = true, .records = { record("a", "0") }, .isRestored = true }, { true }, 5, SECOND);
    source.onUpdate({ .records = { record("b", "2") } }, { true }, 6, SECOND);
    auto request = follower.poll(START);
    cr_assert_not(source.read(request->offset, request->era).has_value(), "the offset is one of another era");
    follower.onFailed(StoreError::HistoryLost, START);
    cr_assert(follower.poll(START)->kind == FeedRequest::Kind::ReadNewest);
    const auto update = follower.onPage(*source.newest(), START);
    cr_assert(update && update->isRestored);
    cr_assert_eq(update->records.size(), 2);
    source.onUpdate({ .records = { record("c", "3") } }, { true }, 7, SECOND);
    request = follower.poll(START);
    cr_assert_eq(source.read(request->offset, request->era)->records.size(), 1);
}

Test(restoration, answerOfLaterEraIsReplacedBySnapshot)
{
    KeyedFeed feed = tailingFeed();
    feed.poll(START);
    const FeedUpdate update
        = feed.onRecords({ .records = { record("b", "2") }, .nextOffset = 8, .era = SECOND }, START + Duration(10));
    cr_assert(update.records.empty(), "its offset is not the one that was asked for");
    cr_assert(feed.confirmedAt() == START);
    cr_assert(feed.poll(START + Duration(10))->kind == FeedRequest::Kind::ReadNewest);
}

Test(restoration, answerOfEarlierEraIsBehind)
{
    KeyedFeed feed = tailingFeed();
    cr_assert_not(feed.isBehind(FIRST));
    readCopy(feed, START);
    cr_assert(feed.isBehind(FIRST));
    cr_assert_not(feed.isBehind(std::nullopt), "hosts of older builds do not tell the era");
}

// Guards against accepting a key that was taken away by a record that the store has lost.
Test(restoration, copyConfirmsNothingBeforeLostRecordsAreWrittenAgain)
{
    KeyedFeed feed = tailingFeed();
    const TimePoint restoredAt = START + Duration(100);
    cr_assert(readCopy(feed, restoredAt).isRestored);
    feed.poll(restoredAt);
    feed.onRecords({ .nextOffset = 5, .era = SECOND }, restoredAt);
    cr_assert(feed.confirmedAt() == START && feed.currentAt() == restoredAt && feed.eraState() == EraState::Restoring);
    feed.onWrittenAgain();
    feed.poll(restoredAt);
    feed.onRecords({ .nextOffset = 6, .era = SECOND }, restoredAt);
    cr_assert(feed.confirmedAt() == restoredAt);
}

Test(restoration, sourceThatIsRestoringConfirmsNothing)
{
    KeyedFeed feed = tailingFeed();
    feed.poll(START + Duration(500));
    feed.onRecords({ .nextOffset = 8, .era = FIRST, .eraState = EraState::Restoring }, START + Duration(500));
    cr_assert(feed.confirmedAt() == START);
}

Test(restoration, secondSnapshotDropsWhatWasNotWrittenAgain)
{
    constexpr Duration LONG_AFTER { 6000 };
    KeyedFeed feed = tailingFeed();
    readCopy(feed, START);
    cr_assert(feed.poll(START + LONG_AFTER)->kind == FeedRequest::Kind::ReadNewest);
    const auto update
        = feed.onPage({ .records = { record("a", "0") }, .endOffset = 6, .era = SECOND }, START + LONG_AFTER);
    cr_assert(update->replacesAll && !update->isRestored);
    cr_assert(feed.confirmedAt() == START + LONG_AFTER);
}

Test(restoration, snapshotPagesOfTwoErasAreNotMixed)
{
    KeyedFeed feed({});
    feed.poll(START);
    feed.onPage({ .records = { record("a", "1") }, .endOffset = 7, .era = FIRST, .continueAfter = "a" }, START);
    feed.poll(START);
    cr_assert_not(feed.onPage({ .records = { record("b", "1") }, .endOffset = 5, .era = SECOND }, START).has_value());
    const auto request = feed.poll(START);
    cr_assert(request->kind == FeedRequest::Kind::ReadNewest && request->after.empty());
}

Test(restoration, relayServesNewerRecordsThanCopy)
{
    RelayLog source;
    source.onUpdate(
        { .replacesAll = true, .records = { record("a", "1"), record("b", "1") } }, { true, true }, 7, FIRST);
    source.onUpdate({ .replacesAll = true, .records = { record("c", "0") }, .isRestored = true }, { true }, 5, SECOND);
    cr_assert_eq(source.newest()->records.size(), 3, "a and b are missing from the copy");
    cr_assert(source.newest()->era == SECOND);
}

// Guards against taking a copy for whole because it is the first that the host has read (review/9).
Test(restoration, firstSnapshotConfirmsNothingByItself)
{
    constexpr Duration LONG_AFTER { 6000 };
    KeyedFeed feed = unverifiedFeed();
    cr_assert(feed.isUnverified() && feed.currentAt() == START && !feed.confirmedAt());
    feed.poll(START);
    feed.onRecords({ .nextOffset = 7, .era = SECOND }, START + Duration(500));
    feed.onWrittenAgain();
    cr_assert(!feed.confirmedAt(), "a host that has only the copy does not know what was lost");
    cr_assert(feed.poll(START + LONG_AFTER)->kind == FeedRequest::Kind::ReadNewest);
    feed.onPage({ .records = { record("a", "2") }, .endOffset = 8, .era = SECOND }, START + LONG_AFTER);
    cr_assert(feed.confirmedAt() == START + LONG_AFTER);
}

Test(restoration, storeThatTellsNoEraIsConfirmedAtOnce)
{
    KeyedFeed feed({});
    feed.poll(START);
    feed.onPage({ .records = { record("a", "1") }, .endOffset = 7 }, START);
    cr_assert(!feed.isUnverified() && feed.confirmedAt() == START);
}

// Guards against confirming records that were read before it was known that their era is settled.
Test(restoration, recordOfSettledEraLetsNextReadConfirm)
{
    const TimePoint settledAt = START + Duration(20);
    KeyedFeed feed = unverifiedFeed();
    feed.poll(START);
    cr_assert_not(feed.onEraSettled(FIRST, settledAt), "the copy holds the record of its earlier era");
    cr_assert(feed.isUnverified());
    cr_assert(feed.onEraSettled(SECOND, settledAt));
    cr_assert(!feed.confirmedAt() && feed.eraState() == EraState::Restoring);
    cr_assert(feed.poll(settledAt) && !feed.isConfirmationDue());
    feed.onRecords({ .nextOffset = 7, .era = SECOND }, settledAt + Duration(5));
    cr_assert(feed.confirmedAt() && feed.eraState() == EraState::Settled);
}

Test(restoration, unverifiedHostFollowsSettledOne)
{
    KeyedFeed feed = unverifiedFeed();
    feed.poll(START);
    feed.onRecords({ .nextOffset = 7, .era = SECOND, .eraState = EraState::Restoring }, START);
    cr_assert(feed.isUnverified());
    feed.poll(START);
    feed.onRecords({ .nextOffset = 8, .era = SECOND, .eraState = EraState::Settled }, START + Duration(10));
    cr_assert(feed.isUnverified() && !feed.confirmedAt(), "the source may hold records that the copy lacks");
    cr_assert(feed.poll(START + Duration(10))->kind == FeedRequest::Kind::ReadNewest);
    feed.onPage({ .records = { record("a", "2") }, .endOffset = 8, .era = SECOND, .eraState = EraState::Settled },
        START + Duration(20));
    cr_assert(feed.confirmedAt() && feed.eraState() == EraState::Settled);
}

// Guards against hosts that refuse keys because the one that reads the store for them has just started.
Test(restoration, settledHostIsConfirmedByUnverifiedSource)
{
    KeyedFeed feed = tailingFeed();
    feed.poll(START + Duration(500));
    feed.onRecords({ .nextOffset = 8, .era = FIRST, .eraState = EraState::Unverified }, START + Duration(500));
    cr_assert(feed.confirmedAt() == START + Duration(500));
}

// Guards against a third host that takes the records for confirmed, though the one that it reads from could not.
Test(restoration, hostBehindRestoringSourceIsNoSettledSource)
{
    KeyedFeed feed = tailingFeed();
    cr_assert(feed.eraState() == EraState::Settled);
    feed.poll(START + Duration(500));
    feed.onRecords({ .nextOffset = 8, .era = FIRST, .eraState = EraState::Restoring }, START + Duration(500));
    cr_assert(feed.eraState() == EraState::Restoring);
}

// The host that is asked has not read the store since it came back. Guards against refusing what it knows because the
// newcomer is in a later era.
Test(restoration, unverifiedHostTakesSnapshotOfEarlierEra)
{
    const SnapshotPage known { .records = { record("a", "1"), record("b", "1") },
        .endOffset = 9,
        .era = FIRST,
        .eraState = EraState::Settled,
        .sourceAge = Duration(300) };
    KeyedFeed feed = unverifiedFeed();
    feed.poll(START);
    const FeedUpdate update = feed.adopt(known, START);
    cr_assert(update.replacesAll && !update.isRestored && update.records.size() == 2);
    cr_assert(feed.confirmedAt() == START - Duration(300) && feed.era() == FIRST && feed.offset() == 9);
    feed.poll(START);
    feed.onFailed(StoreError::HistoryLost, START);
    cr_assert(readCopy(feed, START).isRestored);
    cr_assert(feed.eraState() == EraState::Restoring);
}

Test(restoration, unverifiedHostThatTakesRecordsOfRestoringOneIsRestoring)
{
    KeyedFeed feed = unverifiedFeed();
    feed.adopt(
        { .records = { record("a", "1") }, .endOffset = 7, .era = SECOND, .eraState = EraState::Restoring }, START);
    cr_assert(feed.eraState() == EraState::Restoring && !feed.confirmedAt());
    feed.onWrittenAgain();
    feed.poll(START);
    feed.onRecords({ .nextOffset = 8, .era = SECOND }, START + Duration(10));
    cr_assert(feed.confirmedAt().has_value());
}

// Guards against a second restoration that makes a host believe that it has seen the first one.
Test(restoration, unverifiedHostStaysSoInNextEra)
{
    KeyedFeed feed = unverifiedFeed();
    feed.poll(START);
    feed.onFailed(StoreError::HistoryLost, START);
    feed.poll(START);
    feed.onPage({ .records = { record("a", "0") }, .endOffset = 5, .era = SECOND.next() }, START);
    feed.onWrittenAgain();
    cr_assert(feed.isUnverified() && !feed.confirmedAt());
    cr_assert_not(feed.onEraSettled(SECOND, START));
}

// Guards against sending to an upstream that has left, because the copy still names it.
Test(restoration, deletedKeyOfCopyIsNotUnknown)
{
    KnownKeys keys;
    keys.onRecord(record("a", "1"), START);
    keys.onRecord({ .key = "a" }, START);
    cr_assert_not(keys.isUnknown("a"));
    cr_assert(keys.isUnknown("b"));
    keys.onRecord(record("c", "1"), START + Duration(60'000));
    cr_assert(keys.isUnknown("a"), "a copy is not as old as that");
    cr_assert(keys.missingFrom({ record("b", "1") }) == std::vector<std::string> { "c" });
}
