#include "fireflyhaven/cluster/groupwriter.h"

#include <random>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::cluster;

namespace {

Record recordOf(std::uint64_t sequence, Entry entry, std::uint64_t writer = 1)
{
    return { .id = { WriterId(writer), sequence }, .writtenMs = 1000, .entries = { std::move(entry) } };
}

ConfigEntry addDataCentre(const std::string& name, Offset revision = Offset(0), bool inService = true)
{
    return { .changes
        = { { config::Collection::DataCentres, name, revision, { { "region", "r" }, { "in_service", inService } } } } };
}

}

Test(record, encodeDecodeRoundTripForEveryKind)
{
    const membership::HostIncarnation incarnation { HostId("h"), Incarnation(3) };
    const idempotency::CallKey call { WorkspaceId("w"), IdempotencyKey("k") };
    const std::vector<Entry> entries { addDataCentre("dc1"), membership::JoinEntry { .host = HostId("h") },
        membership::AdmitEntry { .learners = { incarnation } }, membership::ConfirmEntry {},
        membership::LeaveEntry { incarnation }, membership::EvictEntry { .lives = { incarnation } },
        idempotency::ClaimEntry { .call = call, .holder = incarnation },
        idempotency::ResultEntry { .call = call, .body = "b\xff" }, quality::RatingsEntry { .good = 3 },
        quality::SuspendEntry { .version = { "m", "1" } },
        SnapshotEntry { .coveredOffset = Offset(4), .state = { 1 } } };
    cr_assert_eq(entries.size(), std::variant_size_v<Entry>);
    for (const Entry& entry : entries) {
        const std::string text = encodeRecord(recordOf(1, entry));
        const auto decoded = decodeRecord(text);
        cr_assert(decoded.has_value(), "%s", text.c_str());
        cr_assert_eq(decoded->entries.at(0).index(), entry.index());
        cr_assert(encodeRecord(*decoded) == text);
    }
}

