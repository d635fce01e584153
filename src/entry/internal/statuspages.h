#pragma once

#include "catalogsync.h"
#include "fireflyhaven/admission/servicequeues.h"
#include "fireflyhaven/balancing/balancer.h"
#include "fireflyhaven/http/exchange.h"
#include "fireflyhaven/rollout/rolloutboard.h"
#include "fireflyhaven/telemetry/metrics.h"
#include "fleetlink.h"
#include "frontdoor.h"

namespace fireflyhaven::entry {

// What a host believes at this moment, as JSON, and its metrics.
class StatusPages {
public:
    struct Parts {
        const IClock& clock;
        const HostId& host;
        const catalog::Catalog& catalog;
        const balancing::Balancer& balancer;
        const rollout::RolloutBoard& rollouts;
        const admission::ServiceQueues& waiting;
        const CatalogSync& sync;
        const FleetLink& link;
        const FrontDoor& door;
        const http::EventClient& client;
        const store::IRecordStore& store;
        telemetry::Metrics& metrics;
    };
    explicit StatusPages(Parts parts);

    // Answers GET /metrics and GET /state; 404 for all else.
    void serve(http::Exchange& exchange) const;
    // What the host knows and believes, in full.
    nlohmann::ordered_json state() const;
    // The same for one log line: counts, and the ids of upstreams that get no requests.
    nlohmann::ordered_json summary() const;

private:
    // Configuration, contact with the store and requests.
    nlohmann::ordered_json basics() const;
    void setGauges() const;

    const Parts m_parts;
};

}
