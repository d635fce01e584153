#pragma once

#include "fireflyhaven/balancing/balancer.h"
#include "fireflyhaven/entry/wirecodec.h"
#include "fireflyhaven/rollout/rolloutcontroller.h"
#include "fireflyhaven/store/recordstore.h"

namespace fireflyhaven::entry {

struct RolloutStatusWriterContext {
    HostId host;
    const IClock& clock;
    const IWireCodec& codec;
    store::IRecordStore& store;
    const catalog::Catalog& catalog;
    const balancing::Balancer& balancer;
    const fleet::PeerLoad& peers;
    rollout::RolloutController& rollouts;
};

// Writes the statuses of roll-outs to the store while this host is the elected writer. A new writer first claims the
// topic with a higher epoch, which fences earlier writers, then reads the statuses that they have written, and writes
// only the missing ones.
class RolloutStatusWriter {
public:
    explicit RolloutStatusWriter(const RolloutStatusWriterContext& context);
    ~RolloutStatusWriter();
    RolloutStatusWriter(const RolloutStatusWriter&) = delete;
    RolloutStatusWriter& operator=(const RolloutStatusWriter&) = delete;

    // `isWriter` is set while this host is the elected writer.
    void tick(bool isWriter, TimePoint now);
    // Passes the answers that other hosts have reported on to the roll-outs of their services.
    void onPeerAnswers(const std::vector<fleet::AnswerCounts>& answers);

private:
    void updateCapacity(TimePoint now);
    void addNewUpstream(const catalog::UpstreamState& it, rollout::VersionCapacity& capacity, TimePoint now) const;
    // Requests in flight at the upstream, of all hosts.
    int inFlightAt(const UpstreamId& id) const;
    int inFlightOnOtherVersions(const ServiceName& service) const;
    bool isStatusDue(TimePoint now) const;
    std::uint64_t nextEpoch() const;
    void claim();
    void readStatuses();
    void write(const catalog::RolloutStatus& status);
    void onCallFailed(const char* call, const std::string& reason);

    RolloutStatusWriterContext m_context;
    // Set once earlier writers are fenced and their statuses have been read; no value while this host is not the
    // writer.
    std::optional<store::Fence> m_fence;
    bool m_callInFlight = false;
    // Fence of the last claim; becomes `m_fence` once the statuses have been read.
    store::Fence m_claimedFence;
    TimePoint m_retryAt {};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
