#include "clientfixture.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <criterion/criterion.h>

// Responses that arrive while the request is still being written, and connections that end then.
using namespace fireflyhaven;
using namespace fireflyhaven::http;
using namespace fireflyhaven::http::test;

namespace {

// Runs once, before the next write of several buffers to a socket.
std::function<void()> beforeSend;

}

// Replaces the function of the C library.
extern "C" ssize_t sendmsg(int socket, const msghdr* message, int flags)
{
    if (const auto action = std::exchange(beforeSend, nullptr))
        action();
    return ::syscall(SYS_sendmsg, socket, message, flags);
}

namespace {

// More than the buffers of both sides of a connection hold.
constexpr std::size_t LARGE_BODY_BYTES = 24 * 1024 * 1024;
// Longer than the client lets a connection live whose peer takes nothing.
constexpr Duration LONG_PAUSE { 2500 };
constexpr std::string_view CLOSE_DELIMITED_HEAD = "HTTP/1.1 200 OK\r\n\r\n";

// A large request to an upstream that does not read it.
class Upload {
public:
    Upload()
        : it(PeerReads::No)
        , call(it.start(response, "/", std::string(LARGE_BODY_BYTES, 'u')))
        , upstream(it.awaitConnection())
    {
        it.loop.runUntil([&] { return call->anythingSent(); }, "the request is being written");
        it.loop.runPending();
    }

    void awaitBody(const std::string& expected)
    {
        it.loop.runUntil([&] { return response.body == expected; }, "the body arrives");
    }
    void awaitEnd()
    {
        it.loop.runUntil([&] { return response.isDone(); }, "the call is over");
    }
    void runFor(Duration duration)
    {
        const TimePoint end = it.loop.clock().now() + duration;
        it.loop.runUntil([&] { return it.loop.clock().now() >= end; }, "the time is over");
    }
    void checkBroken(const char* what)
    {
        awaitEnd();
        cr_expect_eq(response.completions, 0, "%s: passed for complete", what);
        cr_assert_eq(response.failures, 1, "%s", what);
        cr_assert(response.sendState == SendState::MaybeReceived, "%s", what);
        checkClosed(what);
    }
    void checkWhole(const std::string& body, const char* what)
    {
        awaitEnd();
        cr_assert_eq(response.completions, 1, "%s: %s", what, response.failureReason.c_str());
        cr_assert(response.status == 200 && response.body == body, "%s: %s", what, response.body.c_str());
        checkClosed(what);
    }

    ClientFixture it;
    RecordingResponseObserver response;
    std::unique_ptr<ClientCall> call;
    RawPeer& upstream;

private:
    // The rest of the request is missing on the connection.
    void checkClosed(const char* what) const
    {
        cr_assert_eq(it.client->connectionsTo(it.address), 0, "%s: the connection was kept", what);
    }
};

const std::string PART = std::string(CLOSE_DELIMITED_HEAD) + "part";

// How an upstream breaks off its response.
struct BreakOff {
    const char* what;
    void (*apply)(Upload&);
};

void resetAtOnce(Upload& it)
{
    it.upstream.send(PART);
    it.upstream.reset();
}

void resetAfterThePart(Upload& it)
{
    it.upstream.send(PART);
    it.awaitBody("part");
    it.upstream.reset();
}

// The kernel resets a connection that is closed with unread bytes.
void closeWithUnreadBytes(Upload& it)
{
    it.upstream.send(PART);
    it.awaitBody("part");
    it.upstream.close();
}

void resetWhileTheResponseIsNotRead(Upload& it)
{
    it.upstream.send(PART);
    it.awaitBody("part");
    it.call->pause();
    it.upstream.send("more");
    it.upstream.reset();
    it.it.loop.runPending();
    it.call->resume();
}

}

