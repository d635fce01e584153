#pragma once

#include "fireflyhaven/catalog/types/configuration.h"
#include "fireflyhaven/http/types/endpoint.h"

namespace fireflyhaven::catalog {

enum class UpstreamPhase { Ready, Draining };

// One upstream as it registered itself.
struct Upstream {
    UpstreamId id;
    // Start of this life of the upstream, Unix milliseconds.
    std::int64_t bornMs = 0;
    ServiceName service;
    http::Endpoint address;
    DataCentreId dataCentre;
    SoftwareVersion version;
    int slots = 1;
    UpstreamPhase phase = UpstreamPhase::Ready;
    // How much longer it stays in cold start, counted from the report.
    Duration coldFor {};

    friend bool operator==(const Upstream&, const Upstream&) = default;
};

}
