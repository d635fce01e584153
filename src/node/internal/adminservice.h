#pragma once

#include "clusterreplica.h"
#include "errorresponse.h"

namespace fireflyhaven::node {

// Serves the operators' API: configuration lists, actions on their items, host state and bill totals. Every call must
// carry the operator's key.
class AdminService {
public:
    using Dump = std::function<nlohmann::json()>;

    AdminService(const NodeSettings& settings, const IClock& clock, telemetry::Metrics& metrics,
        ClusterReplica& replica, Dump dump);

    http::Response handle(const http::Request& request);

private:
    http::Response getConfig(const std::string& collection) const;
    http::Response putConfig(const http::Request& request, const std::string& collection);
    // Changes one field of one item: drain, restore, withdraw, retire, activate or reinstate.
    http::Response applyAction(const http::Request& request);
    http::Response submitChanges(const config::ChangeSet& changes, const http::Request& request);
    // Waits until every member has reported that it has applied the log up to the offset. Returns the hosts that have
    // not reported it in time.
    std::vector<HostId> awaitInForce(Offset offset) const;

    const NodeSettings& m_settings;
    const IClock& m_clock;
    telemetry::Metrics& m_metrics;
    ClusterReplica& m_replica;
    const Dump m_dump;
};

}
