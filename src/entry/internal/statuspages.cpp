#include "statuspages.h"

#include "fireflyhaven/http/types/status.h"
#include "lognames.h"
#include "poisonlink.h"

namespace fireflyhaven::entry {

namespace {

constexpr double SECONDS_PER_MILLISECOND = 0.001;

void answerText(http::Exchange& exchange, const std::string& type, const std::string& body)
{
    http::ResponseHead head { .status = STATUS_OK };
    head.headers.add("Content-Type", type);
    exchange.sendResponse(head, body);
}

}

StatusPages::StatusPages(Context context)
    : m_context(context)
{
}

void StatusPages::serve(http::Exchange& exchange) const
{
    const std::string_view path = http::pathOf(exchange.head().target);
    if (exchange.head().method != "GET")
        return exchange.sendResponse({ .status = STATUS_NOT_FOUND }, {});
    if (path == "/metrics") {
        setGauges();
        return answerText(exchange, "text/plain; version=0.0.4", m_context.metrics.text());
    }
    if (path == "/state")
        return answerText(exchange, "application/json", state().dump(2));
    exchange.sendResponse({ .status = STATUS_NOT_FOUND }, {});
}

void StatusPages::setGauges() const
{
    const TimePoint now = m_context.clock.now();
    int avoided = 0;
    for (const auto& [id, it] : m_context.catalog.upstreams())
        avoided += m_context.balancer.isUsable(id, now) ? 0 : 1;
    telemetry::Metrics& metrics = m_context.metrics;
    metrics.set("requests_open", static_cast<double>(m_context.requestDispatcher.openRequests()));
    metrics.set("requests_waiting", static_cast<double>(m_context.serviceQueues.size()));
    metrics.set("upstreams", static_cast<double>(m_context.catalog.upstreams().size()));
    metrics.set("upstreams_avoided", avoided);
    for (const balancing::PromptDivisionView& it : m_context.balancer.promptPartition().divided()) {
        const telemetry::Labels service { { "service", it.service.value() } };
        metrics.set("long_prompt_capacity_share", it.longShare, service);
        metrics.set("wait_among_long_prompts_seconds",
            static_cast<double>(it.waitAmongLongPrompts.count()) * SECONDS_PER_MILLISECOND, service);
    }
    metrics.set("upstreams_limited", static_cast<double>(m_context.limits.limitedUpstreams()));
    metrics.set("prompt_parts_refused", static_cast<double>(m_context.poisonGuard.verdicts().size()));
    metrics.set("upstream_crashes_known", static_cast<double>(m_context.poisonGuard.knownCrashes()));
    const http::MemoryBudget& memory = m_context.callerMemory;
    metrics.set("caller_memory_bytes", static_cast<double>(memory.usedBytes()));
    metrics.set("caller_memory_limit_bytes", static_cast<double>(memory.maxBytes()));
    metrics.set("requests_refused_for_memory", static_cast<double>(memory.refusedRequests()));
    metrics.set("connections_ended_for_memory", static_cast<double>(memory.endedConnections()));
    metrics.set("hosts_live", static_cast<double>(m_context.fleetLink.hosts().live(now).size() + 1));
    metrics.set("configuration_version", static_cast<double>(m_context.catalog.version().value()));
    metrics.set("configuration_unreadable_entries",
        static_cast<double>(m_context.catalog.configuration().unreadableEntries.size()));
    if (const auto confirmed = m_context.catalogSync.operatorConfirmedAt())
        metrics.set(
            "configuration_age_seconds", static_cast<double>((now - *confirmed).count()) * SECONDS_PER_MILLISECOND);
    metrics.set("configuration_bound_seconds",
        static_cast<double>(m_context.bounds.configurationApply.count()) * SECONDS_PER_MILLISECOND);
    metrics.set("store_reachable", m_context.catalogSync.reachesStore() ? 1 : 0);
    metrics.set("store_calls", static_cast<double>(m_context.store.calls()));
    metrics.set("exchange_layered", m_context.fleetLink.hosts().isLayered() ? 1 : 0);
    metrics.set("exchange_aggregator", m_context.fleetLink.exchange().isAggregator() ? 1 : 0);
    metrics.set("reports_sent", static_cast<double>(m_context.fleetLink.datagramsSent()));
    metrics.set("report_bytes_sent", static_cast<double>(m_context.fleetLink.bytesSent()));
    metrics.set("upstream_connections_opened", static_cast<double>(m_context.client.connectionsOpened()));
}

std::optional<RequestRate> StatusPages::limitOf(const catalog::UpstreamState& upstream) const
{
    return m_context.limits.limitOf(ratelimit::incarnationOf(upstream.upstream.id, upstream.upstream.startedAtMs));
}

nlohmann::ordered_json StatusPages::commonState() const
{
    const TimePoint now = m_context.clock.now();
    const auto confirmed = m_context.catalogSync.operatorConfirmedAt();
    nlohmann::ordered_json document;
    document["configuration"] = m_context.catalog.version().value();
    document["configuration_age_ms"] = confirmed ? nlohmann::ordered_json((now - *confirmed).count()) : nullptr;
    document["store_reachable"] = m_context.catalogSync.reachesStore();
    const auto era = m_context.catalogSync.storeEra();
    document["store_era"] = era ? nlohmann::ordered_json(era->value()) : nullptr;
    document["open_requests"] = m_context.requestDispatcher.openRequests();
    document["waiting_requests"] = m_context.serviceQueues.size();
    auto& evacuated = document["evacuated"] = nlohmann::ordered_json::array();
    for (const DataCentreId& it : m_context.catalog.evacuated())
        evacuated.push_back(it.value());
    auto& refusedParts = document["refused_parts"] = nlohmann::ordered_json::array();
    for (const poison::Verdict& it : m_context.poisonGuard.verdicts())
        refusedParts.push_back(
            { { it.isWholeRequest ? "request" : "part", partId(it.part) }, { "convicted_by", it.convictedBy.value() },
                { "idle_ms", (now - it.lastSeenAt).count() }, { "crashes", crashList(m_context.catalog, it) } });
    auto& rollouts = document["rollouts"] = nlohmann::ordered_json::array();
    for (const auto& [service, it] : m_context.catalog.rollouts()) {
        nlohmann::ordered_json row { { "service", service.value() }, { "version", it.order.target.value() } };
        if (const auto stage = m_context.rollouts.stageOf(service, now))
            row["stage"] = rollout::stageName(*stage);
        rollouts.push_back(row);
    }
    auto& divided = document["divided_services"] = nlohmann::ordered_json::array();
    for (const balancing::PromptDivisionView& it : m_context.balancer.promptPartition().divided()) {
        divided.push_back({ { "service", it.service.value() }, { "long_prompt_capacity_share", it.longShare },
            { "upstreams_for_long_prompts", it.upstreamsForLongPrompts },
            { "wait_among_long_prompts_ms", it.waitAmongLongPrompts.count() } });
    }
    return document;
}

nlohmann::ordered_json StatusPages::summary() const
{
    const TimePoint now = m_context.clock.now();
    nlohmann::ordered_json document = commonState();
    document["live_hosts"] = m_context.fleetLink.hosts().live(now).size() + 1;
    document["upstreams"] = m_context.catalog.upstreams().size();
    auto& avoided = document["avoided"] = nlohmann::ordered_json::array();
    for (const auto& [id, it] : m_context.catalog.upstreams()) {
        if (!it.isReady(now) || !m_context.balancer.isUsable(id, now))
            avoided.push_back(id.value());
    }
    auto& limited = document["limited"] = nlohmann::ordered_json::object();
    for (const auto& [id, it] : m_context.catalog.upstreams()) {
        if (const auto limit = limitOf(it))
            limited[id.value()] = limit->perSecond();
    }
    return document;
}

nlohmann::ordered_json StatusPages::state() const
{
    const TimePoint now = m_context.clock.now();
    nlohmann::ordered_json document = commonState();
    document["host"] = m_context.host.value();
    auto& hosts = document["live_hosts"] = nlohmann::ordered_json::array();
    for (const fleet::KnownHost* it : m_context.fleetLink.hosts().live(now))
        hosts.push_back(it->report.host.value());
    auto& upstreams = document["upstreams"] = nlohmann::ordered_json::array();
    for (const auto& [id, it] : m_context.catalog.upstreams()) {
        upstreams.push_back({ { "upstream", id.value() }, { "service", it.upstream.service.value() },
            { "version", it.upstream.version.value() }, { "ready", it.isReady(now) }, { "cold", it.isCold(now) },
            { "usable", m_context.balancer.isUsable(id, now) }, { "in_flight", m_context.balancer.inFlight(id) } });
        if (const auto limit = limitOf(it))
            upstreams.back()["limit_per_second"] = limit->perSecond();
        if (m_context.balancer.speeds().isKnown(id, now))
            upstreams.back()["work_time_factor"] = m_context.balancer.speeds().factor(id, now);
        if (m_context.balancer.promptPartition().isForLongPrompts(it.upstream.service, id))
            upstreams.back()["for_long_prompts"] = true;
    }
    return document;
}

}
