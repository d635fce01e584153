#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/requestrate.h"
#include "fireflyhaven/fleet/peerload.h"

#include <cstdint>

namespace fireflyhaven::ratelimit {

// One incarnation of an upstream, identified by its start time.
struct UpstreamIncarnation {
    fleet::ShortHash upstream = 0;
    // Unix milliseconds.
    std::int64_t startedAtMs = 0;

    friend bool operator==(const UpstreamIncarnation&, const UpstreamIncarnation&) = default;
};

UpstreamIncarnation incarnationOf(const UpstreamId& upstream, std::int64_t startedAtMs);

// A request for the permit to send one request to an upstream.
struct PermitTerms {
    UpstreamIncarnation upstream;
    RequestRate limit;
    // How long the request can wait for the permit to become valid.
    Duration maxWait {};
};

struct PermitDecision {
    bool granted = false;
    // Time until the permit becomes valid; if none is granted, time until the issuer has one to give.
    Duration wait {};
    // Time after which a caller that is refused now may be served.
    Duration retryAfter {};
};

}