Test(record, corruptedRecordsAreRejectedOrHarmless)
{
    const std::string text = encodeRecord(recordOf(1, addDataCentre("dc1")));
    std::mt19937_64 random(1);
    int rejected = 0;
    for (int n = 0; n < 20'000; ++n) {
        std::string bad = text;
        for (int k = 0; k < 3; ++k) {
            const std::size_t at = random() % bad.size();
            if (random() % 2)
                bad[at] = static_cast<char>(random());
            else
                bad.erase(at, random() % 8);
        }
        const auto record = decodeRecord(bad);
        rejected += record ? 0 : 1;
        ClusterFold fold;
        if (record)
            fold.apply(*record, Offset(1));
    }
    cr_assert_gt(rejected, 10'000);
    for (const char* bad : { "", "{}", "[]", "null", "{\"writer\":1,\"sequence\":1,\"written_ms\":1,\"entries\":[{}]}",
             "{\"writer\":-1,\"sequence\":1,\"written_ms\":1,\"entries\":[]}",
             "{\"writer\":1,\"sequence\":1,\"written_ms\":1,\"entries\":[{\"kind\":\"x\",\"body\":{}}]}" })
        cr_assert_not(decodeRecord(bad).has_value(), "%s", bad);
}

Test(clusterfold, duplicateRecordIsIgnored)
{
    ClusterFold fold;
    cr_assert(fold.apply(recordOf(1, addDataCentre("dc1")), Offset(1)).entries.at(0).accepted());
    cr_assert(fold.apply(recordOf(2, addDataCentre("dc1", Offset(1), false)), Offset(2)).entries.at(0).accepted());
    cr_assert(fold.apply(recordOf(1, addDataCentre("dc1", Offset(0))), Offset(3)).ignored);
    cr_assert_not(fold.config().lists().dataCentres.at(DataCentreId("dc1")).value.inService);
}

Test(clusterfold, snapshotPlusTailEqualsFullReplay)
{
    std::mt19937_64 random(3);
    ClusterFold fullReplay;
    std::optional<ClusterFold> restored;
    for (std::uint64_t n = 1; n <= 300; ++n) {
        const std::string name = "dc" + std::to_string(random() % 5);
        const auto* item = config::findItem(fullReplay.config().lists().dataCentres, DataCentreId(name));
        Entry entry = addDataCentre(name, item ? item->revision : Offset(0), random() % 2 == 0);
        if (n % 3 == 0)
            entry
                = idempotency::ClaimEntry { .call = { WorkspaceId("w"), IdempotencyKey(std::to_string(random() % 50)) },
                      .issuedMs = 500 };
        if (n % 7 == 0)
            entry = membership::JoinEntry {
                .host = HostId("h" + std::to_string(random() % 4)), .region = RegionId("r"), .writer = WriterId(n % 2)
            };
        const Record record = recordOf(n, entry, n % 2);
        fullReplay.apply(record, Offset(n));
        if (restored)
            restored->apply(record, Offset(n));
        if (n == 150)
            restored = ClusterFold::fromSnapshot(
                { .coveredOffset = Offset(n), .state = nlohmann::json::parse(fullReplay.snapshot().state.dump()) });
    }
    cr_assert(fullReplay.snapshot().state == restored->snapshot().state);
}

Test(clusterfold, singleWrongClockDoesNotMoveLogTime)
{
    ClusterFold fold;
    for (std::uint64_t n = 1; n <= 3; ++n)
        fold.apply(recordOf(1, membership::JoinEntry { .host = HostId(std::to_string(n)), .writer = WriterId(n) }, n),
            Offset(n));
    Record skewed = recordOf(2, quality::RatingsEntry {}, 3);
    skewed.writtenMs = 1'000'000'000;
    fold.apply(skewed, Offset(4));
    cr_assert_eq(fold.logTimeMs(), 1000);
}

Test(groupwriter, lostAppendResponseResolvedByReadBack)
{
    GroupWriter writer({ .writer = WriterId(9) });
    ClusterFold fold;
    const auto ticket = writer.submit(addDataCentre("dc1"));
    TimePoint now {};
    const auto record = writer.poll(now, WallTime {});
    cr_assert(record.has_value());
    // The record is in the log but the response to its append is lost, so the retry appends a duplicate.
    const RecordOutcome outcome = fold.apply(*record, Offset(1));
    writer.onAppendResponse(false, now);
    now += Duration(5000);
    const auto retry = writer.poll(now, WallTime {});
    cr_assert(retry.has_value() && retry->id == record->id);
    const auto outcomes = writer.onApplied(record->id, outcome, Offset(1));
    cr_assert_eq(outcomes.size(), 1);
    cr_assert(outcomes[0].ticket == *ticket && outcomes[0].outcome.accepted());
    cr_assert(fold.apply(*retry, Offset(2)).ignored);
    writer.onAppendResponse(true, now);
    cr_assert(writer.idle());
}

Test(groupwriter, retriesBackOffAndSentEntryIsNotCancellable)
{
    GroupWriter writer({ .writer = WriterId(9) });
    const auto sent = writer.submit(addDataCentre("dc1"));
    TimePoint now {};
    int appends = 0;
    for (int n = 0; n < 600; ++n) {
        if (writer.poll(now, WallTime {})) {
            ++appends;
            writer.onAppendResponse(false, now);
        }
        now += Duration(100);
    }
    cr_assert_lt(appends, 100, "retries back off");
    const auto queued = writer.submit(addDataCentre("dc2"));
    cr_assert(writer.cancel(*queued), "a queued entry was not sent");
    cr_assert_not(writer.cancel(*sent), "a sent entry may be in the log");
}

Test(groupwriter, rejectsEntriesBeyondQueueLimit)
{
    GroupWriter writer({ .writer = WriterId(9), .maxQueuedEntries = 2 });
    cr_assert(writer.submit(addDataCentre("a")).has_value());
    cr_assert(writer.submit(addDataCentre("b")).has_value());
    cr_assert_not(writer.submit(addDataCentre("c")).has_value());
}
