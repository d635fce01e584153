#include "cases.h"
#include "client.h"

// A faulty runner that was full sends its refusal a second time, late, where its next answer is expected.
namespace review {

namespace {

constexpr int RUNNERS = 3;
constexpr int ROUNDS = 20;

// The answer of a full runner, as `fleetbench wire` prints it.
const std::string REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

}

int runLateCopy(Deployment& it)
{
    it.configure({ { { "name", "r-order" }, { "host", "small.example" }, { "path_prefix", "/order/" },
                     { "type", "non_idempotent" }, { "timeout_ms", 1500 }, { "target_latency_ms", 150 },
                     { "priority", 2 }, { "service", "orders" }, { "max_attempts", 3 }, { "anonymous", false } } },
        { { { "name", "orders" }, { "health_path", "/healthz" }, { "max_connections", 110 }, { "protocol", "h1" },
            { "tls", false }, { "warmup_s", 0.0 }, { "warmup_per_s", 0.0 } } });
    std::mutex mutex;
    std::map<std::string, int> runs;
    std::map<int, bool> owesCopy;
    std::map<std::string, int> refusals;
    const auto handle = [&](Runner& runner, int fd, Reader&, const Message& request) {
        const std::string attempt = request.header("X-Attempt-Id");
        {
            const std::lock_guard lock(mutex);
            // Every second request finds the first runner that it reaches full.
            const bool isFull = request.body == "full" && ++refusals[attempt] == 1;
            if (isFull) {
                it.note("runner " + runner.id() + " is full, refuses " + attempt);
                owesCopy[fd] = hasTrouble();
                return sendAll(fd, REFUSAL);
            }
            if (std::exchange(owesCopy[fd], false)) {
                it.note("runner " + runner.id() + " sends its earlier refusal once more, at the place of the answer to "
                    + attempt);
                if (!sendAll(fd, REFUSAL))
                    return false;
            }
            ++runs[attempt];
            it.note("runner " + runner.id() + " runs " + attempt);
        }
        sleepMs(30);
        return sendAll(fd, answer(request, "order taken " + attempt));
    };
    std::vector<std::unique_ptr<Runner>> runners;
    for (int n = 0; n < RUNNERS; ++n) {
        runners.push_back(std::make_unique<Runner>(it,
            Runner::Options { .service = "orders", .address = it.runnerAddress(n), .zone = Deployment::zone(n) },
            handle));
    }
    it.start();
    for (int round = 0; round < ROUNDS; ++round) {
        const ClientRequest request { .attempt = it.newAttempt(),
            .target = "/order/new",
            .body = round % 2 == 0 ? "full" : "plain",
            .deadlineMs = 1500 };
        it.note("client sends " + request.attempt);
        const Outcome outcome = call(it.frontend(0), request);
        it.note("client's answer to " + request.attempt + ": " + outcome.text());
        sleepMs(200);
    }
    sleepMs(500);
    const std::lock_guard lock(mutex);
    int twice = 0;
    for (const auto& [attempt, n] : runs) {
        if (n > 1) {
            ++twice;
            it.note("request " + attempt + " ran " + std::to_string(n) + " times");
        }
    }
    it.note("requests that ran more than once: " + std::to_string(twice) + " (allowed: 0)");
    return twice > 0 ? BROKEN : HELD;
}

}
