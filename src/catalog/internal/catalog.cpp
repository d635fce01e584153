#include "fireflyhaven/catalog/catalog.h"

#include "fireflyhaven/common/text.h"

#include <algorithm>

namespace fireflyhaven::catalog {

namespace {
// A route whose target latency is this many times the shortest one of its service can give way to others.
constexpr int DEFERRABLE_TARGET_FACTOR = 4;

CallerLimits stricterOf(const CallerLimits& a, const CallerLimits& b)
{
    return { .maxHeaderBytes = std::min(a.maxHeaderBytes, b.maxHeaderBytes),
        .maxBodyBytes = std::min(a.maxBodyBytes, b.maxBodyBytes),
        .headerTimeout = std::min(a.headerTimeout, b.headerTimeout),
        .idleTimeout = std::min(a.idleTimeout, b.idleTimeout) };
}

}

ConfigurationChange Catalog::onConfiguration(Configuration configuration)
{
    if (m_configured && configuration.version == m_configuration.version)
        return ConfigurationChange::None;
    if (m_configured && configuration.version < m_configuration.version)
        return ConfigurationChange::Older;
    // What cannot be read permits no more than before.
    if (m_configured && configuration.hasUnreadableLimits)
        configuration.callerLimits = stricterOf(configuration.callerLimits, m_configuration.callerLimits);
    m_configuration = std::move(configuration);
    m_configured = true;
    m_routes = RouteTable(m_configuration.routes);
    indexRoutes();
    m_callers.clear();
    for (const Workspace& workspace : m_configuration.workspaces) {
        for (const std::string& key : workspace.keys)
            m_callers[key] = { .workspace = workspace.id, .priority = workspace.priority };
    }
    return ConfigurationChange::Applied;
}

void Catalog::indexRoutes()
{
    m_minTargetLatencies.clear();
    m_servicesWithDeferrableRoutes.clear();
    // Numbers of the most urgent priority.
    std::map<ServiceName, int> topPriorities;
    for (const Route& route : m_configuration.routes) {
        for (const WeightedService& it : route.services) {
            Duration& target = m_minTargetLatencies.try_emplace(it.service, route.targetLatency).first->second;
            target = std::min(target, route.targetLatency);
            int& priority = topPriorities.try_emplace(it.service, route.priority).first->second;
            priority = std::min(priority, route.priority);
        }
    }
    for (const Route& route : m_configuration.routes) {
        for (const WeightedService& it : route.services) {
            const bool hasTime = route.targetLatency >= DEFERRABLE_TARGET_FACTOR * m_minTargetLatencies.at(it.service);
            if (route.kind == RouteKind::Streaming && hasTime && route.priority > topPriorities.at(it.service))
                m_servicesWithDeferrableRoutes.insert(it.service);
        }
    }
}

const Service* Catalog::service(const ServiceName& name) const
{
    const auto& services = m_configuration.services;
    const auto it = std::find_if(services.begin(), services.end(), [&](const Service& s) { return s.name == name; });
    return it == services.end() ? nullptr : &*it;
}

std::optional<Duration> Catalog::minTargetLatency(const ServiceName& service) const
{
    const auto it = m_minTargetLatencies.find(service);
    return it == m_minTargetLatencies.end() ? std::nullopt : std::optional(it->second);
}

std::optional<Caller> Catalog::callerOf(std::string_view key) const
{
    const auto it = m_callers.find(abslView(key));
    return it == m_callers.end() ? std::nullopt : std::optional(it->second);
}

void Catalog::onRollout(const RolloutOrder& order, TimePoint now)
{
    const auto it = m_rollouts.find(order.service);
    const bool known = it != m_rollouts.end() && it->second.order.target == order.target
        && it->second.order.duration == order.duration;
    if (!known)
        m_rollouts[order.service] = { .order = order, .receivedAt = now };
}

void Catalog::onRolloutWithdrawn(const ServiceName& service) { m_rollouts.erase(service); }

bool Catalog::onUpstream(const Upstream& report, TimePoint now)
{
    const auto it = m_upstreams.find(report.id);
    if (it != m_upstreams.end() && report.startedAtMs < it->second.upstream.startedAtMs)
        return false;
    const bool isNewIncarnation = it == m_upstreams.end() || report.startedAtMs > it->second.upstream.startedAtMs;
    m_upstreams[report.id] = { .upstream = report, .coldUntil = now + report.coldFor, .graceEndsAt = std::nullopt };
    return isNewIncarnation;
}

void Catalog::onUpstreamGone(const UpstreamId& id, std::optional<TimePoint> usableUntil)
{
    const auto it = m_upstreams.find(id);
    if (it == m_upstreams.end())
        return;
    const bool wasDraining = it->second.upstream.phase == UpstreamPhase::Draining;
    if (!usableUntil || wasDraining) {
        m_upstreams.erase(it);
        return;
    }
    if (!it->second.graceEndsAt)
        it->second.graceEndsAt = usableUntil;
}

std::vector<UpstreamId> Catalog::removeExpired(TimePoint now)
{
    std::vector<UpstreamId> expired;
    for (const auto& [id, it] : m_upstreams) {
        if (it.graceEndsAt && *it.graceEndsAt <= now)
            expired.push_back(id);
    }
    for (const UpstreamId& id : expired)
        m_upstreams.erase(id);
    return expired;
}

void Catalog::extendColdStart(const UpstreamId& id, TimePoint until)
{
    const auto it = m_upstreams.find(id);
    if (it != m_upstreams.end())
        it->second.coldUntil = std::max(it->second.coldUntil, until);
}

const UpstreamState* Catalog::upstream(const UpstreamId& id) const
{
    const auto it = m_upstreams.find(id);
    return it == m_upstreams.end() ? nullptr : &it->second;
}

}
