#include "deployment.h"

#include <iostream>

// All keys are taken away by two configurations, one after the other. The last one lists no tenant any more.

using namespace review;

namespace {

constexpr Ms REVOKE { 5000 };
constexpr Ms REVOKE_GAP { 1500 };
constexpr int REQUESTS_PER_KEY = 10;

struct Executions {
    std::mutex mutex;
    std::map<std::string, std::string> tenants;
};

struct Answer {
    int status = 0;
    std::string attempt;
};

class Case {
public:
    Case(Deployment& deployment, Record& record)
        : m_deployment(deployment)
        , m_record(record)
    {
    }

    bool hasRun(const std::string& attempt)
    {
        const std::lock_guard lock(m_executions.mutex);
        return m_executions.tenants.contains(attempt);
    }

    bool work(const Runner& runner, const Message& request, const Connection& connection)
    {
        const std::string attempt = request.header("x-attempt-id");
        {
            const std::lock_guard lock(m_executions.mutex);
            m_executions.tenants[attempt] = request.header("x-tenant");
        }
        m_record.line("runner " + runner.id() + " runs " + attempt + " tenant '" + request.header("x-tenant") + "'");
        std::this_thread::sleep_for(Ms(30));
        return connection.write(response(200, runner.answerHeaders(request), "done"));
    }

    // One request on a new connection. An empty key sends none.
    Answer request(std::size_t host, const std::string& key)
    {
        Answer answer { .attempt = attemptId(++m_lastAttempt) };
        const auto connection = dial(m_deployment.frontend(host));
        if (!connection)
            return answer;
        connection->setReadTimeout(Ms(3000));
        const std::string authorization = key.empty() ? "" : "Authorization: Token " + key + "\r\n";
        connection->write("POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + answer.attempt
            + "\r\nX-Deadline-Ms: 1500\r\n" + authorization + "Content-Length: 5\r\n\r\norder");
        auto head = connection->readHead();
        answer.status = head ? head->status() : 0;
        m_record.line("client sent " + answer.attempt + " to host " + std::to_string(host) + " with key '" + key
            + "', status " + std::to_string(answer.status));
        return answer;
    }

    void configure(int version, const nlohmann::json& tenants)
    {
        const nlohmann::json route { { "name", "r-orders" }, { "host", "shop.example" }, { "path_prefix", "/orders/" },
            { "type", "non_idempotent" }, { "timeout_ms", 1500 }, { "target_latency_ms", 150 }, { "priority", 2 },
            { "service", "shop" }, { "max_attempts", 1 }, { "anonymous", false } };
        const nlohmann::json service { { "name", "shop" }, { "health_path", "/healthz" }, { "max_connections", 110 },
            { "protocol", "h1" }, { "tls", false }, { "warmup_s", 0.0 }, { "warmup_per_s", 0.0 } };
        const auto document
            = configuration(version, nlohmann::json::array({ route }), nlohmann::json::array({ service }), tenants);
        m_deployment.store().put("keyed.op", "config", document.dump());
        m_record.line("operator: configuration " + std::to_string(version) + " accepted, tenants " + tenants.dump());
    }

private:
    Deployment& m_deployment;
    Record& m_record;
    Executions m_executions;
    int m_lastAttempt = 0;
};

nlohmann::json tenant(const std::string& name, const std::string& key)
{
    return { { "name", name }, { "api_keys", { key } }, { "priority", 1 } };
}

int run(const std::string& folder)
{
    Record record(folder + "/record.txt");
    Deployment deployment(
        { .hosts = 3, .zones = { "zone-a", "zone-b", "zone-c" }, .settings = smallSiteSettings() }, record);
    Case it(deployment, record);
    const auto first = tenant("tenant-1", "key-of-tenant-1");
    const auto second = tenant("tenant-2", "key-of-tenant-2");
    it.configure(1, nlohmann::json::array({ first, second }));
    Runner* self = nullptr;
    Runner runner(deployment.store(),
        { .id = "i-shop-1", .service = "shop", .zone = "zone-a", .address = deployment.runnerAddress(0), .slots = 6 },
        [&](Message& request, Connection& connection) { return it.work(*self, request, connection); });
    self = &runner;
    deployment.start();
    if (!deployment.awaitReady(Ms(15000)))
        return 2;
    std::this_thread::sleep_for(Ms(4000));

    // The set-up is sound: keys are asked for.
    for (std::size_t host = 0; host < deployment.hosts(); ++host) {
        const bool served = it.request(host, "key-of-tenant-1").status == 200;
        const bool refused = it.request(host, "key-of-nobody").status == 401 && it.request(host, "").status == 401;
        if (!served || !refused) {
            record.line("the set-up does not serve");
            return 2;
        }
    }
    if (hasTrouble()) {
        it.configure(2, nlohmann::json::array({ second }));
        std::this_thread::sleep_for(REVOKE_GAP);
        it.configure(3, nlohmann::json::array());
    }
    std::this_thread::sleep_for(REVOKE + Ms(1000));

    int broken = 0;
    int sent = 0;
    for (int n = 0; n < REQUESTS_PER_KEY; ++n) {
        for (std::size_t host = 0; host < deployment.hosts(); ++host) {
            std::vector<std::string> keys { "key-of-nobody" };
            if (hasTrouble())
                keys.insert(keys.end(), { "key-of-tenant-1", "key-of-tenant-2" });
            for (const std::string& key : keys) {
                const Answer answer = it.request(host, key);
                ++sent;
                broken += it.hasRun(answer.attempt) ? 1 : 0;
            }
        }
    }
    record.line("requests with keys that no configuration in force holds: " + std::to_string(sent) + " sent, "
        + std::to_string(broken) + " run");
    std::cout << sent << " requests with keys that are taken away or were never given, " << broken << " have run\n";
    return broken > 0 ? 1 : 0;
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
