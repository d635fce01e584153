#pragma once

#include "fireflyhaven/catalog/catalog.h"

#include <optional>
#include <vector>

namespace fireflyhaven::balancing {

// What a request asks of an upstream.
struct Demand {
    ServiceName service;
    // Set where the request has to stay on a version, or has to leave one.
    std::optional<catalog::SoftwareVersion> version;
    // Tried already for this request.
    std::vector<UpstreamId> excluded;
};

// Picks an upstream for each request. Does no I/O.
class Balancer {
public:
    explicit Balancer(const catalog::Catalog& catalog);

    // Null where no upstream may take the request now.
    const catalog::UpstreamState* pick(const Demand& demand, TimePoint now);
    void onSent(const UpstreamId& upstream);
    void onDone(const UpstreamId& upstream);

private:
    const catalog::Catalog& m_catalog;
    absl::flat_hash_map<UpstreamId, int> m_inFlight;
};

}
