#include "fireflyhaven/http/client.h"

#include "rawserver.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <semaphore>

#include <criterion/criterion.h>

// What the blocking client makes of the responses of a peer.
using namespace fireflyhaven;
using namespace fireflyhaven::http;
using fireflyhaven::http::test::RawConnection;
using fireflyhaven::http::test::RawServer;

namespace {

// Runs before each write of one buffer to a socket, if set.
std::function<void()> beforeSend;

}

// Replaces the function of the C library, also for libcurl.
extern "C" ssize_t send(int socket, const void* buf, size_t n, int flags)
{
    if (beforeSend)
        beforeSend();
    return ::syscall(SYS_sendto, socket, buf, n, flags, nullptr, 0);
}

namespace {

// More than the buffers of both sides of a connection hold.
constexpr std::size_t LARGE_BODY_BYTES = 24 * 1024 * 1024;
constexpr int SMALL_BUFFER_BYTES = 16 * 1024;
constexpr std::size_t SMALL_BODY_BYTES = 3;
// More than any head or framing needs.
constexpr std::size_t MANY_BYTES = 8 * 1024 * 1024;
constexpr Duration CALL_TIMEOUT { 10'000 };

struct Received {
    CallOutcome outcome;
    std::string body;
};

Received call(const std::string& url, std::size_t bodyBytes = SMALL_BODY_BYTES)
{
    Received it;
    const Call call { .method = "POST", .url = url, .body = std::string(bodyBytes, 'u'), .timeout = CALL_TIMEOUT };
    it.outcome = performStreaming(call,
        [&](int, std::string_view piece) {
            it.body += piece;
            return true;
        },
        {});
    return it;
}

// The response of a peer that has read the request, and then closes the connection.
Received callWithResponse(const std::string& bytes)
{
    RawServer server([&](RawConnection& it) {
        if (it.readRequest(SMALL_BODY_BYTES))
            it.send(bytes);
    });
    return call(server.url());
}

// The response of a peer that reads nothing of a large request's body, and then does `after`.
Received callWithEarlyResponse(const std::string& bytes, const std::function<void(RawConnection&)>& after)
{
    RawServer server(
        [&](RawConnection& it) {
            if (!it.readHead())
                return;
            it.send(bytes);
            after(it);
        },
        SMALL_BUFFER_BYTES);
    return call(server.url(), LARGE_BODY_BYTES);
}

void checkBroken(const Received& it, const std::string& bytes)
{
    cr_assert(it.outcome.progress == CallProgress::MaybeReceived, "%s: progress %d", bytes.c_str(),
        static_cast<int>(it.outcome.progress));
    cr_assert_not(it.outcome.error.empty(), "%s", bytes.c_str());
    cr_assert_not(it.outcome.timedOut, "%s", bytes.c_str());
}

void checkWhole(const Received& it, const std::string& body, const std::string& bytes)
{
    cr_assert(it.outcome.progress == CallProgress::Answered, "%s: %s", bytes.c_str(), it.outcome.error.c_str());
    cr_assert(it.outcome.response.status == 200 && it.body == body, "%s: %s", bytes.c_str(), it.body.c_str());
    cr_assert(it.outcome.error.empty() && !it.outcome.interrupted, "%s", bytes.c_str());
}

}

// Guards against a request that may have run and is reported as not sent, so that it is sent again.
Test(client, bytesThatAreNoResponseFailAfterSending)
{
    for (const std::string bytes : { "HTTP/1.1 000 \r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 000 \r\n\r\n",
             "HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n", "this is not HTTP at all\r\n\r\n", "\r\n\r\n",
             "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/2 200\r\nContent-Length: 0\r\n\r\n", "" })
        checkBroken(callWithResponse(bytes), bytes);
}

// Guards against waiting for the rest of what can be no response.
Test(client, bytesThatBeginNoResponseFailAtOnce)
{
    for (const std::string bytes :
        { "no HTTP at all\r\n", "HTTP/1.1 000 Odd\r\n", "HTTP/1.1 999 Odd\r\n", "HTTP/1.1 101 Odd\r\nX-Odd: 1\r\n" }) {
        RawServer server([&](RawConnection& it) {
            if (!it.readRequest(SMALL_BODY_BYTES))
                return;
            it.send(bytes);
            it.awaitClose();
        });
        checkBroken(call(server.url()), bytes);
    }
}

Test(client, statusOutsideTheDefinedRangeFails)
{
    for (const std::string bytes :
        { "HTTP/1.1 600 Odd\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
            "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody" })
        checkBroken(callWithResponse(bytes), bytes);
}

Test(client, invalidHeaderFieldFails)
{
    for (const std::string& field :
        { std::string("X Odd: 1"), std::string("X\tOdd: 1"), std::string("X\x01Odd: 1"), std::string("X-Odd : 1"),
            std::string("X\0Odd: 1", 8), std::string("Content-Length : 3"), std::string("Content-Length\x02: 3"),
            std::string("Transfer-Encoding : chunked"), std::string(": 1"), std::string("no colon") }) {
        const std::string bytes = "HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
        checkBroken(callWithResponse(bytes), bytes);
    }
}

// Guards against a body that ends wherever the connection does because its length cannot be read.
Test(client, unreadableFramingFails)
{
    for (const std::string field : { "Content-Length: x", "Content-Length: -4", "Content-Length: 4x",
             "Content-Length: ", "Content-Length: 99999999999999999999999", "Content-Length: 18446744073709551615",
             "Content-Length: 4\r\nContent-Length: 5", "Content-Length: 4\r\nTransfer-Encoding: chunked",
             "Transfer-Encoding: chunked\r\nContent-Length: 4", "Transfer-Encoding: gzip", "Transfer-Encoding: odd",
             "Transfer-Encoding: chunked, odd", "Transfer-Encoding: odd, chunked",
             "Transfer-Encoding: odd\r\nTransfer-Encoding: chunked", "Transfer-Encoding: " }) {
        const std::string bytes = "HTTP/1.1 200 OK\r\n" + std::string(field) + "\r\n\r\nbody";
        checkBroken(callWithResponse(bytes), bytes);
    }
}

Test(client, truncatedResponseFails)
{
    for (const std::string bytes : { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", "HTTP/1.1 200 OK\r\nContent-Le",
             "HTTP/1.1 100 Continue\r\n\r\n" })
        checkBroken(callWithResponse(bytes), bytes);
}

Test(client, partOfResponseToLargeRequestFails)
{
    for (const std::string bytes : { "HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n" }) {
        checkBroken(callWithEarlyResponse(bytes, [](RawConnection& it) { it.reset(); }), bytes);
        const auto resetLater = [](RawConnection& it) {
            std::this_thread::sleep_for(std::chrono::milliseconds(60));
            it.reset();
        };
        checkBroken(callWithEarlyResponse(bytes, resetLater), bytes);
    }
}

// Guards against the opposite fault.
Test(client, wholeResponseIsDelivered)
{
    for (const std::string bytes : { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
             "HTTP/1.0 200 OK\r\n\r\nwhole", "HTTP/1.1 200 OK\r\n\r\nwhole",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3;x=y\r\nole\r\n0\r\n\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Trailer: t\r\n\r\n",
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" })
        checkWhole(callWithResponse(bytes), "whole", bytes);
}

Test(client, wholeEarlyResponseIsDelivered)
{
    for (const std::string bytes : { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" }) {
        checkWhole(callWithEarlyResponse(bytes, [](RawConnection& it) { it.reset(); }), "whole", bytes);
        checkWhole(callWithEarlyResponse(bytes, [](RawConnection& it) { it.awaitClose(); }), "whole", bytes);
    }
    const std::string closeDelimited = "HTTP/1.1 200 OK\r\n\r\nwhole";
    const auto endsSending = [](RawConnection& it) {
        it.finishSending();
        it.awaitClose();
    };
    checkWhole(callWithEarlyResponse(closeDelimited, endsSending), "whole", closeDelimited);
}

// The response and the reset arrive between the client's look at the connection and its write, which then fails.
Test(client, wholeEarlyResponseIsDeliveredWhereAWriteFailsFirst)
{
    for (const std::string bytes : { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
             "HTTP/1.1 200 OK\r\n\r\npart" }) {
        std::binary_semaphore writes { 0 };
        std::binary_semaphore hasReset { 0 };
        RawServer server([&](RawConnection& it) {
            if (!it.readHead())
                return;
            writes.acquire();
            it.send(bytes);
            it.reset();
            hasReset.release();
        });
        const std::thread::id client = std::this_thread::get_id();
        int sends = 0;
        beforeSend = [&] {
            if (std::this_thread::get_id() != client || ++sends != 2)
                return;
            writes.release();
            hasReset.acquire();
        };
        const Received it = call(server.url(), LARGE_BODY_BYTES);
        beforeSend = nullptr;
        cr_assert_geq(sends, 2);
        if (bytes.ends_with("part"))
            checkBroken(it, bytes);
        else
            checkWhole(it, "whole", bytes);
    }
}

// A peer that takes nothing of the rest of the request must not delay its response.
Test(client, wholeEarlyResponseDoesNotWaitForTheRequest)
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    std::atomic<bool> answered { false };
    RawServer server(
        [&](RawConnection& it) {
            if (!it.readHead())
                return;
            it.send(bytes);
            while (!answered)
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
        },
        SMALL_BUFFER_BYTES);
    const Received it = call(server.url(), LARGE_BODY_BYTES);
    answered = true;
    checkWhole(it, "whole", bytes);
}

// Trailer fields arrive after the headers were used, and the fields of interim responses belong to those.
Test(client, headersAreThoseOfTheFinalHead)
{
    const Received it = callWithResponse("HTTP/1.1 103 Early Hints\r\nX-Interim: i\r\nContent-Type: interim\r\n\r\n"
                                         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: head\r\n\r\n"
                                         "5\r\nwhole\r\n0\r\nContent-Type: trailer\r\nX-Trailer: t\r\n\r\n");
    checkWhole(it, "whole", "trailer");
    const Headers& headers = it.outcome.response.headers;
    cr_assert(headers.at("content-type") == "head", "%s", headers.at("content-type").c_str());
    cr_assert(!headers.contains("x-trailer") && !headers.contains("x-interim"));
}

Test(client, connectionIsKeptAfterWholeResponse)
{
    constexpr std::size_t SEVERAL_WRITES_BYTES = 2 * 1024 * 1024;
    for (const std::size_t bodyBytes : { std::size_t(0), SMALL_BODY_BYTES, SEVERAL_WRITES_BYTES }) {
        for (const std::string bytes : { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Trailer: t\r\n\r\n",
                 "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" }) {
            RawServer server([&](RawConnection& it) {
                while (it.readRequest(bodyBytes))
                    it.send(bytes);
            });
            for (int n = 0; n < 3; ++n)
                checkWhole(call(server.url(), bodyBytes), "whole", bytes);
            cr_assert_eq(server.connections(), 1, "%zu bytes: %s", bodyBytes, bytes.c_str());
        }
    }
}

// Guards against memory that grows with what a broken peer sends.
Test(client, framingWithoutEndFails)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string endless(MANY_BYTES, 'a');
    for (const std::string& bytes :
        { chunked + "5;" + endless, chunked + "0\r\nX-A: " + endless, "HTTP/1.1 200 OK\r\nX-A: " + endless })
        checkBroken(callWithResponse(bytes), bytes.substr(0, chunked.size()));
}

// Bytes behind a response belong to no request.
Test(client, bytesBehindResponseAreNotTakenForTheNext)
{
    for (const std::string bytes : { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" }) {
        RawServer server([&](RawConnection& it) {
            if (it.readRequest(SMALL_BODY_BYTES))
                it.send(bytes + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
            while (it.readRequest(SMALL_BODY_BYTES))
                it.send(bytes);
        });
        for (int n = 0; n < 3; ++n)
            checkWhole(call(server.url()), "whole", bytes);
    }
}

Test(client, refusedConnectionIsNotSent)
{
    test::EventLoop loop;
    const Endpoint address = loop.freeEndpoint(test::uniqueLoopbackIp());
    const Received it = call("http://" + address.text() + "/");
    cr_assert(it.outcome.progress == CallProgress::NotSent);
    cr_assert_eq(it.outcome.response.status, 0);
    // After earlier calls of the same thread.
    const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    checkWhole(callWithResponse(bytes), "whole", bytes);
    cr_assert(call("http://" + address.text() + "/").outcome.progress == CallProgress::NotSent);
}