// Guards against a part of a response without a length that passes for the whole, because the pending write of the
// request took the error of the connection and the next read saw a plain end.
Test(early_response, partOfCloseDelimitedResponseFails)
{
    for (const BreakOff& breakOff :
        { BreakOff { "reset at once", &resetAtOnce }, BreakOff { "reset after the part", &resetAfterThePart },
            BreakOff { "closed with unread bytes", &closeWithUnreadBytes },
            BreakOff { "reset while the response is not read", &resetWhileTheResponseIsNotRead } }) {
        Upload upload;
        breakOff.apply(upload);
        upload.checkBroken(breakOff.what);
    }
}

// The peer's machine takes no more bytes of the request until the connection times out.
Test(early_response, partOfCloseDelimitedResponseFailsAfterTimeout)
{
    Upload upload;
    upload.upstream.send(PART);
    upload.awaitBody("part");
    upload.call->pause();
    upload.runFor(LONG_PAUSE);
    upload.call->resume();
    upload.upstream.reset();
    upload.checkBroken("timed out");
}

// The client cannot see the reset before the write that gets its error.
Test(early_response, partFailsWhereTheResetArrivesJustBeforeAWrite)
{
    Upload upload;
    upload.upstream.send(PART);
    upload.awaitBody("part");
    bool hasReset = false;
    beforeSend = [&] {
        upload.upstream.reset();
        hasReset = true;
    };
    const auto readUntilReset = [&] {
        if (!hasReset)
            upload.upstream.readSome();
        return hasReset;
    };
    upload.it.loop.runUntil(readUntilReset, "the client writes");
    upload.checkBroken("reset just before a write");
}

Test(early_response, partOfDelimitedResponseFails)
{
    for (const std::string bytes : { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", "HTTP/1.1 200 OK\r\nX-A: b\r\n" }) {
        Upload upload;
        upload.upstream.send(bytes);
        upload.it.loop.runPending();
        upload.upstream.reset();
        upload.checkBroken(bytes.c_str());
    }
}

// Guards against the opposite fault: the response is whole, whatever becomes of the request.
Test(early_response, wholeCloseDelimitedResponseIsDelivered)
{
    const std::string bytes = std::string(CLOSE_DELIMITED_HEAD) + "whole";
    Upload readsOn;
    readsOn.upstream.send(bytes);
    readsOn.upstream.finishSending();
    readsOn.upstream.startReading();
    readsOn.checkWhole("whole", "reads on");
    Upload readsNothing;
    readsNothing.upstream.send(bytes);
    readsNothing.upstream.finishSending();
    readsNothing.checkWhole("whole", "reads nothing");
    Upload resets;
    resets.upstream.send(bytes);
    resets.upstream.finishSending();
    resets.upstream.reset();
    resets.checkWhole("whole", "resets after the end");
    Upload paused;
    paused.upstream.send(std::string(CLOSE_DELIMITED_HEAD) + "wh");
    paused.awaitBody("wh");
    paused.call->pause();
    paused.upstream.send("ole");
    paused.upstream.finishSending();
    paused.upstream.reset();
    paused.it.loop.runPending();
    paused.call->resume();
    paused.checkWhole("whole", "resets after the end while the response is not read");
}

// A caller reads slowly, and the connection times out because the upstream does not take the rest of the request.
Test(early_response, wholeCloseDelimitedResponseIsDeliveredAfterTimeout)
{
    Upload upload;
    upload.upstream.send(std::string(CLOSE_DELIMITED_HEAD) + "wh");
    upload.awaitBody("wh");
    upload.call->pause();
    upload.upstream.send("o");
    upload.it.loop.runPending();
    upload.upstream.send("le");
    upload.upstream.finishSending();
    upload.runFor(LONG_PAUSE);
    upload.call->resume();
    upload.checkWhole("whole", "timed out");
}

Test(early_response, wholeDelimitedResponseIsDelivered)
{
    for (const std::string bytes : { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Trailer: t\r\n\r\n",
             "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" }) {
        Upload resets;
        resets.upstream.send(bytes);
        resets.upstream.reset();
        resets.checkWhole("whole", bytes.c_str());
        Upload staysOpen;
        staysOpen.upstream.send(bytes);
        staysOpen.checkWhole("whole", bytes.c_str());
    }
}
