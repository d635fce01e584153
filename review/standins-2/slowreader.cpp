#include "cases.h"
#include "client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

// A client reads its answer slowly while its host is stopped.
namespace review {

namespace {

constexpr int RUNNERS = 3;
constexpr int EVENTS = 55;
constexpr std::size_t EVENT_BYTES = 3000;
// Bytes that the client reads a second, in steps of STEP_MS.
constexpr std::int64_t READ_PER_SECOND = 32'000;
constexpr std::int64_t STEP_MS = 50;
// What a connection across a network has: segments of an Ethernet, and a small window.
constexpr int SEGMENT_BYTES = 1448;
constexpr int WINDOW_BYTES = 16'384;

struct SlowRead {
    std::size_t bytes = 0;
    bool isComplete = false;
    std::int64_t endedAt = 0;
    int status = 0;
    Reader::End end = Reader::End::Complete;
    std::int64_t longestPauseMs = 0;
};

std::string event(int id)
{
    std::string text = "id: " + std::to_string(id) + "\ndata: ";
    return text + std::string(EVENT_BYTES - text.size() - 2, 'x') + "\n\n";
}

std::string chunk(const std::string& text)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

SlowRead readSlowly(Deployment& it, const Address& host, const ClientRequest& request)
{
    SlowRead result;
    const int connection = connectTo(host, 1000, WINDOW_BYTES, SEGMENT_BYTES);
    if (connection < 0)
        return result;
    it.note("client sends " + request.attempt);
    sendAll(connection, encode(request));
    Reader reader(connection);
    const std::int64_t begunAt = nowMs();
    const std::size_t step = READ_PER_SECOND * STEP_MS / 1000;
    std::string all;
    for (;;) {
        const std::int64_t askedAt = nowMs();
        result.end = reader.more(askedAt + 3000, step);
        result.longestPauseMs = std::max(result.longestPauseMs, nowMs() - askedAt);
        if (result.end != Reader::End::Complete)
            break;
        all += std::exchange(reader.buffer(), {});
        result.isComplete = all.ends_with("\r\n0\r\n\r\n");
        if (result.isComplete)
            break;
        sleepMs(begunAt + static_cast<std::int64_t>(all.size()) * 1000 / READ_PER_SECOND - nowMs());
    }
    close(connection);
    result.bytes = all.size();
    result.endedAt = it.elapsedMs();
    result.status = all.size() > 12 ? std::atoi(all.substr(9, 3).c_str()) : 0;
    return result;
}

}

int runSlowReader(Deployment& it)
{
    it.configure({ { { "name", "r-digest" }, { "host", "small.example" }, { "path_prefix", "/digest/" },
                     { "type", "streaming" }, { "timeout_ms", 20000 }, { "target_latency_ms", 3000 }, { "priority", 1 },
                     { "service", "llm" }, { "max_attempts", 3 }, { "anonymous", false }, { "session_affinity", true },
                     { "resumable", false }, { "target_gap_ms", 1000 } } },
        { { { "name", "llm" }, { "health_path", "/healthz" }, { "max_connections", 370 }, { "protocol", "h1" },
            { "tls", false }, { "warmup_s", 0.0 }, { "warmup_per_s", 0.0 },
            { "engine",
                { { "batch_slots", 64 }, { "kv_capacity", 499052 },
                    { "models", { { { "name", "m0" }, { "cost", 0.1 } } } } } } } });
    const auto handle = [&](Runner& runner, int fd, Reader&, const Message& request) {
        const std::string attempt = request.header("X-Attempt-Id");
        it.note("runner " + runner.id() + " runs " + attempt);
        bool open
            = sendAll(fd, answerHead(request, "Transfer-Encoding: chunked", "Content-Type: text/event-stream\r\n"));
        for (int n = 1; open && n <= EVENTS; ++n) {
            sleepMs(10);
            open = sendAll(fd, chunk(event(n)));
        }
        open = open && sendAll(fd, "0\r\n\r\n");
        it.note("runner " + runner.id() + (open ? " has sent the whole answer to " : " could not answer ") + attempt);
        return open;
    };
    std::vector<std::unique_ptr<Runner>> runners;
    for (int n = 0; n < RUNNERS; ++n) {
        runners.push_back(std::make_unique<Runner>(it,
            Runner::Options {
                .service = "llm", .address = it.runnerAddress(n), .zone = Deployment::zone(n), .slots = 64 },
            handle));
    }
    it.start();
    struct Client {
        ClientRequest request;
        SlowRead result;
        std::int64_t delayMs = 0;
    };
    std::vector<Client> clients;
    // Before the SIGTERM, and after it while the host still takes streams.
    for (const std::int64_t delayMs : { 0, 1000 }) {
        clients.push_back({ .request = { .attempt = it.newAttempt(),
                                .target = "/digest/week",
                                .body = "week",
                                .deadlineMs = 20000,
                                .more = { { "X-Model", "m0" }, { "X-Token-Usage", "800,80" } } },
            .result = {},
            .delayMs = delayMs });
    }
    std::vector<std::thread> threads;
    for (Client& client : clients) {
        threads.emplace_back([&] {
            sleepMs(client.delayMs);
            client.result = readSlowly(it, it.frontend(0), client.request);
        });
    }
    sleepMs(500);
    const std::int64_t stoppedAt = it.elapsedMs();
    if (hasTrouble()) {
        it.note("host 0 gets SIGTERM");
        it.sendSignal(0, SIGTERM);
    }
    std::thread watch([&] {
        while (it.elapsedMs() < stoppedAt + GRACE_MS && it.isRunning(0))
            sleepMs(20);
        if (it.elapsedMs() < stoppedAt + GRACE_MS)
            it.note("host 0 has ended");
    });
    for (std::thread& thread : threads)
        thread.join();
    watch.join();
    int cut = 0;
    for (const Client& client : clients) {
        const SlowRead& result = client.result;
        it.note("client's answer to " + client.request.attempt + ": status " + std::to_string(result.status) + ", "
            + std::to_string(result.bytes) + " bytes, " + (result.isComplete ? "complete" : "incomplete") + ", end "
            + std::to_string(static_cast<int>(result.end)) + ", longest wait for bytes "
            + std::to_string(result.longestPauseMs) + " ms, ended " + std::to_string(result.endedAt - stoppedAt)
            + " ms after the SIGTERM");
        cut += result.status == 200 && !result.isComplete && result.endedAt - stoppedAt <= GRACE_MS + 1000 ? 1 : 0;
    }
    it.note("answers that ended incomplete: " + std::to_string(cut) + " (allowed: 0)");
    return hasTrouble() && cut > 0 ? BROKEN : (cut > 0 ? 2 : HELD);
}

}
