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

// Entry hosts, a platform and upstreams on loopback addresses of this process. `number` gives each test its own
// addresses.
class LocalCluster {
public:
    LocalCluster(int number, int hosts);
    ~LocalCluster();

    // Waits until every host sends to its upstreams.
    void awaitServed();
    void startHost(int n);
    // Ends the host gracefully.
    void shutDownHost(int n);
    // Ends the host without a word.
    void killHost(int n);

    http::CallOutcome chat(int host, nlohmann::json body, http::Headers headers = {});
    http::CallOutcome call(
        int host, const std::string& service, const std::string& key, const std::string& body = "{}");
    http::CallOutcome get(int host, const std::string& path);
    http::CallOutcome admin(
        int host, const std::string& method, const std::string& path, const nlohmann::json& body = {});
    void act(int host, const std::string& action, const std::string& collection, const std::string& key);
    void platformFault(const nlohmann::json& fault);
    void upstreamFault(const std::string& upstream, const nlohmann::json& fault);
    nlohmann::json upstreamStats(const std::string& upstream);
    nlohmann::json state(int host);
    nlohmann::json bills(int host) { return bodyOf(admin(host, "GET", "/admin/v1/bills")); }
    // Requests that engines have received, all together.
    std::uint64_t engineRequests();

    std::string url(int host, const std::string& path) const;
    // Hands an attempt to a host as an entry host does, past all checks of an entry host; returns the last event.
    dispatch::RunEvent runAtOwner(int host, const dispatch::RunRequest& request) const;
    static nlohmann::json chatBody(bool stream = false, int maxTokens = 5);
    static std::string freshKey(const std::string& name);
    static nlohmann::json bodyOf(const http::CallOutcome& outcome);
    // Polls until the condition holds; false after the limit.
    static bool eventually(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(60));

private:
    std::string ipOf(int dataCentre) const;
    nlohmann::json lists() const;

    const int m_number;
    const int m_hosts;
    SystemClock m_clock;
    standin::PlatformStandin m_platform;
    std::map<std::string, std::shared_ptr<standin::UpstreamStandin>> m_upstreams;
    std::vector<std::unique_ptr<http::Server>> m_servers;
    std::map<int, std::unique_ptr<node::Node>> m_nodes;
};

}
