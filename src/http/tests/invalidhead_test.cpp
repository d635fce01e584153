#include "clientfixture.h"

#include <criterion/criterion.h>

// Heads of responses that cannot be read, and heads that can although they are unusual.
using namespace fireflyhaven;
using namespace fireflyhaven::http;
using namespace fireflyhaven::http::test;

namespace {

const std::string GOOD_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";

void checkInvalid(const std::string& bytes, bool closeAfterResponse = false)
{
    ClientFixture it;
    const RecordingResponseObserver response = it.callWithResponse(bytes, closeAfterResponse);
    cr_expect(response.failures == 1 && response.completions == 0, "passed on: %s", bytes.c_str());
    cr_assert(response.sendState == SendState::MaybeReceived, "%s", bytes.c_str());
    cr_assert_eq(response.status, 0, "the head was passed on: %s", bytes.c_str());
    cr_assert_eq(it.client->connectionsTo(it.address), 0, "%s", bytes.c_str());
}

void checkGood(const std::string& bytes, bool closeAfterResponse = false)
{
    ClientFixture it;
    const RecordingResponseObserver response = it.callWithResponse(bytes, closeAfterResponse);
    cr_assert_eq(response.completions, 1, "%s: %s", bytes.c_str(), response.failureReason.c_str());
    cr_assert(response.status == 200 && response.body == "good", "%s: %s", bytes.c_str(), response.body.c_str());
    cr_assert_eq(it.client->idleConnectionsTo(it.address), closeAfterResponse ? 0 : 1, "%s", bytes.c_str());
}

}

// Guards against a status that HTTP does not define, as an upstream in trouble sends it: passed on as a response, or
// taken for an interim response so that what follows it is passed on.
Test(invalid_head, undefinedStatusFails)
{
    for (const std::string status : { "000", "001", "099", "600", "999" }) {
        const std::string line = "HTTP/1.1 " + status + " Odd\r\n";
        checkInvalid(line + "Content-Length: 4\r\n\r\nbody");
        checkInvalid(line + "Content-Length: 0\r\n\r\n" + GOOD_RESPONSE);
        checkInvalid(line + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + GOOD_RESPONSE);
        checkInvalid(line + "\r\n" + GOOD_RESPONSE);
        checkInvalid("HTTP/1.1 100 Continue\r\n\r\n" + line + "Content-Length: 0\r\n\r\n" + GOOD_RESPONSE);
    }
}

// Guards against waiting for the rest of what can be no response.
Test(invalid_head, bytesThatBeginNoResponseFailAtOnce)
{
    for (const std::string& bytes : { std::string("no HTTP"), std::string("\r\n"), std::string("HTTP 200"),
             std::string("HTTP/1.1\t200 OK\r\n"), std::string("HTTP/1.1 000 Odd\r\n"), std::string("HTTP/1.1 999"),
             std::string("HTTP/1.1 101 Odd\r\nX-Odd: 1\r\n"), std::string("\0", 1) })
        checkInvalid(bytes);
}

// The client never asks for another protocol, so that what follows is no HTTP.
Test(invalid_head, switchOfProtocolFails)
{
    checkInvalid("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + GOOD_RESPONSE);
    checkInvalid("HTTP/1.1 101 Switching Protocols\r\n\r\n");
}

Test(invalid_head, interimResponsesAreSkipped)
{
    for (const std::string interim : { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n",
             "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n",
             "HTTP/1.1 199 Odd\r\nConnection: close\r\n\r\n" })
        checkGood(interim + GOOD_RESPONSE);
}

Test(invalid_head, invalidFieldFails)
{
    for (const std::string& field : { std::string("X Odd: 1"), std::string("X\tOdd: 1"), std::string("X\x01Odd: 1"),
             std::string("X\x7fOdd: 1"), std::string("X\0Odd: 1", 8), std::string("X-Odd : 1"), std::string(": 1"),
             std::string("no colon"), std::string("Content-Length : 4"), std::string("Content-Length\x02: 4"),
             std::string("Transfer-Encoding : chunked"), std::string("X-Odd: a\x01z"), std::string("X-Odd: a\0z", 10),
             std::string("X-Odd: a\rz") }) {
        checkInvalid("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\nbody", true);
        checkInvalid("HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 4\r\n\r\nbody");
        checkInvalid("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + field + "\r\n\r\nbody");
    }
    checkInvalid("HTTP/1.1 200 OK\r\n X-Odd: 1\r\nContent-Length: 4\r\n\r\nbody");
    checkInvalid(" HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
}

// Guards against a body that ends wherever the connection does because its length cannot be read, and against one in a
// coding that is not undone.
Test(invalid_head, unreadableFramingFails)
{
    for (const std::string field : { "Content-Length: x", "Content-Length: -4", "Content-Length: +4",
             "Content-Length: 4x", "Content-Length: ", "Content-Length: 0x4", "Content-Length: 99999999999999999999999",
             "Content-Length: 4\r\nContent-Length: 5", "Content-Length: 4, 5",
             "Content-Length: 4\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 4",
             "Transfer-Encoding: gzip", "Transfer-Encoding: odd", "Transfer-Encoding: odd\r\nContent-Length: 4",
             "Content-Length: 4\r\nTransfer-Encoding: odd", "Transfer-Encoding: chunked, odd",
             "Transfer-Encoding: odd, chunked", "Transfer-Encoding: chunked, chunked",
             "Transfer-Encoding: odd\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked;q=1",
             "Transfer-Encoding: \"chunked\"", "Transfer-Encoding: " })
        checkInvalid("HTTP/1.1 200 OK\r\n" + std::string(field) + "\r\n\r\ngood", true);
}

// A response may arrive in two pieces, whatever their sizes, and byte by byte.
Test(invalid_head, responseInPiecesIsRead)
{
    const std::string bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n";
    ClientFixture it;
    int plays = 0;
    const auto play = [&](const std::vector<std::string>& pieces) {
        RecordingResponseObserver response;
        const auto call = it.start(response);
        RawPeer& upstream = it.awaitConnection();
        it.loop.runUntil([&] { return upstream.count("\r\n\r\n") > plays; }, "the request arrives");
        ++plays;
        for (const std::string& piece : pieces) {
            upstream.send(piece);
            it.loop.io().restart();
            it.loop.io().run_for(std::chrono::milliseconds(1));
        }
        it.loop.runUntil([&] { return response.isDone(); }, "the call is over");
        cr_assert(response.completions == 1 && response.body == "good", "%s: %s", pieces.front().c_str(),
            response.failureReason.c_str());
    };
    for (std::size_t n = 1; n < bytes.size(); ++n)
        play({ bytes.substr(0, n), bytes.substr(n) });
    std::vector<std::string> single;
    for (const char c : bytes)
        single.emplace_back(1, c);
    play(single);
}

Test(invalid_head, unusualHeadIsRead)
{
    checkGood("HTTP/1.1 200 \r\nCONTENT-LENGTH:4\r\n\r\ngood");
    checkGood("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ngood");
    checkGood("HTTP/1.1 200 OK\r\nX-Odd:\r\nX-Odd: \xe4 \t z\r\nContent-Length: 4\r\n\r\ngood");
    checkGood("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n4;a=\"b\"\r\ngood\r\n0\r\n\r\n");
    checkGood("HTTP/1.1 200 OK\r\nTransfer-Encoding:  chunked \r\n\r\n4\r\ngood\r\n0\r\nX-Trailer: 1\r\n\r\n");
    checkGood("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\ngood");
    checkGood("HTTP/1.0 200 OK\r\n\r\ngood", true);
}
