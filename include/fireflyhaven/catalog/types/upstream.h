#pragma once

#include "fireflyhaven/catalog/types/configuration.h"
#include "fireflyhaven/http/types/endpoint.h"

namespace fireflyhaven::catalog {

enum class UpstreamPhase { Ready, Draining };

// One upstream, as described by its own registration.
struct Upstream {
    UpstreamId id;
    // Start of this incarnation of the upstream, in Unix milliseconds. A larger number is a later incarnation.
    std::int64_t startedAtMs = 0;
    ServiceName service;
    http::Endpoint address;
    DataCentreId dataCentre;
    SoftwareVersion version;
    int slots = 1;
    UpstreamPhase phase = UpstreamPhase::Ready;
    // Remaining duration of the cold start, counted from the receipt of the report.
    Duration coldFor {};

    friend bool operator==(const Upstream&, const Upstream&) = default;
};

}
