#pragma once

#include "fireflyhaven/balancing/balancer.h"
#include "fireflyhaven/entry/wirecodec.h"
#include "fireflyhaven/rollout/rolloutboard.h"
#include "fireflyhaven/store/recordstore.h"

namespace fireflyhaven::entry {

struct ConductorParts {
    const IClock& clock;
    const IWireCodec& codec;
    store::IRecordStore& store;
    const catalog::Catalog& catalog;
    const balancing::Balancer& balancer;
    const fleet::PeerLoad& peers;
    rollout::RolloutBoard& board;
};

// Writes the status of roll-outs to the store while this host is the one that does so, under a fence that keeps an
// earlier writer from writing after it.
class Conductor {
public:
    explicit Conductor(ConductorParts parts);
    ~Conductor();
    Conductor(const Conductor&) = delete;
    Conductor& operator=(const Conductor&) = delete;

    // `isWriter` tells whether this host is to write now.
    void tick(bool isWriter, TimePoint now);

private:
    void noteCapacity(TimePoint now);
    void noteNewUpstream(const catalog::UpstreamState& it, rollout::VersionCapacity& capacity, TimePoint now) const;
    // What all hosts have under way there.
    int inFlightAt(const UpstreamId& id) const;
    int oldInFlight(const ServiceName& service) const;
    void write(const catalog::RolloutStatus& status);

    ConductorParts m_parts;
    // No value while this host is not the writer.
    std::optional<store::Fence> m_fence;
    bool m_writing = false;
    TimePoint m_retryAt {};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
