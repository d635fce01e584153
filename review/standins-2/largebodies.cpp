#include "cases.h"
#include "client.h"

#include <signal.h>
#include <unistd.h>

// Clients that nobody controls send many large bodies of legal size, and stop just short of their end.
namespace review {

namespace {

constexpr int RUNNERS = 3;
constexpr int CLIENTS = 120;
constexpr std::size_t MEMORY_BYTES = MEMORY_MB * 1'000'000UL;
constexpr std::size_t SMALL_BODY_BYTES = 600;

}

int runLargeBodies(Deployment& it)
{
    it.configure({ { { "name", "r-order" }, { "host", "small.example" }, { "path_prefix", "/order/" },
                     { "type", "non_idempotent" }, { "timeout_ms", 1500 }, { "target_latency_ms", 150 },
                     { "priority", 2 }, { "service", "orders" }, { "max_attempts", 1 }, { "anonymous", false } } },
        { { { "name", "orders" }, { "health_path", "/healthz" }, { "max_connections", 110 }, { "protocol", "h1" },
            { "tls", false }, { "warmup_s", 0.0 }, { "warmup_per_s", 0.0 } } });
    const auto handle = [&](Runner& runner, int fd, Reader&, const Message& request) {
        it.note("runner " + runner.id() + " runs " + request.header("X-Attempt-Id"));
        return sendAll(fd, answer(request, "order taken"));
    };
    std::vector<std::unique_ptr<Runner>> runners;
    for (int n = 0; n < RUNNERS; ++n) {
        runners.push_back(std::make_unique<Runner>(it,
            Runner::Options { .service = "orders", .address = it.runnerAddress(n), .zone = Deployment::zone(n) },
            handle));
    }
    it.start();
    const auto ordinary = [&] {
        const ClientRequest request {
            .attempt = it.newAttempt(), .target = "/order/new", .body = "order", .deadlineMs = 1500
        };
        const Outcome outcome = call(it.frontend(0), request);
        it.note("ordinary request " + request.attempt + ": " + outcome.text());
        return outcome.status;
    };
    ordinary();
    it.note("host 0 has " + std::to_string(it.residentBytes(0) / 1000) + " kB resident");
    const std::size_t bodyBytes = hasTrouble() ? MAX_BODY_BYTES : SMALL_BODY_BYTES;
    std::vector<int> open;
    std::size_t most = 0;
    bool ended = false;
    for (int n = 0; n < CLIENTS && !ended; ++n) {
        const int fd = connectTo(it.frontend(0), 1000);
        if (fd < 0)
            break;
        std::string bytes
            = encode({ .attempt = it.newAttempt(), .target = "/order/new", .body = std::string(bodyBytes, 'b') });
        bytes.pop_back();
        sendAll(fd, bytes);
        open.push_back(fd);
        most = std::max(most, it.residentBytes(0));
        ended = !it.isRunning(0);
        if (most > MEMORY_BYTES && !ended) {
            it.note("host 0 has " + std::to_string(most / 1000) + " kB resident with " + std::to_string(open.size())
                + " bodies open, its machine has " + std::to_string(MEMORY_BYTES / 1000)
                + " kB: the platform kills the process");
            it.sendSignal(0, SIGKILL);
            sleepMs(200);
            ended = !it.isRunning(0);
        }
    }
    sleepMs(500);
    it.note("bodies open: " + std::to_string(open.size()) + " of " + std::to_string(bodyBytes)
        + " bytes, most resident: " + std::to_string(most / 1000) + " kB, host 0 " + (ended ? "has ended" : "runs"));
    const int status = ordinary();
    for (const int fd : open)
        close(fd);
    return ended || status != 200 ? BROKEN : HELD;
}

}
