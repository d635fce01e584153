#include "fireflyhaven/billing/billholder.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::billing;

namespace {

HolderOptions optionsOf(const std::string& host, std::size_t maxWaiting = 100)
{
    return { .self = HostId(host), .dataCentre = DataCentreId("dc1"), .maxWaiting = maxWaiting };
}

Bill billOf(const std::string& request)
{
    return { .workspace = WorkspaceId("w"),
        .request = RequestId(request),
        .attempts = { { .cost = { 5 } }, { .cost = { 7 } } } };
}

const TimePoint NOW { Duration(100'000) };
// After the linger of every bill.
const TimePoint LATER = NOW + Duration(5000);
const std::vector<PeerHost> PEERS { { HostId("near"), DataCentreId("dc1") }, { HostId("far1"), DataCentreId("dc2") },
    { HostId("far2"), DataCentreId("dc3") } };

}

Test(bill, holdsEveryAttempt) { cr_assert_eq(billOf("r").total().micros, 12); }

Test(billholder, copiesGoToOtherDataCentresFirst)
{
    BillHolder holder(optionsOf("h"));
    const std::vector<HostId> targets = holder.hold(billOf("r"), PEERS, NOW);
    cr_assert_eq(targets.size(), 2);
    cr_assert_eq(std::count(targets.begin(), targets.end(), HostId("near")), 0);
}

Test(billholder, answerMayLeaveOnlyOnceTheBillIsSafe)
{
    BillHolder holder(optionsOf("h"));
    holder.hold(billOf("r"), PEERS, NOW);
    cr_assert_not(holder.isSafe("w/r"));
    holder.onCopyStored("w/r", HostId("far1"));
    cr_assert(holder.isSafe("w/r"), "a peer holds it");
    BillHolder alone(optionsOf("h"));
    alone.hold(billOf("r"), {}, NOW);
    cr_assert_not(alone.isSafe("w/r"));
    cr_assert_eq(alone.nextBatch(NOW).size(), 1, "nobody can copy it, so it is due at once");
    alone.onAppended(false);
    cr_assert_not(alone.isSafe("w/r"), "an append of unknown outcome proves nothing");
    cr_assert_eq(alone.nextBatch(LATER).size(), 1, "it is sent again");
    alone.onAppended(true);
    cr_assert(alone.isSafe("w/r"));
    cr_assert(alone.idle());
}

Test(billholder, billsWithCopiesShareAnAppendAndOthersDoNotWait)
{
    BillHolder holder(optionsOf("h"));
    holder.hold(billOf("r1"), PEERS, NOW);
    holder.onCopyStored("w/r1", HostId("far1"));
    cr_assert(holder.nextBatch(NOW + Duration(1000)).empty());
    holder.hold(billOf("r2"), PEERS, NOW + Duration(1000));
    cr_assert_eq(holder.nextBatch(NOW + Duration(1100)).size(), 2, "the second has no copy yet");
    holder.onAppended(true);
    holder.hold(billOf("r3"), PEERS, NOW);
    holder.onCopyStored("w/r3", HostId("far1"));
    holder.stopLingering();
    cr_assert_eq(holder.nextBatch(NOW).size(), 1);
}

Test(billholder, peerAppendsTheBillsOfADeadHolder)
{
    BillHolder peer(optionsOf("far1"));
    peer.storeCopy(HostId("h"), billOf("r1"));
    peer.storeCopy(HostId("h"), billOf("r2"));
    peer.releaseCopies(HostId("h"), { "w/r1" });
    cr_assert(peer.nextBatch(LATER).empty());
    peer.onHolderGone(HostId("h"));
    const std::vector<Bill> batch = peer.nextBatch(LATER);
    cr_assert_eq(batch.size(), 1);
    cr_assert(batch[0].key() == "w/r2");
    peer.onAppended(true);
    cr_assert_eq(peer.copiesHeld(), 0);
}

Test(billholder, copiesAreReleasedOnceTheBillIsInTheLog)
{
    BillHolder holder(optionsOf("h"));
    holder.hold(billOf("r"), PEERS, NOW);
    holder.onCopyStored("w/r", HostId("far1"));
    holder.nextBatch(LATER);
    holder.onAppended(true);
    holder.onCopyStored("w/r", HostId("far2"));
    const auto released = holder.takeReleased();
    cr_assert_eq(released.size(), 2, "a copy that is stored late is released too");
    cr_assert(holder.takeReleased().empty());
}

Test(billholder, takesNothingBeyondItsBoundDuringAnOutage)
{
    BillHolder holder(optionsOf("h", 3));
    for (int n = 0; n < 3; ++n) {
        cr_assert(holder.accepting());
        holder.hold(billOf(std::to_string(n)), PEERS, NOW);
        holder.nextBatch(LATER);
        holder.onAppended(false);
    }
    cr_assert_not(holder.accepting());
    holder.nextBatch(LATER);
    holder.onAppended(true);
    cr_assert(holder.accepting());
}
