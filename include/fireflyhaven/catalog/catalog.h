#pragma once

#include "fireflyhaven/catalog/routetable.h"
#include "fireflyhaven/catalog/types/upstream.h"

#include <map>
#include <set>

namespace fireflyhaven::catalog {

// An upstream with what follows from its reports.
struct UpstreamState {
    Upstream upstream;
    // End of the cold start, by this process's clock.
    TimePoint coldUntil {};
    // Its registration lapsed during an outage of the store: it may be used until then, unless it registers again.
    std::optional<TimePoint> lapsesAt;

    bool isCold(TimePoint now) const { return now < coldUntil; }
    bool isReady(TimePoint now) const
    {
        return upstream.phase == UpstreamPhase::Ready && (!lapsesAt || now < *lapsesAt);
    }
};

struct RolloutState {
    RolloutOrder order;
    // When this process learned of the order.
    TimePoint learnedAt {};
};

// Who a request comes from, as its key tells.
struct Caller {
    WorkspaceId workspace;
    std::optional<int> priority;
};

enum class ConfigurationChange { None, Older, Applied };

// What the operator has configured and which upstreams there are, as last read from the store. Does no I/O.
class Catalog {
public:
    ConfigurationChange onConfiguration(Configuration configuration);
    bool hasConfiguration() const { return m_configured; }
    ConfigurationVersion version() const { return m_configuration.version; }
    const Configuration& configuration() const { return m_configuration; }
    const RouteTable& routes() const { return m_routes; }
    const Service* service(const ServiceName& name) const;
    // Shortest target latency of the routes to the service; no value where no route leads to it.
    std::optional<Duration> tightestTarget(const ServiceName& service) const;
    // No value where no workspace holds the key.
    std::optional<Caller> callerOf(std::string_view key) const;
    bool needsKeys() const { return !m_configuration.workspaces.empty(); }

    void onRollout(const RolloutOrder& order, TimePoint now);
    void onRolloutWithdrawn(const ServiceName& service);
    const std::map<ServiceName, RolloutState>& rollouts() const { return m_rollouts; }

    void onEvacuation(const DataCentreId& dataCentre) { m_evacuated.insert(dataCentre); }
    void onEvacuationEnded(const DataCentreId& dataCentre) { m_evacuated.erase(dataCentre); }
    bool isEvacuated(const DataCentreId& dataCentre) const { return m_evacuated.contains(dataCentre); }
    const std::set<DataCentreId>& evacuated() const { return m_evacuated; }

    // Takes in a report of an upstream; reports of an earlier life are ignored. True where a new life began.
    bool onUpstream(const Upstream& report, TimePoint now);
    // `usableUntil` is set where the registration may have lapsed only because the store was away.
    void onUpstreamGone(const UpstreamId& id, std::optional<TimePoint> usableUntil);
    // Drops the upstreams whose lapsed registration was not renewed.
    std::vector<UpstreamId> expireLapsed(TimePoint now);
    // Lets an upstream be treated as cold that showed it in another way than by its registration.
    void onColdSeen(const UpstreamId& id, TimePoint until);
    const std::map<UpstreamId, UpstreamState>& upstreams() const { return m_upstreams; }
    const UpstreamState* upstream(const UpstreamId& id) const;

private:
    Configuration m_configuration;
    bool m_configured = false;
    RouteTable m_routes;
    absl::flat_hash_map<std::string, Caller> m_callers;
    std::map<ServiceName, Duration> m_tightestTargets;
    std::map<ServiceName, RolloutState> m_rollouts;
    std::set<DataCentreId> m_evacuated;
    std::map<UpstreamId, UpstreamState> m_upstreams;
};

}
