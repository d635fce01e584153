#include "deployment.h"

#include <csignal>
#include <iostream>

// A host is stopped in a planned way while it passes on streams. The only runner that it may use falls silent for a
// moment and goes on.

using namespace review;

namespace {

constexpr int CALLERS = 8;
constexpr int EVENTS = 40;
constexpr Ms EVENT_INTERVAL { 100 };
constexpr Ms SILENCE_AFTER { 1500 };
constexpr Ms SILENCE { 1500 };
constexpr Ms TERM_AFTER { 500 };
constexpr Ms GRACE { 8000 };

std::string chunk(const std::string& bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

// The time in which the runner is silent, if any.
struct Silence {
    std::atomic<bool> isPlanned = false;
    Clock::time_point begin;
    Clock::time_point end;
};

struct Outcome {
    int status = 0;
    bool complete = false;
    int events = 0;
    long endedAt = 0;
};

Outcome readStream(const Address& host, int n, Record& record)
{
    Outcome outcome;
    const auto connection = dial(host);
    if (!connection)
        return outcome;
    connection->setReadTimeout(Ms(6500));
    const std::string attempt = attemptId(n);
    connection->write("POST /answers/1 HTTP/1.1\r\nHost: urna.example\r\nX-Attempt-Id: " + attempt
        + "\r\nX-Model: model-1\r\nX-Token-Usage: 628,400\r\nX-Prefix-Hash: 5c1e07a2:119," + std::to_string(1000 + n)
        + ":509\r\nX-Deadline-Ms: 20000\r\nAuthorization: Token key-1\r\nContent-Length: 0" + "\r\n\r\n");
    record.line("caller " + attempt + " sent its request");
    const auto head = connection->readHead();
    outcome.status = head ? head->status() : 0;
    for (;;) {
        const auto size = connection->readLine();
        if (!size)
            break;
        const std::size_t bytes = std::strtoul(size->c_str(), nullptr, 16);
        std::string piece;
        if (!connection->readExactly(piece, bytes) || !connection->readLine())
            break;
        if (bytes == 0) {
            outcome.complete = outcome.status == 200;
            break;
        }
        ++outcome.events;
    }
    outcome.endedAt = record.now();
    record.line("caller " + attempt + " status " + std::to_string(outcome.status) + ", "
        + std::to_string(outcome.events) + " events, " + (outcome.complete ? "complete" : "BROKEN OFF"));
    return outcome;
}

bool work(
    const Runner& runner, const Message& request, const Connection& connection, const Silence& silence, Record& record)
{
    const std::string attempt = request.header("x-attempt-id");
    record.line("runner " + runner.id() + " runs " + attempt);
    bool sound = connection.write("HTTP/1.1 200 OK\r\n" + runner.answerHeaders(request)
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int id = std::atoi(request.header("last-event-id").c_str()) + 1; sound && id <= EVENTS; ++id) {
        if (silence.isPlanned && Clock::now() >= silence.begin && Clock::now() < silence.end) {
            record.line("runner " + runner.id() + " is silent before event " + std::to_string(id) + " of " + attempt);
            std::this_thread::sleep_until(silence.end);
        }
        if (connection.isClosed()) {
            sound = false;
            break;
        }
        sound = connection.write(chunk("id: " + std::to_string(id) + "\ndata: seven tokens of the answer\n\n"));
        std::this_thread::sleep_for(EVENT_INTERVAL);
    }
    sound = sound && connection.write("0\r\n\r\n");
    record.line("runner " + runner.id() + (sound ? " ended " : " was left by its caller in ") + attempt);
    return sound;
}

int run(const std::string& folder)
{
    Record record(folder + "/record.txt");
    Settings settings = smallSiteSettings();
    settings["limits.memory_mb"] = "110";
    settings["bounds.retry_slack"] = "58";
    settings["bounds.reuse_window_s"] = "9.5";
    Deployment deployment({ .hosts = 2, .zones = { "zone-a", "zone-b" }, .settings = settings }, record);
    const nlohmann::json route { { "name", "r-answers" }, { "host", "urna.example" }, { "path_prefix", "/answers/" },
        { "type", "streaming" }, { "timeout_ms", 20000 }, { "target_latency_ms", 1000 }, { "priority", 0 },
        { "service", "assembly" }, { "max_attempts", 3 }, { "anonymous", false }, { "session_affinity", true },
        { "resumable", true }, { "target_gap_ms", 800 } };
    const nlohmann::json service { { "name", "assembly" }, { "health_path", "/healthz" }, { "max_connections", 370 },
        { "protocol", "h1" }, { "tls", false }, { "warmup_s", 0.0 }, { "warmup_per_s", 0.0 },
        { "engine",
            { { "batch_slots", 64 }, { "kv_capacity", 416902 },
                { "models", nlohmann::json::array({ { { "name", "model-1" }, { "cost", 0.02 } } }) } } } };
    const nlohmann::json tenant { { "name", "tenant-1" }, { "api_keys", { "key-1" } }, { "priority", 1 } };
    deployment.store().put("keyed.op", "config",
        configuration(
            1, nlohmann::json::array({ route }), nlohmann::json::array({ service }), nlohmann::json::array({ tenant }))
            .dump());
    Silence silence;
    std::vector<std::unique_ptr<Runner>> runners(2);
    for (std::size_t n = 0; n < runners.size(); ++n) {
        runners[n] = std::make_unique<Runner>(deployment.store(),
            RunnerOptions { .id = "i-llm-" + std::to_string(n + 1),
                .service = "assembly",
                .zone = n == 0 ? "zone-a" : "zone-b",
                .address = deployment.runnerAddress(n),
                .slots = 64 },
            [&, n](Message& request, Connection& connection) {
                return work(*runners[n], request, connection, silence, record);
            });
    }
    deployment.start();
    if (!deployment.awaitReady(Ms(15000)))
        return 2;
    std::this_thread::sleep_for(Ms(4000));
    deployment.store().put("keyed.op", "evacuate/zone-b", "{}");
    record.line("operator: zone-b is evacuated");
    std::this_thread::sleep_for(Ms(3000));

    if (hasTrouble()) {
        silence.begin = Clock::now() + SILENCE_AFTER;
        silence.end = silence.begin + SILENCE;
        silence.isPlanned = true;
    }
    std::vector<Outcome> outcomes(CALLERS);
    std::vector<std::thread> callers;
    for (int n = 0; n < CALLERS; ++n) {
        callers.emplace_back(
            [&, n] { outcomes[static_cast<std::size_t>(n)] = readStream(deployment.frontend(0), n, record); });
    }
    std::this_thread::sleep_for(TERM_AFTER);
    const long stoppedAt = record.now();
    deployment.signal(0, SIGTERM);
    for (std::thread& it : callers)
        it.join();
    deployment.store().put("keyed.op", "evacuate/zone-b", "");
    record.line("operator: zone-b is taken back");
    while (deployment.isRunning(0) && record.now() < stoppedAt + GRACE.count())
        std::this_thread::sleep_for(Ms(20));
    int cut = 0;
    for (const Outcome& it : outcomes) {
        if (it.status != 200)
            return 2;
        // In the last sixth of the grace a stream may be cut.
        cut += !it.complete && it.endedAt < stoppedAt + GRACE.count() * 5 / 6 ? 1 : 0;
    }
    record.line(std::to_string(cut) + " of " + std::to_string(CALLERS) + " streams broken off");
    std::cout << cut << " of " << CALLERS << " streams broken off\n";
    return cut > 0 ? 1 : 0;
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
