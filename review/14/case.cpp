#include "deployment.h"

#include <csignal>
#include <iostream>

// The host that reads the platform's list freezes; just then a runner leaves that never reports it.

using namespace review;

namespace {

constexpr Ms CONTACT { 4000 };
constexpr Ms DRAIN { 3000 };
constexpr Ms FREEZE { 3500 };
constexpr Ms WORK { 30 };
// The runner that leaves goes on serving for this long beyond the bound, and then exits.
constexpr Ms LINGER { 400 };
constexpr Ms REQUEST_INTERVAL { 10 };
constexpr int CALLERS_PER_HOST = 4;

struct Arrival {
    long at = 0;
    std::string attempt;
};

// What reached the runner that leaves, and what the callers got.
class Log {
public:
    void arrived(long at, const std::string& attempt)
    {
        const std::lock_guard lock(m_mutex);
        m_arrivals.push_back({ .at = at, .attempt = attempt });
    }
    void answered(const std::string& attempt, int status)
    {
        const std::lock_guard lock(m_mutex);
        m_statuses[attempt] = status;
    }
    std::vector<Arrival> arrivals()
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }
    int statusOf(const std::string& attempt)
    {
        const std::lock_guard lock(m_mutex);
        return m_statuses[attempt];
    }

private:
    std::mutex m_mutex;
    std::vector<Arrival> m_arrivals;
    std::map<std::string, int> m_statuses;
};

