#include "deployment.h"

#include <iostream>
#include <queue>

// A request crashes each runner that begins to run it. It comes again and again, each time a while later and at another
// host, beside sound requests.

using namespace review;

namespace {

constexpr Ms CONTACT { 3000 };
constexpr Ms BACK_AFTER { 3000 };
constexpr Ms WORK { 30 };
constexpr Ms DEADLY_INTERVAL { 16'000 };
constexpr int DEADLY_REQUESTS = 7;
constexpr Ms SOUND_INTERVAL { 20 };
constexpr std::size_t RUNNERS = 3;
constexpr std::size_t COUNTED_CRASH = 3;
constexpr int MAX_RETRIES = 3;
const std::string DEADLY_BODY = "an order with an endless list";

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
        m_record.line("runner " + m_runners[runner]->id() + " got " + attempt + ", which crashes it");
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

int request(const Address& host, int n, const std::string& body)
{
    const auto connection = dial(host);
    if (!connection)
        return 0;
    connection->setReadTimeout(Ms(2500));
    connection->write("POST /orders/1 HTTP/1.1\r\nHost: member.example\r\nX-Attempt-Id: " + attemptId(n)
        + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key-1\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body);
    auto head = connection->readHead();
    if (!head || !connection->readBody(*head))
        return 0;
    return head->status();
}

bool work(
    std::size_t number, const Runner& runner, const Message& request, const Connection& connection, Crasher& crasher)
{
    const bool deadly = request.body == DEADLY_BODY;
    if (deadly)
        crasher.arrived(number, request.header("x-attempt-id"));
    std::this_thread::sleep_for(deadly ? WORK / 3 : WORK);
    if (!deadly)
        return connection.write(response(200, runner.answerHeaders(request), "done"));
    crasher.crash(number);
    while (!connection.isClosed())
        std::this_thread::sleep_for(Ms(2));
    return false;
}

int run(const std::string& folder)
{
    Record record(folder + "/record.txt");
    Deployment deployment(
        { .hosts = 3, .zones = { "zone-a", "zone-b", "zone-c" }, .settings = smallSiteSettings() }, record);
    const nlohmann::json route { { "name", "r-orders" }, { "host", "member.example" }, { "path_prefix", "/orders/" },
        { "type", "non_idempotent" }, { "timeout_ms", 1500 }, { "target_latency_ms", 150 }, { "priority", 2 },
        { "service", "shop" }, { "max_attempts", 1 }, { "anonymous", false } };
    const nlohmann::json service { { "name", "shop" }, { "health_path", "/healthz" }, { "max_connections", 110 },
        { "protocol", "h1" }, { "tls", false }, { "warmup_s", 0.0 }, { "warmup_per_s", 0.0 } };
    const nlohmann::json tenant { { "name", "tenant-1" }, { "api_keys", { "key-1" } }, { "priority", 1 } };
    deployment.store().put("keyed.op", "config",
        configuration(
            1, nlohmann::json::array({ route }), nlohmann::json::array({ service }), nlohmann::json::array({ tenant }))
            .dump());
    std::vector<std::unique_ptr<Runner>> runners(RUNNERS);
    Crasher crasher(runners, record);
    for (std::size_t n = 0; n < runners.size(); ++n) {
        runners[n] = std::make_unique<Runner>(deployment.store(),
            RunnerOptions { .id = "i-shop-" + std::to_string(n + 1),
                .service = "shop",
                .zone = std::string("zone-") + "abc"[n % 3],
                .address = deployment.runnerAddress(n),
                .slots = 6 },
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
    std::atomic<int> lost = 0;
    std::vector<std::thread> callers;
    for (std::size_t host = 0; host < deployment.hosts(); ++host) {
        callers.emplace_back([&, host] {
            for (int n = 0; !stopped; ++n) {
                const int number = static_cast<int>(host + 1) * 100'000 + n;
                const int status = request(deployment.frontend(host), number, "order " + std::to_string(number));
                ++sent;
                if (status != 200) {
                    ++lost;
                    record.line("the sound order " + attemptId(number) + " got " + std::to_string(status));
                }
                std::this_thread::sleep_for(SOUND_INTERVAL);
            }
        });
    }
    std::this_thread::sleep_for(Ms(1000));
    auto next = Clock::now();
    for (int n = 0; n < DEADLY_REQUESTS; ++n) {
        std::this_thread::sleep_until(next);
        next += DEADLY_INTERVAL;
        if (!hasTrouble())
            continue;
        const std::size_t host = static_cast<std::size_t>(n) % deployment.hosts();
        const int status = request(deployment.frontend(host), 900'000 + n, DEADLY_BODY);
        record.line("the request that crashes runners came to host " + std::to_string(host) + ", which answered "
            + std::to_string(status));
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
    const std::string result = std::to_string(crashes.size()) + " crashes; the request reached runners "
        + std::to_string(late) + " times later than " + std::to_string(CONTACT.count())
        + " ms after it had crashed the third; " + std::to_string(lost) + " of " + std::to_string(sent)
        + " sound orders not served";
    record.line(result);
    std::cout << result << "\n";
    return late > MAX_RETRIES ? 1 : 0;
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
