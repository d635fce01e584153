#include "fireflyhaven/peer/heartbeatsocket.h"
#include "fireflyhaven/peer/peerclient.h"
#include "fireflyhaven/peer/peerserver.h"

#include <random>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::peer;

namespace {

const SecretKey KEY = SecretKey::fromText("a key for the tests").value();
const SecretKey OTHER_KEY = SecretKey::fromText("another key for tests").value();
constexpr Duration ANSWER_TIMEOUT { 10'000 };

membership::Heartbeat sampleHeartbeat()
{
    membership::Heartbeat it { .sender = { HostId("h"), Incarnation(3) }, .sequence = 7 };
    it.report.loads = { { .upstream = membership::shortIdOf("u"), .inFlight = 2 } };
    it.report.suspensions = { { .version = { "m", "1" } } };
    return it;
}

}

Test(heartbeat, decodesOnlyWithSameKey)
{
    const std::string datagram = encodeHeartbeat(KEY, sampleHeartbeat());
    const auto decoded = decodeHeartbeat(KEY, datagram);
    cr_assert(decoded && decoded->sequence == 7 && decoded->report.loads.at(0).inFlight == 2);
    cr_assert_not(decodeHeartbeat(OTHER_KEY, datagram).has_value());
}

Test(heartbeat, rejectsCorruptedAndTruncatedDatagrams)
{
    const std::string datagram = encodeHeartbeat(KEY, sampleHeartbeat());
    std::mt19937_64 random(1);
    for (int n = 0; n < 5000; ++n) {
        std::string corrupted = datagram;
        corrupted[random() % corrupted.size()] ^= static_cast<char>(1 + random() % 255);
        cr_assert_not(decodeHeartbeat(KEY, corrupted).has_value());
        cr_assert_not(decodeHeartbeat(KEY, datagram.substr(0, random() % datagram.size())).has_value());
    }
}

Test(heartbeat, truncatesReportToDatagramLimit)
{
    membership::Heartbeat oversized = sampleHeartbeat();
    for (int n = 0; n < 500; ++n)
        oversized.report.loads.push_back({ .upstream = membership::shortIdOf("upstream" + std::to_string(n)) });
    const std::string datagram = encodeHeartbeat(KEY, oversized);
    cr_assert_leq(datagram.size(), MAX_DATAGRAM_BYTES);
    cr_assert(decodeHeartbeat(KEY, datagram).has_value());
}

namespace {

// Answers "refuse" with a refusal, "forever" with pieces until the call is cancelled, and a number N with N pieces.
bool handleTestCall(const std::string& payload, IPieceSink& sink)
{
    if (payload == "refuse")
        return false;
    if (payload == "forever") {
        while (sink.write("x")) { }
        return true;
    }
    for (int n = 0; n < std::stoi(payload); ++n)
        sink.write("piece" + std::to_string(n));
    return true;
}

std::unique_ptr<PeerServer> startServer(std::uint16_t port, const SecretKey& key = KEY)
{
    auto server = PeerServer::start({ .ip = "127.0.0.77", .port = port }, key, handleTestCall);
    cr_assert(server.has_value());
    return std::move(server.value());
}

membership::HostAddress addressOf(std::uint16_t port) { return { .ip = "127.0.0.77", .peerPort = port }; }

}

Test(peercall, concurrentCallsKeepPieceOrder)
{
    const auto server = startServer(24401);
    PeerClient client(KEY);
    std::vector<std::shared_ptr<PeerCall>> calls;
    for (int n = 0; n < 20; ++n)
        calls.push_back(client.call(addressOf(24401), "300").value());
    // Each answer has more pieces than the credit: the server blocks on one channel without delaying other calls.
    for (const auto& call : calls) {
        for (int n = 0; n < 300; ++n)
            cr_assert(call->next(ANSWER_TIMEOUT) == "piece" + std::to_string(n));
        cr_assert(call->next(ANSWER_TIMEOUT).empty());
        cr_assert(call->end() == CallEnd::Complete);
    }
}

Test(peercall, reportsRefusalAndCancellation)
{
    const auto server = startServer(24402);
    PeerClient client(KEY);
    const auto refusedCall = client.call(addressOf(24402), "refuse").value();
    cr_assert(refusedCall->next(ANSWER_TIMEOUT).empty());
    cr_assert(refusedCall->end() == CallEnd::Refused);
    const auto endlessCall = client.call(addressOf(24402), "forever").value();
    cr_assert_not(endlessCall->next(ANSWER_TIMEOUT).empty());
    endlessCall->cancel();
    while (!endlessCall->next(ANSWER_TIMEOUT).empty()) { }
    cr_assert(endlessCall->end() == CallEnd::Complete);
}

Test(peercall, brokenConnectionEndsCalls)
{
    auto server = startServer(24403);
    PeerClient client(KEY);
    const auto call = client.call(addressOf(24403), "forever").value();
    cr_assert_not(call->next(ANSWER_TIMEOUT).empty());
    server.reset();
    while (!call->next(ANSWER_TIMEOUT).empty()) { }
    cr_assert(call->end() != CallEnd::Open);
}

Test(peercall, wrongClusterKeyBreaksConnection)
{
    const auto server = startServer(24404);
    PeerClient client(OTHER_KEY);
    const auto call = client.call(addressOf(24404), "1").value();
    cr_assert(call->next(ANSWER_TIMEOUT).empty());
    cr_assert(call->end() == CallEnd::Broken);
}

Test(peercall, unreachablePeerFailsCall)
{
    PeerClient client(KEY);
    cr_assert_not(client.call(addressOf(24499), "1").has_value());
}