// Sends requests to one host on a kept connection until it is told to stop.
void sendRequests(const Address& host, int number, const std::atomic<bool>& stopped, Log& log)
{
    std::unique_ptr<Connection> connection;
    for (int n = 0; !stopped; ++n) {
        if (!connection)
            connection = dial(host);
        if (!connection)
            continue;
        connection->setReadTimeout(Ms(2000));
        const std::string attempt = attemptId(number * 100'000 + n);
        connection->write("POST /votes/1 HTTP/1.1\r\nHost: urna.example\r\nX-Attempt-Id: " + attempt
            + "\r\nX-Deadline-Ms: 1000\r\nAuthorization: Token key-1\r\nContent-Length: 4\r\n\r\nvote");
        auto answer = connection->readHead();
        const bool sound = answer && connection->readBody(*answer);
        log.answered(attempt, sound ? answer->status() : 0);
        if (!sound)
            connection.reset();
        std::this_thread::sleep_for(REQUEST_INTERVAL);
    }
}

int run(const std::string& folder)
{
    Record record(folder + "/record.txt");
    Settings settings = smallSiteSettings();
    for (const auto& [name, value] : grownSiteSettings())
        settings[name] = value;
    settings["limits.memory_mb"] = "110";
    Deployment deployment({ .hosts = 4, .zones = { "zone-a", "zone-b" }, .settings = settings }, record);
    const nlohmann::json route { { "name", "r-votes" }, { "host", "urna.example" }, { "path_prefix", "/votes/" },
        { "type", "non_idempotent" }, { "timeout_ms", 1000 }, { "target_latency_ms", 150 }, { "priority", 2 },
        { "service", "urna" }, { "max_attempts", 1 }, { "anonymous", false } };
    const nlohmann::json service { { "name", "urna" }, { "health_path", "/healthz" }, { "max_connections", 410 },
        { "protocol", "h1" }, { "tls", false }, { "warmup_s", 0.0 }, { "warmup_per_s", 0.0 } };
    const nlohmann::json tenant { { "name", "tenant-1" }, { "api_keys", { "key-1" } }, { "priority", 1 } };
    deployment.store().put("keyed.op", "config",
        configuration(
            1, nlohmann::json::array({ route }), nlohmann::json::array({ service }), nlohmann::json::array({ tenant }))
            .dump());
    Log log;
    std::vector<std::unique_ptr<Runner>> runners(3);
    for (std::size_t n = 0; n < runners.size(); ++n) {
        runners[n] = std::make_unique<Runner>(deployment.store(),
            RunnerOptions { .id = "i-urna-" + std::to_string(n + 1),
                .service = "urna",
                .zone = n % 2 == 0 ? "zone-a" : "zone-b",
                .address = deployment.runnerAddress(n),
                .slots = 6 },
            [&, n](Message& request, Connection& connection) {
                if (n == 0)
                    log.arrived(record.now(), request.header("x-attempt-id"));
                std::this_thread::sleep_for(WORK);
                return connection.write(response(200, runners[n]->answerHeaders(request), "recorded"));
            });
    }
    // The latest read of the list of runners, and the host that made it.
    std::atomic<int> reader = -1;
    std::atomic<int> reads = 0;
    deployment.store().setOnCall([&](std::size_t host, const Message& call) {
        if (call.path() != "/fireflyhaven/log-read" || call.query("topic") != "keyed.servers")
            return;
        reader = static_cast<int>(host);
        ++reads;
    });
    deployment.start();
    if (!deployment.awaitReady(Ms(15000)))
        return 2;
    std::this_thread::sleep_for(CONTACT + Ms(2000));
    std::atomic<bool> stopped = false;
    std::vector<std::thread> callers;
    const auto startCallers = [&](std::size_t except) {
        for (std::size_t host = 0; host < deployment.hosts(); ++host) {
            for (int n = 0; host != except && n < CALLERS_PER_HOST; ++n) {
                const int number = static_cast<int>(host) * CALLERS_PER_HOST + n + 1;
                callers.emplace_back(
                    [&, host, number] { sendRequests(deployment.frontend(host), number, stopped, log); });
            }
        }
    };
    const int seen = reads;
    while (reads == seen)
        std::this_thread::sleep_for(Ms(1));
    const auto frozen = static_cast<std::size_t>(reader.load());
    startCallers(frozen);
    std::this_thread::sleep_for(Ms(1500));
    record.line("host " + std::to_string(frozen) + " reads the list of runners");

    // Right after a read, when its answer has been passed on.
    const int before = reads;
    while (reads == before)
        std::this_thread::sleep_for(Ms(1));
    std::this_thread::sleep_for(Ms(50));
    if (static_cast<std::size_t>(reader.load()) != frozen)
        return 2;
    if (hasTrouble())
        deployment.signal(frozen, SIGSTOP);
    std::this_thread::sleep_for(Ms(20));
    runners[0]->unregister();
    const long acknowledgedAt = record.now();
    record.line("runner i-urna-1 leaves without a word; the store has accepted that its entry is gone");
    const auto acceptedAt = Clock::now();
    std::this_thread::sleep_until(acceptedAt + DRAIN + LINGER);
    runners[0]->stop();
    record.line("runner i-urna-1 has exited");
    std::this_thread::sleep_until(acceptedAt + FREEZE);
    if (hasTrouble())
        deployment.signal(frozen, SIGCONT);
    std::this_thread::sleep_for(Ms(500));
    stopped = true;
    for (std::thread& it : callers)
        it.join();

    int late = 0;
    int lost = 0;
    long last = 0;
    for (const Arrival& it : log.arrivals()) {
        last = it.at - acknowledgedAt;
        if (last <= DRAIN.count())
            continue;
        ++late;
        const int status = log.statusOf(it.attempt);
        lost += status == 200 ? 0 : 1;
        record.line("runner i-urna-1 got " + it.attempt + " " + std::to_string(last)
            + " ms after the store had accepted that it is gone; the caller got " + std::to_string(status));
    }
    const std::string result = std::to_string(late) + " requests later than " + std::to_string(DRAIN.count())
        + " ms, the last of all after " + std::to_string(last) + " ms; " + std::to_string(lost)
        + " of them lost when the runner exited";
    record.line(result);
    std::cout << result << "\n";
    return late > 0 ? 1 : 0;
}

}

int main(int, char** argv)
{
    try {
        return run(argv[1]);
    } catch (const std::exception& it) {
        std::cerr << it.what() << "\n";
        return 2;
    }
}
