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
constexpr Duration WAIT { 10'000 };

membership::Heartbeat sampleHeartbeat()
{
    membership::Heartbeat it { .sender = { HostId("h"), Incarnation(3) }, .sequence = 7 };
    it.report.loads = { { .upstream = membership::shortIdOf("u"), .inFlight = 2 } };
    it.report.suspensions = { { .version = { "m", "1" } } };
    return it;
}

}

Test(heartbeat, isReadBackWithTheKeyOnly)
{
    const std::string datagram = sealHeartbeat(KEY, sampleHeartbeat());
    const auto opened = openHeartbeat(KEY, datagram);
    cr_assert(opened && opened->sequence == 7 && opened->report.loads.at(0).inFlight == 2);
    cr_assert_not(openHeartbeat(OTHER_KEY, datagram).has_value());
}

Test(heartbeat, everyChangedDatagramIsDropped)
{
    const std::string datagram = sealHeartbeat(KEY, sampleHeartbeat());
    std::mt19937_64 random(1);
    for (int n = 0; n < 5000; ++n) {
        std::string bad = datagram;
        bad[random() % bad.size()] ^= static_cast<char>(1 + random() % 255);
        cr_assert_not(openHeartbeat(KEY, bad).has_value());
        cr_assert_not(openHeartbeat(KEY, datagram.substr(0, random() % datagram.size())).has_value());
    }
}

Test(heartbeat, isCutToOneDatagram)
{
    membership::Heartbeat large = sampleHeartbeat();
    for (int n = 0; n < 500; ++n)
        large.report.loads.push_back({ .upstream = membership::shortIdOf("upstream" + std::to_string(n)) });
    const std::string datagram = sealHeartbeat(KEY, large);
    cr_assert_leq(datagram.size(), MAX_DATAGRAM_BYTES);
    cr_assert(openHeartbeat(KEY, datagram).has_value());
}

namespace {

// Serves "count N": N pieces; "refuse"; "forever": pieces until cancelled.
bool serveTest(const std::string& payload, IPieceSink& sink)
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

std::unique_ptr<PeerServer> serverOn(std::uint16_t port, const SecretKey& key = KEY)
{
    auto server = PeerServer::start({ .ip = "127.0.0.77", .port = port }, key, serveTest);
    cr_assert(server.has_value());
    return std::move(server.value());
}

membership::HostAddress addressOf(std::uint16_t port) { return { .ip = "127.0.0.77", .peerPort = port }; }

}

Test(peercall, manyCallsShareAConnectionAndKeepTheirOrder)
{
    const auto server = serverOn(24401);
    PeerClient client(KEY);
    std::vector<std::shared_ptr<PeerCall>> calls;
    for (int n = 0; n < 20; ++n)
        calls.push_back(client.call(addressOf(24401), "300").value());
    // More pieces than the credit: the server waits for this receiver without holding up the other calls.
    for (const auto& call : calls) {
        for (int n = 0; n < 300; ++n)
            cr_assert(call->next(WAIT) == "piece" + std::to_string(n));
        cr_assert(call->next(WAIT).empty());
        cr_assert(call->end() == CallEnd::Complete);
    }
}

Test(peercall, refusalAndCancelAreTold)
{
    const auto server = serverOn(24402);
    PeerClient client(KEY);
    const auto refused = client.call(addressOf(24402), "refuse").value();
    cr_assert(refused->next(WAIT).empty());
    cr_assert(refused->end() == CallEnd::Refused);
    const auto endless = client.call(addressOf(24402), "forever").value();
    cr_assert_not(endless->next(WAIT).empty());
    endless->cancel();
    while (!endless->next(WAIT).empty()) { }
    cr_assert(endless->end() == CallEnd::Complete);
}

Test(peercall, brokenConnectionEndsItsCalls)
{
    auto server = serverOn(24403);
    PeerClient client(KEY);
    const auto call = client.call(addressOf(24403), "forever").value();
    cr_assert_not(call->next(WAIT).empty());
    server.reset();
    while (!call->next(WAIT).empty()) { }
    cr_assert(call->end() != CallEnd::Open);
}

Test(peercall, otherClusterKeyGetsNoAnswer)
{
    const auto server = serverOn(24404);
    PeerClient client(OTHER_KEY);
    const auto call = client.call(addressOf(24404), "1").value();
    cr_assert(call->next(WAIT).empty());
    cr_assert(call->end() == CallEnd::Broken);
}

Test(peercall, unreachablePeerIsAFailure)
{
    PeerClient client(KEY);
    cr_assert_not(client.call(addressOf(24499), "1").has_value());
}
