#pragma once

#include "fireflyhaven/balancing/balancer.h"
#include "fireflyhaven/entry/wirecodec.h"
#include "fireflyhaven/rollout/rolloutcontroller.h"
#include "fireflyhaven/store/recordstore.h"

namespace fireflyhaven::entry {

struct ConductorParts {
    HostId host;
    const IClock& clock;
    const IWireCodec& codec;
    store::IRecordStore& store;
    const catalog::Catalog& catalog;
    const balancing::Balancer& balancer;
    const fleet::PeerLoad& peers;
    rollout::RolloutController& board;
};

// Writes the status of roll-outs to the store while this host is the one that does so. A new writer first claims the
// topic, so that an earlier one can write no more, then reads what that one has written, and writes only what is
// missing.
class Conductor {
public:
    explicit Conductor(const ConductorParts& parts);
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
    bool isStatusDue(TimePoint now) const;
    std::uint64_t nextEpoch() const;
    void claim();
    void readStatuses();
    void write(const catalog::RolloutStatus& status);
    void onRefused(const char* call, const std::string& reason);

    ConductorParts m_parts;
    // Set once an earlier writer can write no more and what it wrote is known here; no value while this host is not the
    // writer.
    std::optional<store::Fence> m_fence;
    // A call to the store is under way.
    bool m_calling = false;
    // Claimed, while the statuses are read.
    store::Fence m_claimed;
    TimePoint m_retryAt {};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
