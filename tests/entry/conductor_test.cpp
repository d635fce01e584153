#include "../../src/entry/internal/conductor.h"

#include "memorystore.h"
#include "platform/wirecodec.h"

#include <criterion/criterion.h>

// Two hosts that write the status of a roll-out in turn, on a virtual clock, before one store.
using namespace fireflyhaven;
using fireflyhaven::test::MemoryStore;
using fireflyhaven::test::SharedRecords;

namespace {

constexpr Duration START { 1'000'000 };
const ServiceName SERVICE("s");
const catalog::SoftwareVersion TARGET("v2");

struct Writer {
    Writer(const char* host, boost::asio::io_context& loop, SharedRecords& records, const IClock& clock)
        : store(loop, records)
        , conductor({ .host = HostId(host),
              .clock = clock,
              .codec = codec,
              .store = store,
              .catalog = catalog,
              .balancer = balancer,
              .peers = peers,
              .board = board })
    {
        board.onOrder({ .service = SERVICE, .target = TARGET, .duration = Duration(24'000) }, clock.now());
    }

    platform::WireCodec codec;
    MemoryStore store;
    catalog::Catalog catalog;
    fleet::PeerLoad peers;
    balancing::Balancer balancer { catalog, peers, {} };
    rollout::RolloutController board;
    entry::Conductor conductor;
};

VirtualClock startedClock()
{
    VirtualClock it;
    it.advance(START);
    return it;
}

class Pair {
public:
    // Lets both tick for so long; each believes what is given of being the writer.
    void run(Duration time, bool firstWrites, bool secondWrites)
    {
        for (const TimePoint end = clock.now() + time; clock.now() < end; clock.advance(Duration(100))) {
            if (!firstPaused)
                first.conductor.tick(firstWrites, clock.now());
            second.conductor.tick(secondWrites, clock.now());
            loop.restart();
            loop.poll();
        }
    }
    std::size_t written() { return records.topics[store::Topic::Status].size(); }

    boost::asio::io_context loop;
    SharedRecords records;
    VirtualClock clock = startedClock();
    Writer first { "a", loop, records, clock };
    Writer second { "b", loop, records, clock };
    bool firstPaused = false;
};

}

Test(conductor, atAHandOverNothingIsWrittenTwice)
{
    Pair it;
    it.run(Duration(500), true, false);
    cr_assert_eq(it.written(), 1);
    it.run(Duration(2'000), false, true);
    cr_assert_eq(it.written(), 1, "the second host knew nothing of the first one's write");
}

Test(conductor, aWriterThatWasPausedDoesNotWriteOverItsSuccessor)
{
    Pair it;
    it.run(Duration(500), true, false);
    it.firstPaused = true;
    it.second.board.onStatus({ .service = SERVICE, .target = TARGET, .phase = catalog::RolloutPhase::Running });
    for (int n = 0; n < 100; ++n)
        it.second.board.onAnswer({ .service = SERVICE,
                                     .route = catalog::RouteName("r"),
                                     .version = TARGET,
                                     .upstream = UpstreamId("u" + std::to_string(n % 4)),
                                     .failed = true },
            it.clock.now());
    it.run(Duration(1'000), false, true);
    cr_assert_eq(it.written(), 2, "running, then rolled back");
    const auto last = it.records.topics[store::Topic::Status].back();
    it.firstPaused = false;
    it.first.board.onOrder(
        { .service = SERVICE, .target = catalog::SoftwareVersion("v3"), .duration = Duration(24'000) }, it.clock.now());
    it.first.board.onOrder({ .service = SERVICE, .target = TARGET, .duration = Duration(24'000) }, it.clock.now());
    it.run(Duration(2'000), true, false);
    cr_assert_eq(it.written(), 2, "it writes nothing");
    cr_assert(it.records.topics[store::Topic::Status].back().value == last.value);
}

Test(conductor, bothAtOnceWriteEachStatusOnce)
{
    Pair it;
    it.run(Duration(3'000), true, true);
    cr_assert_eq(it.written(), 1);
}
