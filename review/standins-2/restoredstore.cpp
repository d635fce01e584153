#include "cases.h"
#include "client.h"

#include <signal.h>

// The store comes back from a copy that still has a key which was taken away, while one host starts again.
namespace review {

namespace {

constexpr int RUNNERS = 3;
constexpr std::int64_t REVOKE_MS = 5000;
// In milliseconds after the acknowledgement of the configuration without the key. The copy is older than that.
constexpr std::int64_t COPIED_BEFORE_MS = 100;
constexpr std::int64_t AWAY_AT_MS = 4400;
constexpr std::int64_t AWAY_MS = 500;
constexpr std::int64_t WRITTEN_AGAIN_AFTER_MS = 2000;
constexpr std::int64_t ASKED_UNTIL_MS = 9000;
constexpr std::int64_t START_DELAY_MS = 300;
const std::string KEPT_KEY = "key-a1";
const std::string REVOKED_KEY = "key-a2";

}

int runRestoredStore(Deployment& it)
{
    const nlohmann::json routes { { { "name", "r-order" }, { "host", "small.example" }, { "path_prefix", "/order/" },
        { "type", "non_idempotent" }, { "timeout_ms", 1500 }, { "target_latency_ms", 150 }, { "priority", 2 },
        { "service", "orders" }, { "max_attempts", 1 }, { "anonymous", false } } };
    const nlohmann::json services { { { "name", "orders" }, { "health_path", "/healthz" }, { "max_connections", 110 },
        { "protocol", "h1" }, { "tls", false }, { "warmup_s", 0.0 }, { "warmup_per_s", 0.0 } } };
    it.configure(routes, services);
    std::mutex mutex;
    std::map<std::string, std::int64_t> sentAt;
    std::int64_t acknowledgedAt = 0;
    int late = 0;
    const auto handle = [&](Runner& runner, int fd, Reader&, const Message& request) {
        const std::string attempt = request.header("X-Attempt-Id");
        {
            const std::lock_guard lock(mutex);
            const auto sent = sentAt.find(attempt);
            if (sent != sentAt.end()) {
                const std::int64_t after = sent->second - acknowledgedAt;
                late += after > REVOKE_MS ? 1 : 0;
                it.note("runner " + runner.id() + " runs " + attempt + " with the revoked key, sent "
                    + std::to_string(after) + " ms after the acknowledgement");
            }
        }
        return sendAll(fd, answer(request, "order taken"));
    };
    std::vector<std::unique_ptr<Runner>> runners;
    for (int n = 0; n < RUNNERS; ++n) {
        runners.push_back(std::make_unique<Runner>(it,
            Runner::Options { .service = "orders", .address = it.runnerAddress(n), .zone = Deployment::zone(n) },
            handle));
    }
    it.start();
    const auto copy = it.store().copy();
    it.note("the store's copy is taken");
    sleepMs(COPIED_BEFORE_MS);
    it.configure(routes, services, 8, { KEPT_KEY });
    {
        const std::lock_guard lock(mutex);
        acknowledgedAt = it.elapsedMs();
    }
    it.note("configuration 8, without " + REVOKED_KEY + ", is acknowledged");
    const std::int64_t acknowledged = nowMs();
    std::atomic<bool> ended = false;
    std::vector<std::thread> clients;
    std::map<int, std::map<int, int>> statuses;
    for (int host = 0; host < it.hostCount(); ++host) {
        clients.emplace_back([&, host] {
            while (!ended) {
                const ClientRequest request { .attempt = it.newAttempt(),
                    .target = "/order/new",
                    .key = REVOKED_KEY,
                    .body = "order",
                    .deadlineMs = 1500 };
                {
                    const std::lock_guard lock(mutex);
                    sentAt[request.attempt] = it.elapsedMs();
                }
                const Outcome outcome = call(it.frontend(host), request);
                {
                    const std::lock_guard lock(mutex);
                    ++statuses[host][outcome.status];
                }
                sleepMs(50);
            }
        });
    }
    const char* chosen = std::getenv("RESTARTED_HOST");
    const int restarted = chosen ? std::atoi(chosen) : 0;
    sleepMs(acknowledged + AWAY_AT_MS - nowMs());
    it.note("host " + std::to_string(restarted) + " is killed");
    it.sendSignal(restarted, SIGKILL);
    std::thread drill([&] {
        if (!hasTrouble())
            return;
        it.note("the store is away");
        it.store().restore(copy, AWAY_MS);
        it.note("the store is back from the copy");
    });
    while (it.isRunning(restarted))
        sleepMs(10);
    sleepMs(START_DELAY_MS);
    it.startHost(restarted);
    drill.join();
    sleepMs(acknowledged + AWAY_AT_MS + AWAY_MS + WRITTEN_AGAIN_AFTER_MS - nowMs());
    if (hasTrouble()) {
        it.configure(routes, services, 8, { KEPT_KEY });
        it.note("the operator has written configuration 8 again");
    }
    sleepMs(acknowledged + ASKED_UNTIL_MS - nowMs());
    ended = true;
    for (std::thread& client : clients)
        client.join();
    for (const auto& [host, counts] : statuses) {
        std::string text;
        for (const auto& [status, n] : counts)
            text += " " + std::to_string(status) + ": " + std::to_string(n);
        it.note("answers of host " + std::to_string(host) + " to requests with the revoked key:" + text);
    }
    it.note("runs of requests sent later than revoke_ms after the acknowledgement: " + std::to_string(late)
        + " (allowed: 0)");
    return late > 0 ? BROKEN : HELD;
}

}
