#pragma once

#include "fireflyhaven/config/configfold.h"
#include "fireflyhaven/dispatch/types/run.h"
#include "fireflyhaven/http/client.h"
#include "fireflyhaven/http/server.h"
#include "fireflyhaven/node/node.h"
#include "fireflyhaven/standin/platformstandin.h"
#include "fireflyhaven/standin/upstreamstandin.h"

#include <functional>

namespace fireflyhaven::tests {

// Runs entry hosts, a platform stand-in and upstream stand-ins in this process on loopback addresses: per data centre
// one host, two engines and one service. The addresses derive from the process id, so that tests that run at the same
// time do not collide.
class LocalCluster {
public:
    explicit LocalCluster(int hostCount);
    ~LocalCluster();

    // Waits until every host sees all hosts as live voters and has taken over the upstreams that it owns.
    void awaitReady();
    void startHost(int n);
    // Shuts the host down gracefully.
    void shutDownHost(int n);
    // Destroys the host without a graceful shutdown.
    void killHost(int n);

    http::CallOutcome chat(int host, nlohmann::json body, http::Headers headers = {});
    http::CallOutcome callService(
        int host, const std::string& service, const std::string& key, const std::string& body = "{}");
    http::CallOutcome get(int host, const std::string& path);
    http::CallOutcome admin(
        int host, const std::string& method, const std::string& path, const nlohmann::json& body = {});
    void applyAction(int host, const std::string& action, const std::string& collection, const std::string& key);
    void setPlatformFault(const nlohmann::json& fault);
    void setUpstreamFault(const std::string& upstream, const nlohmann::json& fault);
    nlohmann::json upstreamStats(const std::string& upstream);
    nlohmann::json state(int host);
    nlohmann::json bills(int host) { return jsonBody(admin(host, "GET", "/admin/v1/bills")); }
    // Requests that all engines and services have received.
    std::uint64_t totalUpstreamRequests();

    std::string url(int host, const std::string& path) const;
    // Sends an attempt to a host over the peer protocol, without the checks that an entry host makes before. Returns
    // the last event.
    dispatch::RunEvent runOnHost(int host, const dispatch::RunRequest& request) const;
    static nlohmann::json chatBody(bool stream = false, int maxTokens = 5);
    static std::string freshIdempotencyKey(const std::string& name);
    static nlohmann::json jsonBody(const http::CallOutcome& outcome);
    // Polls until the condition holds; false on time-out.
    static bool waitUntil(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(60));

private:
    std::string dataCentreIp(int dataCentre) const;
    nlohmann::json lists() const;

    const int m_hostCount;
    SystemClock m_clock;
    standin::PlatformStandin m_platform;
    std::map<std::string, std::shared_ptr<standin::UpstreamStandin>> m_upstreams;
    std::vector<std::unique_ptr<http::Server>> m_servers;
    std::map<int, std::unique_ptr<node::Node>> m_nodes;
};

}
