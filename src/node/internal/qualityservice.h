#pragma once

#include "clusterreplica.h"
#include "fireflyhaven/adapters/ratingservice.h"
#include "fireflyhaven/quality/badversiondetector.h"
#include "fireflyhaven/quality/estimator.h"

#include <random>
#include <set>

namespace fireflyhaven::node {

// Has answers rated, keeps the estimates, and suspends versions that fall under their target.
class QualityService {
public:
    QualityService(
        const NodeSettings& settings, const IClock& clock, telemetry::Metrics& metrics, ClusterReplica& replica);
    ~QualityService();
    QualityService(const QualityService&) = delete;
    QualityService& operator=(const QualityService&) = delete;

    void start();
    // Rates an answer now; no value where the service is down or over its rate.
    std::optional<bool> rateNow(const quality::RatingKey& key, const std::string& prompt, const std::string& answer);
    // Rates an answer in the background, where there is room.
    void rateLater(const quality::RatingKey& key, const std::string& prompt, const std::string& answer);
    // Whether ratings could be had lately.
    bool available() const;
    quality::Estimate estimate(const quality::RatingKey& key, double assumedQuality) const;
    // Suspended by the log, by this host or by a peer that has told.
    bool isSuspended(const ModelVersion& version, Offset versionRevision) const;
    // Suspensions that this host knows of and the log may not hold yet.
    std::vector<quality::SuspendEntry> unloggedSuspensions() const;
    void onPeerSuspensions(const std::vector<quality::SuspendEntry>& suspensions);
    // Ratings that another host has written; taken as evidence with the next turn of the writer's thread.
    void onPeerRatings(const quality::RatingsEntry& entry);
    nlohmann::json dump() const;

private:
    struct Job {
        quality::RatingKey key;
        std::string prompt;
        std::string answer;
    };

    void work();
    void writeRatings();
    void record(const quality::RatingKey& key, bool good);
    // Adds ratings to the evidence against the version, and suspends it where that is enough.
    void weigh(const quality::RatingsEntry& ratings);
    void weighPeerRatings();
    bool addSuspension(const quality::SuspendEntry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Strictest quality target among the plans that may use the version for the task.
    double strictestTarget(const config::Lists& lists, const quality::RatingKey& key) const;

    const NodeSettings& m_settings;
    const IClock& m_clock;
    telemetry::Metrics& m_metrics;
    ClusterReplica& m_replica;
    adapters::HttpRatingService m_service;
    mutable absl::Mutex m_mutex;
    std::deque<Job> m_jobs ABSL_GUARDED_BY(m_mutex);
    quality::BadVersionDetector m_detector ABSL_GUARDED_BY(m_mutex);
    std::map<quality::RatingKey, quality::RatingsEntry> m_unwritten ABSL_GUARDED_BY(m_mutex);
    std::vector<quality::RatingsEntry> m_peerRatings ABSL_GUARDED_BY(m_mutex);
    std::set<quality::SuspendEntry> m_suspensions ABSL_GUARDED_BY(m_mutex);
    TimePoint m_unavailableUntil ABSL_GUARDED_BY(m_mutex) {};
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_threads;
};

}
