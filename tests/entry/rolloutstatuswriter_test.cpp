#include "../../src/entry/internal/rolloutstatuswriter.h"

#include "memorystore.h"
#include "platform/wirecodec.h"

#include <criterion/criterion.h>

// Two hosts that write roll-out statuses to one shared store, on a virtual clock.
using namespace fireflyhaven;
using fireflyhaven::test::MemoryStore;
using fireflyhaven::test::SharedRecords;

namespace {

constexpr Duration START { 1'000'000 };
const ServiceName SERVICE("s");
const catalog::SoftwareVersion TARGET("v2");

struct WriterHost {
    WriterHost(const char* host, boost::asio::io_context& loop, SharedRecords& records, const IClock& clock)
        : store(loop, records)
        , statusWriter({ .host = HostId(host),
              .clock = clock,
              .codec = codec,
              .store = store,
              .catalog = catalog,
              .balancer = balancer,
              .peers = peers,
              .rollouts = rollouts })
    {
        rollouts.onOrder({ .service = SERVICE, .target = TARGET, .duration = Duration(24'000) }, clock.now());
    }

    platform::WireCodec codec;
    MemoryStore store;
    catalog::Catalog catalog;
    fleet::PeerLoad peers;
    ratelimit::LimitTable limits;
    balancing::Balancer balancer { catalog, peers, limits, {} };
    rollout::RolloutController rollouts;
    entry::RolloutStatusWriter statusWriter;
};

VirtualClock startedClock()
{
    VirtualClock it;
    it.advance(START);
    return it;
}

class WriterPair {
public:
    // Ticks both hosts for the given time; the flags set which of them act as elected writer.
    void run(Duration runTime, bool firstWrites, bool secondWrites)
    {
        for (const TimePoint end = clock.now() + runTime; clock.now() < end; clock.advance(Duration(100))) {
            if (!firstPaused)
                first.statusWriter.tick(firstWrites, clock.now());
            second.statusWriter.tick(secondWrites, clock.now());
            loop.restart();
            loop.poll();
        }
    }
    std::size_t writtenCount() { return records.topics[store::Topic::Status].size(); }

    boost::asio::io_context loop;
    SharedRecords records;
    VirtualClock clock = startedClock();
    WriterHost first { "a", loop, records, clock };
    WriterHost second { "b", loop, records, clock };
    bool firstPaused = false;
};

}

Test(rollout_status_writer, handoverWritesNoStatusTwice)
{
    WriterPair it;
    it.run(Duration(500), true, false);
    cr_assert_eq(it.writtenCount(), 1);
    it.run(Duration(2'000), false, true);
    cr_assert_eq(it.writtenCount(), 1, "the second host wrote a status that the first one had already written");
}

// Guards against a paused writer that resumes after a handover and overwrites the status of its successor.
Test(rollout_status_writer, pausedWriterIsFencedBySuccessor)
{
    WriterPair it;
    it.run(Duration(500), true, false);
    it.firstPaused = true;
    it.second.rollouts.onStatus({ .service = SERVICE, .target = TARGET, .phase = catalog::RolloutPhase::Running });
    for (int n = 0; n < 100; ++n)
        it.second.rollouts.onAnswer({ .service = SERVICE,
                                        .route = catalog::RouteName("r"),
                                        .version = TARGET,
                                        .upstream = UpstreamId("u" + std::to_string(n % 4)),
                                        .kind = rollout::AnswerKind::Failed },
            it.clock.now());
    it.run(Duration(1'000), false, true);
    cr_assert_eq(it.writtenCount(), 2, "expected one running and one rolled-back status");
    const auto last = it.records.topics[store::Topic::Status].back();
    it.firstPaused = false;
    it.first.rollouts.onOrder(
        { .service = SERVICE, .target = catalog::SoftwareVersion("v3"), .duration = Duration(24'000) }, it.clock.now());
    it.first.rollouts.onOrder({ .service = SERVICE, .target = TARGET, .duration = Duration(24'000) }, it.clock.now());
    it.run(Duration(2'000), true, false);
    cr_assert_eq(it.writtenCount(), 2, "the fenced host wrote a status");
    cr_assert(it.records.topics[store::Topic::Status].back().value == last.value);
}

Test(rollout_status_writer, concurrentWritersWriteEachStatusOnce)
{
    WriterPair it;
    it.run(Duration(3'000), true, true);
    cr_assert_eq(it.writtenCount(), 1);
}
