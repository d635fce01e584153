#include "../../http/tests/clientfixture.h"
#include "../internal/peerrelay.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::entry;
using http::test::EventLoop;

namespace {

const std::string LARGE_VALUE = std::string(100'000, 'x') + "end";

// A host that has read one large and one small record, on a loopback address.
struct Source {
    Source()
        : server(loop.io(), loop.clock(), [this](store::Topic) { return &feed; })
        , address(loop.freeEndpoint(http::test::uniqueLoopbackIp()))
    {
        const store::SnapshotPage page {
            .records = { { .key = "config", .value = LARGE_VALUE }, { .key = "small", .value = "1" } }, .endOffset = 7
        };
        feed.poll(loop.clock().now());
        const store::FeedUpdate update = *feed.onPage(page, loop.clock().now());
        cr_assert(server.listen(address));
        server.onUpdate(store::Topic::Operator, update, std::vector<bool>(update.records.size(), true));
    }

    EventLoop loop;
    store::KeyedFeed feed { store::FeedOptions {} };
    RelayServer server;
    http::Endpoint address;
};

}

Test(peerRelay, largeRecordsArriveWithTheOthers)
{
    Source source;
    RelayClient client(source.loop.io(), source.loop.clock());
    std::optional<store::SnapshotPage> page;
    std::size_t received = 0;
    client.readNewest(
        source.address, store::Topic::Operator, [&](std::size_t bytes) { received = bytes; },
        [&](const auto& outcome) { page = outcome.value; });
    source.loop.runUntil([&] { return page.has_value(); }, "the answer has arrived");
    std::map<std::string, std::string> values;
    for (const store::KeyedRecord& it : page->records)
        values[it.key] = it.value.value_or("");
    cr_assert_eq(values.size(), 2);
    cr_assert(values["config"] == LARGE_VALUE && values["small"] == "1");
    cr_assert_eq(page->endOffset, 7);
    cr_assert_lt(received * 4, LARGE_VALUE.size(), "large records are transferred compressed");
}

// Guards against answers that a host of an earlier build cannot read: it does not ask for packed records.
Test(peerRelay, hostOfEarlierBuildIsAnsweredUnpacked)
{
    Source source;
    const auto client = http::EventClient::create(source.loop.io(), source.loop.clock());
    http::test::RecordingResponseObserver response;
    const auto call
        = client->start(source.address, { .head = { .method = "GET", .target = "/newest?topic=0" } }, response);
    source.loop.runUntil([&] { return response.isDone(); }, "the answer has arrived");
    cr_assert_eq(response.status, 200);
    cr_assert(response.body.find(LARGE_VALUE) != std::string::npos);
}

// Guards against an answer that is reported although nobody awaits it any longer.
Test(peerRelay, cancelledCallReportsNothing)
{
    Source source;
    RelayClient client(source.loop.io(), source.loop.clock());
    bool reported = false;
    const RelayCallId call = client.readNewest(
        source.address, store::Topic::Operator, [](std::size_t) {}, [&](const auto&) { reported = true; });
    client.cancel(call);
    source.loop.runPending();
    cr_assert_not(reported);
}
