#include "clientfixture.h"

#include <criterion/criterion.h>

// Upstreams that send bytes without end where a response is due.
using namespace fireflyhaven;
using namespace fireflyhaven::http;
using namespace fireflyhaven::http::test;

namespace {

// The client gives up long before it has taken this much.
constexpr std::size_t MAX_TAKEN_BYTES = 4 * 1024 * 1024;

struct EndlessResponse {
    const char* what = "";
    std::string begin;
    // Repeated without end.
    std::string piece;
    // The response belongs to another request and is skipped.
    bool skipped = false;
};

void checkGivenUp(const EndlessResponse& it)
{
    ClientFixture fixture;
    RecordingResponseObserver response;
    response.skipNext = it.skipped;
    const auto call = fixture.start(response);
    RawPeer& upstream = fixture.awaitConnection();
    upstream.await("\r\n\r\n");
    std::string block;
    while (block.size() < 16 * 1024)
        block += it.piece;
    upstream.send(it.begin);
    std::size_t sent = 0;
    while (sent < MAX_TAKEN_BYTES && !response.isDone()) {
        upstream.send(block);
        sent += block.size();
        fixture.loop.io().restart();
        fixture.loop.io().run_for(std::chrono::milliseconds(2));
    }
    cr_assert_eq(response.failures, 1, "%s: not given up after %zu bytes", it.what, sent);
    cr_assert(response.sendState == SendState::MaybeReceived);
    cr_assert_eq(fixture.client->connectionsTo(fixture.address), 0, "%s: the connection is closed", it.what);
}

}

// Guards against memory and processor time that grow with what a broken upstream sends.
Test(endless_bytes, headWithoutEndIsGivenUp)
{
    checkGivenUp({ .what = "no status line", .begin = "", .piece = "A" });
    checkGivenUp({ .what = "header value", .begin = "HTTP/1.1 200 OK\r\nX-A: ", .piece = "A" });
    checkGivenUp({ .what = "header fields", .begin = "HTTP/1.1 200 OK\r\n", .piece = "X-A: b\r\n" });
    checkGivenUp({ .what = "empty lines", .begin = "", .piece = "\r\n" });
    checkGivenUp({ .what = "interim responses", .begin = "", .piece = "HTTP/1.1 100 Continue\r\n\r\n" });
}

Test(endless_bytes, framingWithoutEndIsGivenUp)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    checkGivenUp({ .what = "chunk extension", .begin = chunked + "5;", .piece = "a" });
    checkGivenUp({ .what = "chunk size", .begin = chunked, .piece = "0" });
    checkGivenUp({ .what = "trailer value", .begin = chunked + "0\r\nX-A: ", .piece = "a" });
    checkGivenUp({ .what = "trailer fields", .begin = chunked + "0\r\n", .piece = "X-A: b\r\n" });
}

Test(endless_bytes, foreignResponseWithoutEndIsGivenUp)
{
    checkGivenUp({ .what = "skipped body",
        .begin = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
        .piece = "a",
        .skipped = true });
    checkGivenUp({ .what = "skipped chunks",
        .begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        .piece = "4\r\nabcd\r\n",
        .skipped = true });
}
