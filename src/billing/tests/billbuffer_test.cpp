#include "fireflyhaven/billing/billbuffer.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::billing;

namespace {

BillBufferOptions optionsOf(const std::string& host, std::size_t maxPendingBills = 100)
{
    return { .self = HostId(host), .dataCentre = DataCentreId("dc1"), .maxPendingBills = maxPendingBills };
}

Bill billOf(const std::string& request)
{
    return { .workspace = WorkspaceId("w"),
        .request = RequestId(request),
        .attempts = { { .cost = { 5 } }, { .cost = { 7 } } } };
}

const TimePoint NOW { Duration(100'000) };
// After the linger time of every bill.
const TimePoint LATER = NOW + Duration(5000);
const std::vector<PeerHost> PEERS { { HostId("near"), DataCentreId("dc1") }, { HostId("far1"), DataCentreId("dc2") },
    { HostId("far2"), DataCentreId("dc3") } };

}

Test(bill, totalSumsAllAttempts) { cr_assert_eq(billOf("r").total().micros, 12); }

Test(billbuffer, copiesPreferOtherDataCentres)
{
    BillBuffer buffer(optionsOf("h"));
    const std::vector<HostId> targets = buffer.enqueue(billOf("r"), PEERS, NOW);
    cr_assert_eq(targets.size(), 2);
    cr_assert_eq(std::count(targets.begin(), targets.end(), HostId("near")), 0);
}

Test(billbuffer, billIsDurableOnceCopiedOrAppended)
{
    BillBuffer buffer(optionsOf("h"));
    buffer.enqueue(billOf("r"), PEERS, NOW);
    cr_assert_not(buffer.isDurable("w/r"));
    buffer.onCopyStored("w/r", HostId("far1"));
    cr_assert(buffer.isDurable("w/r"), "a peer stores a copy");
    BillBuffer alone(optionsOf("h"));
    alone.enqueue(billOf("r"), {}, NOW);
    cr_assert_not(alone.isDurable("w/r"));
    cr_assert_eq(alone.nextBatch(NOW).size(), 1, "without peers the bill is due at once");
    alone.onAppended(false);
    cr_assert_not(alone.isDurable("w/r"), "an append of unknown outcome does not make the bill durable");
    cr_assert_eq(alone.nextBatch(LATER).size(), 1, "the append is retried");
    alone.onAppended(true);
    cr_assert(alone.isDurable("w/r"));
    cr_assert(alone.idle());
}

Test(billbuffer, copiedBillsLingerAndUncopiedBillsAreDue)
{
    BillBuffer buffer(optionsOf("h"));
    buffer.enqueue(billOf("r1"), PEERS, NOW);
    buffer.onCopyStored("w/r1", HostId("far1"));
    cr_assert(buffer.nextBatch(NOW + Duration(1000)).empty());
    buffer.enqueue(billOf("r2"), PEERS, NOW + Duration(1000));
    cr_assert_eq(
        buffer.nextBatch(NOW + Duration(1100)).size(), 2, "the second bill has no copy within the copy timeout");
    buffer.onAppended(true);
    buffer.enqueue(billOf("r3"), PEERS, NOW);
    buffer.onCopyStored("w/r3", HostId("far1"));
    buffer.disableLinger();
    cr_assert_eq(buffer.nextBatch(NOW).size(), 1);
}

Test(billbuffer, peerAppendsBillsOfRemovedHost)
{
    BillBuffer peer(optionsOf("far1"));
    peer.storeCopy(HostId("h"), billOf("r1"));
    peer.storeCopy(HostId("h"), billOf("r2"));
    peer.releaseCopies(HostId("h"), { "w/r1" });
    cr_assert(peer.nextBatch(LATER).empty());
    peer.onOriginRemoved(HostId("h"));
    const std::vector<Bill> batch = peer.nextBatch(LATER);
    cr_assert_eq(batch.size(), 1);
    cr_assert(batch[0].key() == "w/r2");
    peer.onAppended(true);
    cr_assert_eq(peer.copyCount(), 0);
}

Test(billbuffer, copiesReleasedAfterAppend)
{
    BillBuffer buffer(optionsOf("h"));
    buffer.enqueue(billOf("r"), PEERS, NOW);
    buffer.onCopyStored("w/r", HostId("far1"));
    buffer.nextBatch(LATER);
    buffer.onAppended(true);
    buffer.onCopyStored("w/r", HostId("far2"));
    const auto released = buffer.takeReleasedCopies();
    cr_assert_eq(released.size(), 2, "a copy stored after the append is released too");
    cr_assert(buffer.takeReleasedCopies().empty());
}

Test(billbuffer, notAcceptingAtBoundDuringLogOutage)
{
    BillBuffer buffer(optionsOf("h", 3));
    for (int n = 0; n < 3; ++n) {
        cr_assert(buffer.accepting());
        buffer.enqueue(billOf(std::to_string(n)), PEERS, NOW);
        buffer.nextBatch(LATER);
        buffer.onAppended(false);
    }
    cr_assert_not(buffer.accepting());
    buffer.nextBatch(LATER);
    buffer.onAppended(true);
    cr_assert(buffer.accepting());
}
