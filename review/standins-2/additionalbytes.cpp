#include "cases.h"
#include "client.h"

// Faulty runners send additional bytes after some of their complete answers, late, where the next answer is expected.
namespace review {

namespace {

// The dose of the site's `garble` with `extra late`: six in ten runners, three in a hundred of their answers.
constexpr int RUNNERS = 5;
constexpr int FAULTY_RUNNERS = 3;
constexpr int ANSWERS_PER_FAULT = 34;
constexpr int REQUESTS = 900;
constexpr std::int64_t WORK_MS = 20;

// They name no request. `fleetbench wire` prints the refusal of a full runner like this.
const std::string ADDITIONAL_BYTES
    = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

}

int runAdditionalBytes(Deployment& it)
{
    it.configure({ { { "name", "r-order" }, { "host", "small.example" }, { "path_prefix", "/order/" },
                     { "type", "non_idempotent" }, { "timeout_ms", 1500 }, { "target_latency_ms", 150 },
                     { "priority", 2 }, { "service", "orders" }, { "max_attempts", 3 }, { "anonymous", false } } },
        { { { "name", "orders" }, { "health_path", "/healthz" }, { "max_connections", 110 }, { "protocol", "h1" },
            { "tls", false }, { "warmup_s", 0.0 }, { "warmup_per_s", 0.0 } } });
    std::mutex mutex;
    std::map<std::string, int> runs;
    std::map<std::string, int> answersOf;
    // Connections on which additional bytes come before the next answer.
    std::set<int> spoilt;
    int faults = 0;
    const auto handle = [&](Runner& runner, int fd, Reader&, const Message& request) {
        const std::string attempt = request.header("X-Attempt-Id");
        const std::string address = runner.address().text();
        bool isFaulty = false;
        for (int n = 0; n < FAULTY_RUNNERS; ++n)
            isFaulty = isFaulty || address == it.runnerAddress(n).text();
        {
            const std::lock_guard lock(mutex);
            if (spoilt.erase(fd) > 0) {
                ++faults;
                it.note("runner " + runner.id() + " sends additional bytes before its answer to " + attempt);
                if (!sendAll(fd, ADDITIONAL_BYTES))
                    return false;
            }
            ++runs[attempt];
            it.note("runner " + runner.id() + " runs " + attempt);
        }
        sleepMs(WORK_MS);
        if (!sendAll(fd, answer(request, "order taken " + attempt)))
            return false;
        const std::lock_guard lock(mutex);
        if (hasTrouble() && isFaulty && ++answersOf[address] % ANSWERS_PER_FAULT == 0)
            spoilt.insert(fd);
        return true;
    };
    std::vector<std::unique_ptr<Runner>> runners;
    for (int n = 0; n < RUNNERS; ++n) {
        runners.push_back(std::make_unique<Runner>(it,
            Runner::Options { .service = "orders", .address = it.runnerAddress(n), .zone = Deployment::zone(n) },
            handle));
    }
    it.start();
    for (int n = 0; n < REQUESTS; ++n) {
        const ClientRequest request {
            .attempt = it.newAttempt(), .target = "/order/new", .body = "order", .deadlineMs = 1500
        };
        it.note("client sends " + request.attempt);
        const Outcome outcome = call(it.frontend(0), request);
        it.note("client's answer to " + request.attempt + ": " + outcome.text());
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
    it.note("requests: " + std::to_string(REQUESTS)
        + ", answers with additional bytes before them: " + std::to_string(faults));
    it.note("requests that ran more than once: " + std::to_string(twice) + " (allowed: 0)");
    return twice > 0 ? BROKEN : HELD;
}

}
