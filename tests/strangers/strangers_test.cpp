#include "hostprocess.h"

#include <criterion/criterion.h>

// Clients that keep to no limits must not end a host: it lives, stays within the memory and the descriptors of its
// machine, and answers an ordinary request while they are still there.
using namespace fireflyhaven;
using namespace fireflyhaven::test;

namespace {

// Connections of a crowd; twice the memory of the machine in bodies of legal size.
constexpr std::size_t CROWD = 32;
// What one client sends that does not end: more than the memory of the machine.
constexpr std::size_t ENDLESS_BYTES = 96'000'000;
constexpr std::size_t PIECE_BYTES = 64 * 1024;
constexpr std::size_t MEMORY_BYTES = MEMORY_MB * 1'000'000;

void checkHost(HostProcess& host)
{
    cr_assert(host.isRunning(), "the process has ended");
    host.awaitRead();
    cr_assert(host.answersOrdinaryRequest(), "an ordinary request is not answered");
    cr_assert(host.isRunning(), "the process has ended");
    cr_expect_leq(host.peakMemoryBytes(), MEMORY_BYTES, "%zu bytes of memory", host.peakMemoryBytes());
    cr_expect_leq(host.openDescriptors(), MAX_DESCRIPTORS, "%zu descriptors", host.openDescriptors());
}

std::string chunkedHead(const std::string& target)
{
    return requestHead("POST", target) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string headWithLength(const std::string& target, std::size_t bytes, const std::string& key = "secret")
{
    return requestHead("POST", target, key) + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

std::string chunk(std::size_t bytes)
{
    std::array<char, 16> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes);
    return size.data() + std::string(bytes, 'b') + "\r\n";
}

// Each client of the crowd sends these bytes and stays.
void checkCrowd(HostProcess& host, const http::Endpoint& address, const std::function<std::string()>& bytes)
{
    std::list<Stranger> crowd;
    for (std::size_t n = 0; n < CROWD; ++n)
        crowd.emplace_back(address).send(bytes());
    checkHost(host);
}

void checkEndless(const std::string& begin, const std::string& block)
{
    HostProcess host;
    Stranger stranger(host.frontend());
    stranger.send(begin);
    stranger.sendRepeatedly(block, ENDLESS_BYTES);
    checkHost(host);
}

}

Test(strangers, trailersWithoutEnd, .timeout = 120)
{
    checkEndless(chunkedHead("/order/x") + "5\r\norder\r\n0\r\n", "X-Trailer: " + std::string(1000, 'a') + "\r\n");
}

Test(strangers, chunkExtensionWithoutEnd, .timeout = 120)
{
    checkEndless(chunkedHead("/order/x") + "5;name=", std::string(1000, 'a'));
}

Test(strangers, announcedBodyFarOverTheLimit, .timeout = 120)
{
    checkEndless(headWithLength("/order/x", ENDLESS_BYTES), std::string(PIECE_BYTES, 'b'));
}

Test(strangers, unannouncedBodyFarOverTheLimit, .timeout = 120)
{
    checkEndless(chunkedHead("/order/x"), chunk(PIECE_BYTES));
}

// The answers are never read.
Test(strangers, pipelinedRequestsWithoutEnd, .timeout = 120)
{
    checkEndless("", requestHead("GET", "/unknown/x") + "\r\n");
}

// The upstream does not answer them.
Test(strangers, wholeBodiesOfLegalSize, .timeout = 120)
{
    HostProcess host;
    checkCrowd(host, host.frontend(),
        [] { return headWithLength("/order/held", MAX_BODY_BYTES) + std::string(MAX_BODY_BYTES, 'b'); });
}

Test(strangers, bodiesThatStopShortOfTheirEnd, .timeout = 120)
{
    HostProcess host;
    checkCrowd(host, host.frontend(),
        [] { return headWithLength("/order/x", MAX_BODY_BYTES) + std::string(MAX_BODY_BYTES - 1, 'b'); });
}

Test(strangers, bodiesPieceByPieceThatStopShortOfTheirEnd, .timeout = 120)
{
    HostProcess host;
    std::list<Stranger> crowd;
    for (std::size_t n = 0; n < CROWD; ++n)
        crowd.emplace_back(host.frontend()).send(chunkedHead("/order/x"));
    for (std::size_t sent = 0; sent + PIECE_BYTES < MAX_BODY_BYTES; sent += PIECE_BYTES) {
        for (Stranger& it : crowd)
            it.send(chunk(PIECE_BYTES));
    }
    checkHost(host);
}

Test(strangers, bodiesWithUnknownKey, .timeout = 120)
{
    HostProcess host;
    checkCrowd(host, host.frontend(),
        [] { return headWithLength("/order/x", MAX_BODY_BYTES, "unknown") + std::string(MAX_BODY_BYTES - 1, 'b'); });
}

Test(strangers, bodiesAtTheDirectory, .timeout = 120)
{
    HostProcess host;
    checkCrowd(host, host.directory(),
        [] { return headWithLength("/fireflyhaven/resolve", MAX_BODY_BYTES) + std::string(MAX_BODY_BYTES - 1, 'b'); });
}
