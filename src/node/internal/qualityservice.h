#pragma once

#include "clusterreplica.h"
#include "fireflyhaven/adapters/ratingservice.h"
#include "fireflyhaven/quality/badversiondetector.h"
#include "fireflyhaven/quality/estimator.h"

#include <random>
#include <set>

namespace fireflyhaven::node {

// Rates answers with the platform's rating service, writes the ratings to the log, and suspends versions whose quality
// falls below their target.
class QualityService {
public:
    QualityService(
        const NodeSettings& settings, const IClock& clock, telemetry::Metrics& metrics, ClusterReplica& replica);
    ~QualityService();
    QualityService(const QualityService&) = delete;
    QualityService& operator=(const QualityService&) = delete;

    void start();
    // Rates an answer synchronously. Returns no value if the rating service is unavailable or over its rate limit.
    std::optional<bool> rateNow(const quality::RatingKey& key, const std::string& prompt, const std::string& answer);
    // Queues an answer to be rated in the background. Drops it if the queue is full.
    void rateAsync(const quality::RatingKey& key, const std::string& prompt, const std::string& answer);
    // Returns false for a short time after a failed rating.
    bool ratingsAvailable() const;
    quality::Estimate estimate(const quality::RatingKey& key, double assumedQuality) const;
    // Whether the version is suspended according to the log, to this host or to a peer's heartbeat.
    bool isSuspended(const ModelVersion& version, Offset versionRevision) const;
    // Suspensions known to this host that may not be in the log yet.
    std::vector<quality::SuspendEntry> unloggedSuspensions() const;
    void onPeerSuspensions(const std::vector<quality::SuspendEntry>& suspensions);
    // Queues ratings that another host has written; the writer thread adds them to the evidence in its next cycle.
    void onPeerRatings(const quality::RatingsEntry& entry);
    nlohmann::json dump() const;

private:
    struct RatingJob {
        quality::RatingKey key;
        std::string prompt;
        std::string answer;
    };

    void ratingLoop();
    void writeRatings();
    void recordRating(const quality::RatingKey& key, bool good);
    // Adds ratings to the evidence against the version, and suspends the version if the evidence suffices.
    void addEvidence(const quality::RatingsEntry& ratings);
    void addPeerEvidence();
    bool addSuspension(const quality::SuspendEntry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Returns the strictest quality target among the plans that may use the version for the task, but at most the
    // quality that the operator assumed of the version.
    double strictestTarget(const config::Lists& lists, const quality::RatingKey& key) const;

    const NodeSettings& m_settings;
    const IClock& m_clock;
    telemetry::Metrics& m_metrics;
    ClusterReplica& m_replica;
    adapters::HttpRatingService m_service;
    mutable absl::Mutex m_mutex;
    std::deque<RatingJob> m_pendingJobs ABSL_GUARDED_BY(m_mutex);
    quality::BadVersionDetector m_detector ABSL_GUARDED_BY(m_mutex);
    std::map<quality::RatingKey, quality::RatingsEntry> m_unwrittenRatings ABSL_GUARDED_BY(m_mutex);
    std::vector<quality::RatingsEntry> m_peerRatings ABSL_GUARDED_BY(m_mutex);
    std::set<quality::SuspendEntry> m_suspensions ABSL_GUARDED_BY(m_mutex);
    TimePoint m_unavailableUntil ABSL_GUARDED_BY(m_mutex) {};
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_threads;
};

}
