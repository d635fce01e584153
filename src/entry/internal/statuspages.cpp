#include "statuspages.h"

#include "fireflyhaven/http/types/status.h"

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

StatusPages::StatusPages(Parts parts)
    : m_parts(parts)
{
}

void StatusPages::serve(http::Exchange& exchange) const
{
    const std::string_view path = http::pathOf(exchange.head().target);
    if (exchange.head().method != "GET")
        return exchange.sendResponse({ .status = STATUS_NOT_FOUND }, {});
    if (path == "/metrics") {
        setGauges();
        return answerText(exchange, "text/plain; version=0.0.4", m_parts.metrics.text());
    }
    if (path == "/state")
        return answerText(exchange, "application/json", state().dump(2));
    exchange.sendResponse({ .status = STATUS_NOT_FOUND }, {});
}

void StatusPages::setGauges() const
{
    const TimePoint now = m_parts.clock.now();
    int avoided = 0;
    for (const auto& [id, it] : m_parts.catalog.upstreams())
        avoided += m_parts.balancer.isUsable(id, now) ? 0 : 1;
    telemetry::Metrics& metrics = m_parts.metrics;
    metrics.set("requests_open", static_cast<double>(m_parts.door.openRequests()));
    metrics.set("requests_waiting", static_cast<double>(m_parts.waiting.size()));
    metrics.set("upstreams", static_cast<double>(m_parts.catalog.upstreams().size()));
    metrics.set("upstreams_avoided", avoided);
    metrics.set("hosts_live", static_cast<double>(m_parts.link.hosts().live(now).size() + 1));
    metrics.set("configuration_version", static_cast<double>(m_parts.catalog.version().value()));
    if (const auto confirmed = m_parts.sync.operatorConfirmedAt())
        metrics.set(
            "configuration_age_seconds", static_cast<double>((now - *confirmed).count()) * SECONDS_PER_MILLISECOND);
    metrics.set("store_reachable", m_parts.sync.reachesStore() ? 1 : 0);
    metrics.set("store_calls", static_cast<double>(m_parts.store.calls()));
    metrics.set("exchange_layered", m_parts.link.hosts().isLayered() ? 1 : 0);
    metrics.set("exchange_aggregator", m_parts.link.exchange().isAggregator() ? 1 : 0);
    metrics.set("reports_sent", static_cast<double>(m_parts.link.datagramsSent()));
    metrics.set("report_bytes_sent", static_cast<double>(m_parts.link.bytesSent()));
    metrics.set("upstream_connections_opened", static_cast<double>(m_parts.client.connectionsOpened()));
}

nlohmann::ordered_json StatusPages::basics() const
{
    const TimePoint now = m_parts.clock.now();
    const auto confirmed = m_parts.sync.operatorConfirmedAt();
    nlohmann::ordered_json document;
    document["configuration"] = m_parts.catalog.version().value();
    document["configuration_age_ms"] = confirmed ? nlohmann::ordered_json((now - *confirmed).count()) : nullptr;
    document["store_reachable"] = m_parts.sync.reachesStore();
    document["open_requests"] = m_parts.door.openRequests();
    document["waiting_requests"] = m_parts.waiting.size();
    auto& evacuated = document["evacuated"] = nlohmann::ordered_json::array();
    for (const DataCentreId& it : m_parts.catalog.evacuated())
        evacuated.push_back(it.value());
    auto& rollouts = document["rollouts"] = nlohmann::ordered_json::array();
    for (const auto& [service, it] : m_parts.catalog.rollouts()) {
        nlohmann::ordered_json row { { "service", service.value() }, { "version", it.order.target.value() } };
        if (const auto stage = m_parts.rollouts.stageOf(service, now))
            row["stage"] = rollout::stageName(*stage);
        rollouts.push_back(row);
    }
    return document;
}

nlohmann::ordered_json StatusPages::summary() const
{
    const TimePoint now = m_parts.clock.now();
    nlohmann::ordered_json document = basics();
    document["live_hosts"] = m_parts.link.hosts().live(now).size() + 1;
    document["upstreams"] = m_parts.catalog.upstreams().size();
    auto& avoided = document["avoided"] = nlohmann::ordered_json::array();
    for (const auto& [id, it] : m_parts.catalog.upstreams()) {
        if (!it.isReady(now) || !m_parts.balancer.isUsable(id, now))
            avoided.push_back(id.value());
    }
    return document;
}

nlohmann::ordered_json StatusPages::state() const
{
    const TimePoint now = m_parts.clock.now();
    nlohmann::ordered_json document = basics();
    document["host"] = m_parts.host.value();
    auto& hosts = document["live_hosts"] = nlohmann::ordered_json::array();
    for (const fleet::KnownHost* it : m_parts.link.hosts().live(now))
        hosts.push_back(it->report.host.value());
    auto& upstreams = document["upstreams"] = nlohmann::ordered_json::array();
    for (const auto& [id, it] : m_parts.catalog.upstreams()) {
        upstreams.push_back({ { "upstream", id.value() }, { "service", it.upstream.service.value() },
            { "version", it.upstream.version.value() }, { "ready", it.isReady(now) }, { "cold", it.isCold(now) },
            { "usable", m_parts.balancer.isUsable(id, now) }, { "in_flight", m_parts.balancer.inFlight(id) } });
    }
    return document;
}

}
