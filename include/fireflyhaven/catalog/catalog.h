#pragma once

#include "fireflyhaven/catalog/routetable.h"
#include "fireflyhaven/catalog/types/upstream.h"

#include <map>
#include <set>

namespace fireflyhaven::catalog {

// Latest report of an upstream, with the state derived from its reports.
struct UpstreamState {
    Upstream upstream;
    // End of the cold start on this process's clock.
    TimePoint coldUntil {};
    // Set where the registration expired during an outage of the store: end of the grace period in which the upstream
    // may still be used. A new registration clears it.
    std::optional<TimePoint> graceEndsAt;

    bool isCold(TimePoint now) const { return now < coldUntil; }
    bool isReady(TimePoint now) const
    {
        return upstream.phase == UpstreamPhase::Ready && (!graceEndsAt || now < *graceEndsAt);
    }
};

struct RolloutState {
    RolloutOrder order;
    // When this process first received the order.
    TimePoint receivedAt {};
};

// Workspace that an API key identifies, with the workspace's priority where one is configured.
struct Caller {
    WorkspaceId workspace;
    std::optional<int> priority;
};

enum class ConfigurationChange { None, Older, Applied };

// In-memory copy of the operator's records and the registered upstreams, as last read from the store. Does no I/O.
class Catalog {
public:
    ConfigurationChange onConfiguration(Configuration configuration);
    bool hasConfiguration() const { return m_configured; }
    ConfigurationVersion version() const { return m_configuration.version; }
    const Configuration& configuration() const { return m_configuration; }
    const RouteTable& routes() const { return m_routes; }
    const Service* service(const ServiceName& name) const;
    // Shortest target latency of all routes to the service; no value where no route leads to it.
    std::optional<Duration> minTargetLatency(const ServiceName& service) const;
    // Whether a route to the service is less urgent than another one and has several times its target latency, so that
    // its requests can give way.
    bool hasDeferrableRoute(const ServiceName& service) const
    {
        return m_servicesWithDeferrableRoutes.contains(service);
    }
    // No value where the key belongs to no workspace.
    std::optional<Caller> callerOf(std::string_view key) const;
    bool requiresApiKeys() const { return m_configuration.requiresApiKeys; }

    void onRollout(const RolloutOrder& order, TimePoint now);
    void onRolloutWithdrawn(const ServiceName& service);
    const std::map<ServiceName, RolloutState>& rollouts() const { return m_rollouts; }

    void onEvacuation(const DataCentreId& dataCentre) { m_evacuated.insert(dataCentre); }
    void onEvacuationEnded(const DataCentreId& dataCentre) { m_evacuated.erase(dataCentre); }
    bool isEvacuated(const DataCentreId& dataCentre) const { return m_evacuated.contains(dataCentre); }
    const std::set<DataCentreId>& evacuated() const { return m_evacuated; }

    // Stores a report of an upstream; reports of an earlier incarnation are ignored. Returns whether the report is the
    // first of an incarnation.
    bool onUpstream(const Upstream& report, TimePoint now);
    // Removes the upstream. `usableUntil` is set where the registration may have expired only because of an outage of
    // the store; an upstream that is not draining then stays until that time.
    void onUpstreamGone(const UpstreamId& id, std::optional<TimePoint> usableUntil);
    // Removes the upstreams whose grace period has ended without a new registration, and returns their ids.
    std::vector<UpstreamId> removeExpired(TimePoint now);
    // Treats the upstream as cold at least until that time; for upstreams that show a cold start in another way than by
    // their registration.
    void extendColdStart(const UpstreamId& id, TimePoint until);
    const std::map<UpstreamId, UpstreamState>& upstreams() const { return m_upstreams; }
    const UpstreamState* upstream(const UpstreamId& id) const;

private:
    // Derives from the routes what is known of each service.
    void indexRoutes();

    Configuration m_configuration;
    bool m_configured = false;
    RouteTable m_routes;
    absl::flat_hash_map<std::string, Caller> m_callers;
    std::map<ServiceName, Duration> m_minTargetLatencies;
    std::set<ServiceName> m_servicesWithDeferrableRoutes;
    std::map<ServiceName, RolloutState> m_rollouts;
    std::set<DataCentreId> m_evacuated;
    std::map<UpstreamId, UpstreamState> m_upstreams;
};

}
