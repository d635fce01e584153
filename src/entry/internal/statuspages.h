#pragma once

#include "catalogsync.h"
#include "fireflyhaven/admission/servicequeues.h"
#include "fireflyhaven/balancing/balancer.h"
#include "fireflyhaven/http/exchange.h"
#include "fireflyhaven/poison/poisonguard.h"
#include "fireflyhaven/rollout/rolloutcontroller.h"
#include "fireflyhaven/telemetry/metrics.h"
#include "fleetlink.h"
#include "requestdispatcher.h"

namespace fireflyhaven::entry {

// Serves the current state of a host as JSON, and its metrics.
class StatusPages {
public:
    struct Context {
        const IClock& clock;
        const HostId& host;
        const ServiceBounds& bounds;
        const catalog::Catalog& catalog;
        const balancing::Balancer& balancer;
        const rollout::RolloutController& rollouts;
        const admission::ServiceQueues& serviceQueues;
        const ratelimit::LimitTable& limits;
        const poison::PoisonGuard& poisonGuard;
        const CatalogSync& catalogSync;
        const FleetLink& fleetLink;
        const RequestDispatcher& requestDispatcher;
        const http::EventClient& client;
        const store::IRecordStore& store;
        const http::MemoryBudget& callerMemory;
        telemetry::Metrics& metrics;
    };
    explicit StatusPages(Context context);

    // Answers GET /metrics and GET /state; 404 for all other requests.
    void serve(http::Exchange& exchange) const;
    // Full state, with one entry for each live host and upstream.
    nlohmann::ordered_json state() const;
    // State for one log line: counts, and the ids of upstreams that receive no requests.
    nlohmann::ordered_json summary() const;

private:
    // Fields that `state` and `summary` share: configuration, store access, requests, evacuations and roll-outs.
    nlohmann::ordered_json commonState() const;
    void setGauges() const;
    std::optional<RequestRate> limitOf(const catalog::UpstreamState& upstream) const;

    const Context m_context;
};

}
