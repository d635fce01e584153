#include "cases.h"
#include "client.h"

#include <deque>

// Runners of a service say that they are brittle while requests come faster than they can be served.
namespace review {

namespace {

constexpr int RUNNERS = 3;
constexpr int SLOTS = 6;
// Requests that a runner lets wait, as usual and while it is brittle.
constexpr int USUAL_QUEUE = 24;
constexpr int BRITTLE_QUEUE = 2;
// A brittle runner that turns more requests away in a second falls over.
constexpr int MAX_REJECTED_PER_SECOND = 5;
constexpr std::int64_t WORK_MS = 200;
constexpr std::int64_t DOWN_MS = 3000;
// Requests a second: as usual, and during a burst of 1.7 times that. The runners serve 90.
constexpr int USUAL_RATE = 70;
constexpr int BURST_RATE = 119;
// In milliseconds from the first request.
constexpr std::int64_t BRITTLE_FROM = 1000;
constexpr std::int64_t BURST_FROM = BRITTLE_FROM + CONTACT_MS + 1000;
constexpr std::int64_t BURST_TO = BURST_FROM + 6000;
constexpr std::int64_t LAST = BURST_TO + 2000;
// Of the rule: 2 and a tenth of the number of runners.
constexpr double ALLOWED_FALLS = 2 + 0.1 * RUNNERS;

struct Load {
    std::mutex mutex;
    std::condition_variable freed;
    int running = 0;
    int waiting = 0;
    std::deque<std::int64_t> rejectedAt;
    std::string id;
};

}

int runBrittleRunners(Deployment& it)
{
    it.configure({ { { "name", "r-order" }, { "host", "small.example" }, { "path_prefix", "/order/" },
                     { "type", "non_idempotent" }, { "timeout_ms", 1500 }, { "target_latency_ms", 150 },
                     { "priority", 2 }, { "service", "orders" }, { "max_attempts", 1 }, { "anonymous", false } } },
        { { { "name", "orders" }, { "health_path", "/healthz" }, { "max_connections", 110 }, { "protocol", "h1" },
            { "tls", false }, { "warmup_s", 0.0 }, { "warmup_per_s", 0.0 } } });
    std::atomic<std::int64_t> trafficFrom = 0;
    std::atomic<int> falls = 0;
    std::atomic<int> ran = 0;
    std::atomic<int> rejected = 0;
    std::map<std::string, Load> loads;
    for (int n = 0; n < RUNNERS; ++n)
        loads[it.runnerAddress(n).text()];
    const auto handle = [&](Runner& runner, int fd, Reader&, const Message& request) {
        Load& load = loads.at(runner.address().text());
        const std::int64_t sinceStart = trafficFrom == 0 ? 0 : nowMs() - trafficFrom;
        const bool brittle = hasTrouble() && sinceStart >= BRITTLE_FROM;
        const bool letsFewerWait = brittle && sinceStart >= BRITTLE_FROM + CONTACT_MS;
        const std::string notice = brittle ? "Server-Brittle: " + std::to_string(MAX_REJECTED_PER_SECOND) + "\r\n" : "";
        std::unique_lock lock(load.mutex);
        const std::string id = runner.id();
        if (load.id != id) {
            load.id = id;
            load.running = load.waiting = 0;
            load.rejectedAt.clear();
        }
        const auto loadHeader = [&] {
            return "X-Instance-Load: " + std::to_string(load.running) + "," + std::to_string(load.waiting) + ","
                + std::to_string(SLOTS) + "\r\n";
        };
        if (load.running >= SLOTS && load.waiting >= (letsFewerWait ? BRITTLE_QUEUE : USUAL_QUEUE)) {
            ++rejected;
            const std::int64_t now = nowMs();
            load.rejectedAt.push_back(now);
            while (now - load.rejectedAt.front() >= 1000)
                load.rejectedAt.pop_front();
            if (letsFewerWait && load.rejectedAt.size() > MAX_REJECTED_PER_SECOND) {
                load.rejectedAt.clear();
                ++falls;
                it.note("runner " + id + " falls over");
                runner.crash(DOWN_MS);
                load.freed.notify_all();
                return false;
            }
            return sendAll(fd,
                "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
                    + "\r\nX-Not-Executed: 1\r\n" + notice + loadHeader() + "Content-Length: 0\r\n\r\n");
        }
        ++load.waiting;
        load.freed.wait(lock, [&] { return load.id != id || load.running < SLOTS || runner.id() != id; });
        if (load.id != id || runner.id() != id)
            return false;
        --load.waiting;
        ++load.running;
        ++ran;
        lock.unlock();
        sleepMs(WORK_MS);
        lock.lock();
        if (load.id != id)
            return false;
        --load.running;
        load.freed.notify_one();
        const std::string more = notice + loadHeader();
        lock.unlock();
        return sendAll(fd, answer(request, "order taken", more));
    };
    std::vector<std::unique_ptr<Runner>> runners;
    for (int n = 0; n < RUNNERS; ++n) {
        runners.push_back(std::make_unique<Runner>(it,
            Runner::Options {
                .service = "orders", .address = it.runnerAddress(n), .zone = Deployment::zone(n), .slots = SLOTS },
            handle));
    }
    it.start();
    std::mutex mutex;
    std::map<int, int> statuses;
    std::vector<std::thread> clients;
    trafficFrom = nowMs();
    if (hasTrouble())
        it.note("the runners are brittle from " + std::to_string(BRITTLE_FROM) + " ms after the first request on");
    double due = 0;
    for (int n = 0; due < LAST; ++n) {
        sleepMs(trafficFrom + static_cast<std::int64_t>(due) - nowMs());
        const bool burst = due >= BURST_FROM && due < BURST_TO;
        due += 1000.0 / (burst ? BURST_RATE : USUAL_RATE);
        clients.emplace_back([&, host = n % it.hostCount()] {
            const ClientRequest request {
                .attempt = it.newAttempt(), .target = "/order/new", .body = "order", .deadlineMs = 1500
            };
            const Outcome outcome = call(it.frontend(host), request);
            const std::lock_guard lock(mutex);
            ++statuses[outcome.status];
        });
    }
    for (std::thread& client : clients)
        client.join();
    std::string answers;
    for (const auto& [status, n] : statuses)
        answers += " " + std::to_string(status) + ": " + std::to_string(n);
    it.note("answers by status:" + answers + "; runs: " + std::to_string(ran)
        + ", rejected by runners: " + std::to_string(rejected));
    it.note("runners that fell over: " + std::to_string(falls) + " (allowed: " + std::to_string(ALLOWED_FALLS) + ")");
    return falls > ALLOWED_FALLS ? BROKEN : HELD;
}

}
