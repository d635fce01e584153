#pragma once

#include "clusterreplica.h"
#include "errorresponse.h"

namespace fireflyhaven::node {

// Serves operators: the lists, what is in service, and bills. Every call needs the operator's key.
class AdminService {
public:
    using Dump = std::function<nlohmann::json()>;

    AdminService(const NodeSettings& settings, const IClock& clock, telemetry::Metrics& metrics,
        ClusterReplica& replica, Dump dump);

    http::Response handle(const http::Request& request);

private:
    http::Response getConfig(const std::string& collection) const;
    http::Response putConfig(const http::Request& request, const std::string& collection);
    // Changes one field of one item, as drain, restore, withdraw, retire, activate and reinstate do.
    http::Response act(const http::Request& request);
    http::Response submit(const config::ChangeSet& changes, const http::Request& request);
    // Waits until every member has reported the offset; returns the hosts that have not.
    std::vector<HostId> awaitInForce(Offset offset) const;

    const NodeSettings& m_settings;
    const IClock& m_clock;
    telemetry::Metrics& m_metrics;
    ClusterReplica& m_replica;
    const Dump m_dump;
};

}
