#pragma once

#include "clusterreplica.h"
#include "fireflyhaven/billing/billbuffer.h"
#include "fireflyhaven/common/workerpool.h"
#include "fireflyhaven/peer/peerclient.h"

namespace fireflyhaven::node {

// Brings bills into the log and, until they are there, copies at peers.
class BillingService {
public:
    BillingService(const NodeSettings& settings, const IClock& clock, telemetry::Metrics& metrics,
        ClusterReplica& replica, peer::PeerClient& peers);
    ~BillingService();
    BillingService(const BillingService&) = delete;
    BillingService& operator=(const BillingService&) = delete;

    void start();
    // False where too many bills wait for the log; no new request is taken then.
    bool accepting() const;
    // Returns once the bill is in the log or copied, or the patience for both has run out.
    void settle(const billing::Bill& bill);
    void storeCopy(const HostId& holder, const billing::Bill& bill);
    void releaseCopies(const HostId& holder, const std::vector<std::string>& keys);
    void onMemberGone(const HostId& host);
    // Waits until no bill of this host waits for the log.
    bool flush(Duration wait);
    nlohmann::json dump() const;

private:
    void appendLoop();
    void copyTo(const HostId& host, const billing::Bill& bill);
    void releaseAtPeers();
    std::optional<membership::HostAddress> addressOf(const HostId& host) const;
    std::vector<billing::PeerHost> livePeers() const;

    const NodeSettings& m_settings;
    const IClock& m_clock;
    telemetry::Metrics& m_metrics;
    ClusterReplica& m_replica;
    peer::PeerClient& m_peers;
    adapters::HttpLogService m_log;
    mutable absl::Mutex m_mutex;
    billing::BillBuffer m_holder ABSL_GUARDED_BY(m_mutex);
    // A bill waits that nobody can copy.
    bool m_dueNow ABSL_GUARDED_BY(m_mutex) = false;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    WorkerPool m_copiers { 64 };
    std::thread m_thread;
};

// Reads the bills stream and counts the first bill of each request id; returns totals for each workspace.
Result<nlohmann::json> summarizeBills(const std::string& platform);

}
