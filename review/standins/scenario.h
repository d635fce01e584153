#pragma once

#include "host.h"
#include "runner.h"

#include <list>

namespace review {

inline const std::string HOST_NAME = "review.example";

enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

// A route of the configuration that the operator writes.
struct Route {
    std::string service;
    std::string type = "idempotent";
    int timeoutMs = 1500;
    int maxAttempts = 2;
    bool resumable = false;
    // Without an API key.
    bool anonymous = false;
};

// One play of a case: a deployment with its store, its runners and its hosts.
class Scenario {
public:
    Scenario(const std::string& recordPath, bool withTrouble, std::string folder)
        : record(recordPath)
        , trouble(withTrouble)
    {
        deployment.folder = folder;
        deployment.logFolder = std::move(folder);
        deployment.store = { .ip = deployment.addresses.ip(1), .port = deployment.addresses.port(40) };
        store = std::make_unique<Store>(deployment.store);
    }

    // The path of a route is its service's name.
    void addRoute(const Route& route) { m_routes.push_back(route); }
    void addService(const std::string& name) { addRoute({ .service = name }); }

    // The operator writes a configuration, in which one tenant has these keys.
    void configure(int version, const std::vector<std::string>& keys) { configure(version, { { "tenant-1", keys } }); }
    // The operator writes a configuration with these tenants and their keys.
    void configure(int version, const std::map<std::string, std::vector<std::string>>& keysOfTenants)
    {
        nlohmann::json tenants = nlohmann::json::array();
        for (const auto& [name, keys] : keysOfTenants)
            tenants.push_back({ { "name", name }, { "api_keys", keys } });
        nlohmann::json routes = nlohmann::json::array();
        nlohmann::json services = nlohmann::json::array();
        for (const Route& it : m_routes) {
            routes.push_back({ { "name", "r-" + it.service }, { "host", HOST_NAME },
                { "path_prefix", "/" + it.service + "/" }, { "type", it.type }, { "timeout_ms", it.timeoutMs },
                { "target_latency_ms", 1000 }, { "target_gap_ms", 1000 }, { "priority", 2 }, { "service", it.service },
                { "max_attempts", it.maxAttempts }, { "anonymous", it.anonymous }, { "resumable", it.resumable } });
            services.push_back({ { "name", it.service }, { "max_connections", 370 }, { "health_path", "/healthz" } });
        }
        const nlohmann::json document { { "version", version }, { "routes", routes }, { "services", services },
            { "tenants", tenants },
            { "limits",
                { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 5000 },
                    { "idle_timeout_ms", 30000 } } } };
        store->write("keyed.op", "config", document.dump());
        record.line("operator writes configuration %d", version);
    }

    void startRunners(const std::string& service, int n, const Work& work, int slots = 6, int queue = 24)
    {
        startRunners(
            service, n, [work](const std::string&, const Message&) { return work; }, slots, queue);
    }
    // `workOf` gets the id of the runner and the request.
    void startRunners(const std::string& service, int n,
        const std::function<Work(const std::string&, const Message&)>& workOf, int slots = 6, int queue = 24)
    {
        for (int k = 0; k < n; ++k) {
            const std::string id = "i-" + service + "-" + std::to_string(k + 1);
            m_runners.emplace_back(RunnerOptions { .id = id,
                                       .service = service,
                                       .zone = deployment.zones[static_cast<std::size_t>(k) % deployment.zones.size()],
                                       .at = { .ip = deployment.addresses.ip(60 + static_cast<int>(m_runners.size())),
                                           .port = deployment.addresses.port(50) },
                                       .slots = slots,
                                       .queue = queue,
                                       .keepAlive = runnerKeepAlive },
                *store, runs, record, [workOf, id](const Message& request) { return workOf(id, request); });
        }
    }
    // Cuts the callers whose requests have ids with this prefix off from all runners.
    void cutOff(const std::string& prefix)
    {
        for (Runner& it : m_runners)
            it.cutOff(prefix);
    }
    void endCut()
    {
        for (Runner& it : m_runners)
            it.endCut();
    }
    // All runners write their entries, as they do after the store was away.
    void registerRunners()
    {
        for (Runner& it : m_runners)
            it.registerNow();
    }

    void startHosts(int n)
    {
        for (int k = 0; k < n; ++k)
            deployment.ips.push_back(deployment.addresses.ip(10 + k));
        for (int k = 0; k < n; ++k) {
            m_hosts.emplace_back(deployment, static_cast<std::size_t>(k));
            m_hosts.back().start(true);
        }
    }
    Host& host(std::size_t n) { return *std::next(m_hosts.begin(), static_cast<std::ptrdiff_t>(n)); }
    void waitUntilReady(Milliseconds timeout)
    {
        const auto until = Clock::now() + timeout;
        for (Host& it : m_hosts) {
            while (!it.isReady()) {
                if (Clock::now() > until)
                    throw std::runtime_error(it.name() + " is not ready in time");
                pause(Milliseconds(100));
            }
        }
        record.line("all hosts are ready");
    }

    static void pause(Milliseconds time) { std::this_thread::sleep_for(time); }
    std::string nextAttempt(const std::string& prefix = "a")
    {
        char text[32];
        std::snprintf(text, sizeof(text), "%06d", ++m_attempts);
        return prefix + text;
    }

    Record record;
    const bool trouble;
    Deployment deployment;
    Runs runs;
    std::unique_ptr<Store> store;
    // What runners that are started from now on say of their idle connections, in seconds; 0 for nothing.
    int runnerKeepAlive = 0;

private:
    std::vector<Route> m_routes;
    std::atomic<int> m_attempts = 0;
    std::list<Runner> m_runners;
    std::list<Host> m_hosts;
};

// Plays a case; its arguments are the path of the record, and 0 to leave the disruption out. Returns the exit code.
inline int runCase(int argc, char** argv, const std::function<Verdict(Scenario&)>& play)
{
    constexpr unsigned LONGEST_CASE_SECONDS = 115;
    ::alarm(LONGEST_CASE_SECONDS);
    std::signal(SIGPIPE, SIG_IGN);
    if (argc < 3)
        return static_cast<int>(Verdict::NotRun);
    std::string folder = (std::filesystem::temp_directory_path() / "fireflyhaven-review-XXXXXX").string();
    if (!::mkdtemp(folder.data()))
        return static_cast<int>(Verdict::NotRun);
    Verdict verdict = Verdict::NotRun;
    try {
        Scenario it(argv[1], std::string(argv[2]) != "0", folder);
        verdict = play(it);
    } catch (const std::exception& ex) {
        std::fprintf(stderr, "the case could not run: %s\n", ex.what());
    }
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(folder);
    else
        std::fprintf(stderr, "logs: %s\n", folder.c_str());
    return static_cast<int>(verdict);
}

}
