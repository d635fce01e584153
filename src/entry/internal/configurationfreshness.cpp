#include "configurationfreshness.h"

#include "fireflyhaven/telemetry/logevent.h"

#include <algorithm>

namespace fireflyhaven::entry {

namespace {

// Keys are accepted until this long before the revocation bound expires.
constexpr Duration REVOCATION_MARGIN { 500 };

}

std::optional<Duration> ConfigurationFreshness::age(TimePoint now) const
{
    const auto confirmed = m_context.catalogSync.operatorConfirmedAt();
    return confirmed ? std::optional(now - *confirmed) : std::nullopt;
}

bool ConfigurationFreshness::mayAcceptKeys(TimePoint now) const
{
    const auto known = age(now);
    if (!known)
        return false;
    return !m_context.bounds.strictRevocation || *known < m_context.bounds.revocation - REVOCATION_MARGIN;
}

bool ConfigurationFreshness::isCurrent(TimePoint now) const
{
    const auto known = age(now);
    return known && !m_context.catalogSync.operatorReadsFail() && *known < m_context.bounds.configurationApply;
}

bool ConfigurationFreshness::isBehindOthers(TimePoint now) const
{
    // While the store is back from an older copy no host's records are confirmed, and no other host knows better.
    const auto current = m_context.catalogSync.operatorCurrentAt();
    if (current && now - *current < m_context.bounds.configurationApply)
        return false;
    const std::vector<const fleet::KnownHost*> live = m_context.hosts.live(now);
    return std::any_of(live.begin(), live.end(), [](const auto* it) { return it->report.reachesStore; });
}

void ConfigurationFreshness::observe(TimePoint now)
{
    const auto known = age(now);
    if (!known)
        return;
    m_context.metrics.observe("knowledge_age", *known);
    const Duration bound = m_context.bounds.configurationApply;
    const bool isOld = *known >= bound / 2;
    if (std::exchange(m_isOld, isOld) == isOld)
        return;
    if (isOld)
        m_context.metrics.count("configuration_half_bound_passed");
    telemetry::logEvent(isOld ? spdlog::level::warn : spdlog::level::info,
        isOld ? "configuration_unconfirmed" : "configuration_confirmed",
        { { "age_ms", known->count() }, { "bound_ms", bound.count() },
            { "store_reachable", m_context.catalogSync.reachesStore() },
            { "hosts_that_reach_store", m_context.hosts.storeReaders(now).size() } });
}

}
