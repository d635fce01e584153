#pragma once

#include "clusterreplica.h"
#include "fireflyhaven/billing/billbuffer.h"
#include "fireflyhaven/common/workerpool.h"
#include "fireflyhaven/peer/peerclient.h"

namespace fireflyhaven::node {

// Appends bills to the log and keeps copies of them at peers until they are appended.
class BillingService {
public:
    BillingService(const NodeSettings& settings, const IClock& clock, telemetry::Metrics& metrics,
        ClusterReplica& replica, peer::PeerClient& peers);
    ~BillingService();
    BillingService(const BillingService&) = delete;
    BillingService& operator=(const BillingService&) = delete;

    void start();
    // Returns false if too many bills wait to be appended; new requests must be refused then.
    bool accepting() const;
    // Blocks until the bill is in the log or a peer has stored a copy, or until a timeout.
    void makeDurable(const billing::Bill& bill);
    void storeCopy(const HostId& origin, const billing::Bill& bill);
    void releaseCopies(const HostId& origin, const std::vector<std::string>& keys);
    void onMemberLeft(const HostId& host);
    // Waits until all bills held by this host are in the log. Returns false on a timeout.
    bool flush(Duration wait);
    nlohmann::json dump() const;

private:
    void appendLoop();
    void copyTo(const HostId& host, const billing::Bill& bill);
    void releasePeerCopies();
    std::optional<membership::HostAddress> addressOf(const HostId& host) const;
    std::vector<billing::PeerHost> livePeers() const;

    const NodeSettings& m_settings;
    const IClock& m_clock;
    telemetry::Metrics& m_metrics;
    ClusterReplica& m_replica;
    peer::PeerClient& m_peers;
    adapters::HttpLogService m_log;
    mutable absl::Mutex m_mutex;
    billing::BillBuffer m_buffer ABSL_GUARDED_BY(m_mutex);
    // Set when a bill has no peer that could store a copy; the bill is then appended without delay.
    bool m_appendNow ABSL_GUARDED_BY(m_mutex) = false;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    WorkerPool m_copyWorkers { 64 };
    std::thread m_appendThread;
};

// Reads the bills stream of the log and returns the totals of each workspace. Counts only the first bill of each
// request id.
Result<nlohmann::json> summarizeBills(const std::string& platform);

}
