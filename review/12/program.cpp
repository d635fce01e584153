#include "deployment.h"

#include <iostream>
#include <queue>

// A part of a prompt crashes each runner that begins to write an answer on it. Requests with it come seldom, no two
// alike, beside sound ones of the same route, and streams of a route that may not be resumed.

using namespace review;

namespace {

constexpr Ms CONTACT { 3000 };
constexpr Ms BACK_AFTER { 3000 };
constexpr Ms PREFILL { 200 };
constexpr Ms DEADLY_INTERVAL { 32'000 };
constexpr int DEADLY_REQUESTS = 4;
constexpr Ms SOUND_INTERVAL { 200 };
constexpr std::size_t RUNNERS = 6;
constexpr std::size_t COUNTED_CRASH = 5;
constexpr int MAX_REQUESTS = 3;
const std::string DEADLY_PART = "deadbeef01";

std::string chunk(const std::string& bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

// Ends the runners that are to crash, and starts them again.
class Crasher {
public:
    Crasher(std::vector<std::unique_ptr<Runner>>& runners, Record& record)
        : m_runners(runners)
        , m_record(record)
        , m_thread([this] { run(); })
    {
    }
    ~Crasher()
    {
        m_stopped = true;
        m_thread.join();
    }
    Crasher(const Crasher&) = delete;
    Crasher& operator=(const Crasher&) = delete;

    void arrived(std::size_t runner, const std::string& attempt)
    {
        const std::lock_guard lock(m_mutex);
        m_arrivals.push_back(m_record.now());
        m_record.line("runner " + m_runners[runner]->id() + " got " + attempt + " with the deadly part");
    }
    void crash(std::size_t runner)
    {
        const std::lock_guard lock(m_mutex);
        m_crashes.push_back(m_record.now());
        m_due.push({ Clock::now(), runner, true });
    }
    std::vector<long> arrivals()
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }
    std::vector<long> crashes()
    {
        const std::lock_guard lock(m_mutex);
        return m_crashes;
    }

private:
    struct Step {
        Clock::time_point at;
        std::size_t runner = 0;
        bool ends = false;

        bool operator<(const Step& other) const { return at > other.at; }
    };

    std::optional<Step> nextStep()
    {
        const std::lock_guard lock(m_mutex);
        if (m_due.empty() || m_due.top().at > Clock::now())
            return std::nullopt;
        const Step step = m_due.top();
        m_due.pop();
        if (step.ends)
            m_due.push({ Clock::now() + BACK_AFTER, step.runner, false });
        return step;
    }

    void run()
    {
        while (!m_stopped) {
            const auto step = nextStep();
            if (!step) {
                std::this_thread::sleep_for(Ms(1));
                continue;
            }
            Runner& runner = *m_runners[step->runner];
            m_record.line("runner " + runner.id() + (step->ends ? " crashes" : " is back"));
            step->ends ? runner.crash() : runner.restart();
        }
    }

    std::vector<std::unique_ptr<Runner>>& m_runners;
    Record& m_record;
    std::mutex m_mutex;
    std::priority_queue<Step> m_due;
    std::vector<long> m_arrivals;
    std::vector<long> m_crashes;
    std::atomic<bool> m_stopped = false;
    std::thread m_thread;
};

struct Request {
    Address host;
    int number = 0;
    std::string path;
    std::string parts;
};

// Returns the status; 0 if the answer was broken off.
int request(const Request& it)
{
    const auto connection = dial(it.host);
    if (!connection)
        return 0;
    connection->setReadTimeout(Ms(6000));
    const std::string body = "prompt " + attemptId(it.number);
    connection->write("POST " + it.path + " HTTP/1.1\r\nHost: member.example\r\nX-Attempt-Id: " + attemptId(it.number)
        + "\r\nX-Model: model-1\r\nX-Token-Usage: 2300,80\r\nX-Prefix-Hash: " + it.parts
        + "\r\nX-Deadline-Ms: 15000\r\nAuthorization: Token key-1\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body);
    auto head = connection->readHead();
    return head && connection->readBody(*head) ? head->status() : 0;
}

bool work(
    std::size_t number, const Runner& runner, const Message& request, const Connection& connection, Crasher& crasher)
{
    const std::string attempt = request.header("x-attempt-id");
    const bool deadly = request.header("x-prefix-hash").find(DEADLY_PART) != std::string::npos;
    if (deadly)
        crasher.arrived(number, attempt);
    std::this_thread::sleep_for(PREFILL);
    if (deadly) {
        crasher.crash(number);
        while (!connection.isClosed())
            std::this_thread::sleep_for(Ms(2));
        return false;
    }
    bool sound = connection.write("HTTP/1.1 200 OK\r\n" + runner.answerHeaders(request)
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const int events = request.path().starts_with("/reports/") ? 40 : 5;
    const int first = std::atoi(request.header("last-event-id").c_str()) + 1;
    for (int id = first; sound && id <= events; ++id) {
        sound = connection.write(chunk("id: " + std::to_string(id) + "\ndata: seven tokens\n\n"));
        std::this_thread::sleep_for(Ms(40));
    }
    return sound && connection.write("0\r\n\r\n");
}

int run(const std::string& folder)
{
    Record record(folder + "/record.txt");
    Deployment deployment(
        { .hosts = 3, .zones = { "zone-a", "zone-b", "zone-c" }, .settings = smallSiteSettings() }, record);
    const auto route = [](const std::string& name, bool resumable) {
        return nlohmann::json { { "name", "r-" + name }, { "host", "member.example" },
            { "path_prefix", "/" + name + "/" }, { "type", "streaming" }, { "timeout_ms", 15000 },
            { "target_latency_ms", 1000 }, { "priority", 0 }, { "service", "llm" }, { "max_attempts", 3 },
            { "anonymous", false }, { "session_affinity", true }, { "resumable", resumable },
            { "target_gap_ms", 1000 } };
    };
    const nlohmann::json service { { "name", "llm" }, { "health_path", "/healthz" }, { "max_connections", 370 },
        { "protocol", "h1" }, { "tls", false }, { "warmup_s", 0.0 }, { "warmup_per_s", 0.0 },
        { "engine",
            { { "batch_slots", 64 }, { "kv_capacity", 499052 },
                { "models", nlohmann::json::array({ { { "name", "model-1" }, { "cost", 0.02 } } }) } } } };
    const nlohmann::json tenant { { "name", "tenant-1" }, { "api_keys", { "key-1" } }, { "priority", 1 } };
    deployment.store().put("keyed.op", "config",
        configuration(1, nlohmann::json::array({ route("answers", true), route("reports", false) }),
            nlohmann::json::array({ service }), nlohmann::json::array({ tenant }))
            .dump());
    std::vector<std::unique_ptr<Runner>> runners(RUNNERS);
    Crasher crasher(runners, record);
    for (std::size_t n = 0; n < runners.size(); ++n) {
        runners[n] = std::make_unique<Runner>(deployment.store(),
            RunnerOptions { .id = "i-llm-" + std::to_string(n + 1),
                .service = "llm",
                .zone = std::string("zone-") + "abc"[n % 3],
                .address = deployment.runnerAddress(n),
                .slots = 64 },
            [&, n](Message& request, Connection& connection) {
                return work(n, *runners[n], request, connection, crasher);
            });
    }
    deployment.start();
    if (!deployment.awaitReady(Ms(15000)))
        return 2;
    std::this_thread::sleep_for(CONTACT);

    std::atomic<bool> stopped = false;
    std::atomic<int> sent = 0;
    std::atomic<int> cut = 0;
    std::vector<std::thread> callers;
    const auto startCaller = [&](std::size_t host, int number, const std::string& path) {
        callers.emplace_back([&, host, number, path] {
            for (int n = number; !stopped; ++n) {
                // The caller and the first part are those of the requests with the deadly part.
                const std::string parts
                    = "5c1e07a2:119," + std::to_string(100 + n % 20) + ":1500," + std::to_string(10'000 + n) + ":300";
                const int status = request({ deployment.frontend(host), n, path, parts });
                ++sent;
                if (status != 200) {
                    ++cut;
                    record.line("the sound request " + attemptId(n) + " of " + path + " got "
                        + (status == 0 ? std::string("a part of its answer") : std::to_string(status)));
                }
                std::this_thread::sleep_for(SOUND_INTERVAL);
            }
        });
    };
    for (std::size_t host = 0; host < deployment.hosts(); ++host) {
        const int number = static_cast<int>(host + 1) * 100'000;
        startCaller(host, number, "/answers/1");
        for (int n = 1; n <= 4; ++n)
            startCaller(host, number + n * 10'000, "/reports/1");
    }
    std::this_thread::sleep_for(Ms(3000));
    auto next = Clock::now();
    for (int n = 0; n < DEADLY_REQUESTS; ++n) {
        std::this_thread::sleep_until(next);
        next += DEADLY_INTERVAL;
        if (!hasTrouble())
            continue;
        const std::string parts = "5c1e07a2:119," + DEADLY_PART + ":1500," + std::to_string(500 + n) + ":300";
        const std::size_t host = static_cast<std::size_t>(n) % deployment.hosts();
        const int status = request({ deployment.frontend(host), 900'000 + n, "/answers/1", parts });
        record.line(
            "a request with the deadly part at host " + std::to_string(host) + " got " + std::to_string(status));
    }
    stopped = true;
    for (std::thread& it : callers)
        it.join();
    const std::vector<long> crashes = crasher.crashes();
    int late = 0;
    for (const long at : crasher.arrivals()) {
        const bool isCounted = crashes.size() >= COUNTED_CRASH;
        late += isCounted && at > crashes[COUNTED_CRASH - 1] + CONTACT.count() ? 1 : 0;
    }
    const std::string result = std::to_string(crashes.size()) + " crashes; " + std::to_string(late)
        + " requests with the part reached runners later than " + std::to_string(CONTACT.count())
        + " ms after the fifth; " + std::to_string(cut) + " of " + std::to_string(sent)
        + " sound requests not answered whole";
    record.line(result);
    std::cout << result << "\n";
    return late > MAX_REQUESTS ? 1 : 0;
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
