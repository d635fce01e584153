#include "cases.h"
#include "client.h"

// A request that crashes each runner that begins to run it comes again every four seconds.
namespace review {

namespace {

constexpr int RUNNERS = 6;
constexpr int ROUNDS = 6;
constexpr std::int64_t ROUND_MS = 4000;
constexpr std::int64_t DOWN_MS = 2000;
// Of the rule: retries that may reach runners later than CONTACT_MS after the third crash.
constexpr int ALLOWED_RETRIES = 3;
const std::string DEADLY = "deadly";

std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: token\n\n"; }

std::string chunk(const std::string& text)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

}

int runDeadlyRequest(Deployment& it)
{
    it.configure({ { { "name", "r-report" }, { "host", "small.example" }, { "path_prefix", "/report/" },
                     { "type", "streaming" }, { "timeout_ms", 20000 }, { "target_latency_ms", 3000 }, { "priority", 1 },
                     { "service", "llm" }, { "max_attempts", 3 }, { "anonymous", false }, { "session_affinity", true },
                     { "resumable", true }, { "target_gap_ms", 1000 } } },
        { { { "name", "llm" }, { "health_path", "/healthz" }, { "max_connections", 370 }, { "protocol", "h1" },
            { "tls", false }, { "warmup_s", 0.0 }, { "warmup_per_s", 0.0 },
            { "engine",
                { { "batch_slots", 64 }, { "kv_capacity", 499052 },
                    { "models", { { { "name", "m0" }, { "cost", 0.1 } } } } } } } });
    std::mutex mutex;
    std::vector<std::int64_t> arrivals;
    std::vector<std::int64_t> crashes;
    const auto handle = [&](Runner& runner, int fd, Reader&, const Message& request) {
        if (request.body == DEADLY) {
            const std::lock_guard lock(mutex);
            arrivals.push_back(it.elapsedMs());
            it.note(
                "runner " + runner.id() + " begins to run " + request.header("X-Attempt-Id") + " (the deadly request)");
            if (hasTrouble()) {
                crashes.push_back(it.elapsedMs());
                runner.crash(DOWN_MS);
                return false;
            }
        }
        const std::string head
            = answerHead(request, "Transfer-Encoding: chunked", "Content-Type: text/event-stream\r\n");
        const int last = std::atoi(request.header("Last-Event-Id").c_str());
        bool open = sendAll(fd, head);
        for (int n = last + 1; open && n <= 10; ++n) {
            sleepMs(20);
            open = sendAll(fd, chunk(event(n)));
        }
        return open && sendAll(fd, "0\r\n\r\n");
    };
    std::vector<std::unique_ptr<Runner>> runners;
    for (int n = 0; n < RUNNERS; ++n) {
        runners.push_back(std::make_unique<Runner>(it,
            Runner::Options {
                .service = "llm", .address = it.runnerAddress(n), .zone = Deployment::zone(n), .slots = 64 },
            handle));
    }
    it.start();
    for (int round = 0; round < ROUNDS; ++round) {
        const std::int64_t begunAt = nowMs();
        const int host = round % it.hostCount();
        const ClientRequest request { .attempt = it.newAttempt(),
            .target = "/report/summary",
            .body = DEADLY,
            .more = { { "X-Model", "m0" }, { "X-Token-Usage", "800,80" }, { "X-Length-Hint", "80" } } };
        it.note("client sends " + request.attempt + " (the deadly request) to host " + std::to_string(host));
        const Outcome outcome = call(it.frontend(host), request);
        it.note("client's answer to " + request.attempt + ": " + outcome.text());
        sleepMs(begunAt + ROUND_MS - nowMs());
    }
    const std::lock_guard lock(mutex);
    int late = 0;
    for (const std::int64_t at : arrivals)
        late += crashes.size() >= 3 && at > crashes[2] + CONTACT_MS ? 1 : 0;
    it.note("runs of the deadly request: " + std::to_string(arrivals.size()) + ", crashes: "
        + std::to_string(crashes.size()) + ", runs later than contact_ms after the third crash: " + std::to_string(late)
        + " (allowed: " + std::to_string(ALLOWED_RETRIES) + ")");
    return late > ALLOWED_RETRIES ? BROKEN : HELD;
}

}
