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
    // The records are of this era; without one the store does not tell it.
    explicit Source(std::optional<store::Era> era = std::nullopt)
        : server(loop.io(), loop.clock(), [this](store::Topic) { return &feed; })
        , address(loop.freeEndpoint(http::test::uniqueLoopbackIp()))
    {
        const store::SnapshotPage page { .records
            = { { .key = "config", .value = LARGE_VALUE }, { .key = "small", .value = "1" } },
            .endOffset = 7,
            .era = era };
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
        source.address, store::Topic::Operator, SnapshotKind::Any, [&](std::size_t bytes) { received = bytes; },
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
        source.address, store::Topic::Operator, SnapshotKind::Any, [](std::size_t) {},
        [&](const auto&) { reported = true; });
    client.cancel(call);
    source.loop.runPending();
    cr_assert_not(reported);
}

// A host that has started asks for verified records, and this one has only the store's own. Guards against hosts that
// verify each other's copies.
Test(peerRelay, unverifiedHostRefusesToVerify)
{
    Source source(store::Era(2));
    RelayClient client(source.loop.io(), source.loop.clock());
    std::optional<store::Outcome<store::SnapshotPage>> verified;
    std::optional<store::Outcome<store::SnapshotPage>> any;
    client.readNewest(
        source.address, store::Topic::Operator, SnapshotKind::Verified, [](std::size_t) {},
        [&](const auto& outcome) { verified = outcome; });
    client.readNewest(
        source.address, store::Topic::Operator, SnapshotKind::Any, [](std::size_t) {},
        [&](const auto& outcome) { any = outcome; });
    source.loop.runUntil([&] { return verified && any; }, "both answers have arrived");
    cr_assert(!verified->value && any->value);
    cr_assert(any->value->eraState == store::EraState::Unverified && any->value->era == store::Era(2));
    source.feed.onEraSettled(store::Era(2), source.loop.clock().now());
    source.feed.poll(source.loop.clock().now());
    source.feed.onRecords({ .nextOffset = 7, .era = store::Era(2) }, source.loop.clock().now());
    verified.reset();
    client.readNewest(
        source.address, store::Topic::Operator, SnapshotKind::Verified, [](std::size_t) {},
        [&](const auto& outcome) { verified = outcome; });
    source.loop.runUntil([&] { return verified.has_value(); }, "the answer has arrived");
    cr_assert(verified->value && verified->value->eraState == store::EraState::Settled);
}

// The earlier build's answers end before the packed records. Guards against taking such a host for one that knows
// nothing of the era.
Test(peerRelay, answerOfEarlierBuildTellsWhetherItIsSettled)
{
    constexpr std::size_t LATER_BYTES = sizeof(std::uint64_t) + sizeof(bool);
    Source source(store::Era(2));
    const auto http = http::EventClient::create(source.loop.io(), source.loop.clock());
    http::test::RecordingResponseObserver answer;
    const auto call = http->start(source.address, { .head = { .method = "GET", .target = "/newest?topic=0" } }, answer);
    source.loop.runUntil([&] { return answer.isDone(); }, "the answer has arrived");
    const std::string earlier = answer.body.substr(0, answer.body.size() - LATER_BYTES);
    const http::Endpoint address = source.loop.freeEndpoint(http::test::uniqueLoopbackIp(2));
    const auto server = http::EventServer::start(source.loop.io(), source.loop.clock(), { .listen = address },
        [&](const auto& exchange) { exchange->sendResponse({ .status = 200 }, earlier); });
    cr_assert(server);
    RelayClient client(source.loop.io(), source.loop.clock());
    std::optional<store::Outcome<store::SnapshotPage>> page;
    client.readNewest(
        address, store::Topic::Operator, SnapshotKind::Verified, [](std::size_t) {},
        [&](const auto& outcome) { page = outcome; });
    source.loop.runUntil([&] { return page.has_value(); }, "the answer has been read");
    cr_assert(page->value && page->value->era == store::Era(2) && page->value->records.size() == 2);
    cr_assert(page->value->eraState == store::EraState::Restoring, "what an unverified host tells earlier builds");
}

// Guards against a part of another host's answer that is taken for its records.
Test(peerRelay, brokenAnswerIsAFailure)
{
    for (const std::string bytes :
        { "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: odd\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\npart",
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart" }) {
        EventLoop loop;
        http::test::Tcp::acceptor acceptor(
            loop.io(), { boost::asio::ip::make_address(http::test::uniqueLoopbackIp()), 0 });
        RelayClient client(loop.io(), loop.clock());
        std::optional<store::StoreError> error;
        client.readNewest(
            { .ip = http::test::uniqueLoopbackIp(), .port = acceptor.local_endpoint().port() }, store::Topic::Operator,
            SnapshotKind::Any, [](std::size_t) {},
            [&](const auto& outcome) {
                cr_assert_not(outcome.value.has_value());
                error = outcome.error;
            });
        http::test::RawPeer host(loop, acceptor.accept());
        host.await("\r\n\r\n");
        host.send(bytes);
        loop.runPending();
        host.reset();
        loop.runUntil([&] { return error.has_value(); }, "the call has an outcome");
        cr_assert(error == store::StoreError::NotExecuted || error == store::StoreError::Malformed);
    }
}
