#pragma once

#include "fireflyhaven/catalog/types/configuration.h"
#include "fireflyhaven/fleet/types/hostreport.h"
#include "fireflyhaven/quality/badversiondetector.h"

#include <map>
#include <optional>
#include <set>

namespace fireflyhaven::rollout {

// How an attempt ended, as far as it is evidence on the upstream's version.
enum class AnswerKind {
    Good,
    // The upstream itself failed.
    Failed,
    // Given up while its answer was overdue; its time is a lower bound.
    Overdue,
};

// Evidence that one attempt gives on its version.
struct AnswerSample {
    ServiceName service;
    catalog::RouteName route;
    catalog::SoftwareVersion version;
    UpstreamId upstream;
    AnswerKind kind = AnswerKind::Good;
    // No value where the response time is no evidence of the version's speed.
    std::optional<quality::LatencySample> time;
    // Fraction of the upstream's slots in use; no value where it is unknown.
    std::optional<double> load;
};

// Answers of the versions that are not being rolled out, by route; the baseline with which a new version is compared.
// Failures are those observed by this host, response times those observed by all hosts.
class BaselineAnswers {
public:
    void add(fleet::ShortHash route, const AnswerSample& answer);
    void fillReport(fleet::HostReport& report) const;
    void onReport(const fleet::HostReport& report);
    // Expected share of good answers on the route.
    double goodShare(fleet::ShortHash route) const;
    quality::LatencyRatios times(fleet::ShortHash route) const;
    std::set<fleet::ShortHash> routes() const;

private:
    struct Answers {
        // Counts with exponential decay.
        double good = 0;
        double total = 0;
        quality::LatencyRatios times;
    };

    std::map<fleet::ShortHash, Answers> m_routes;
    std::map<HostId, std::map<fleet::ShortHash, quality::LatencyRatios>> m_peerTimes;
};

// Answers of a new version's upstreams under load.
struct AnswersUnderLoad {
    std::uint32_t good = 0;
    std::uint32_t failed = 0;
    // Failures that the baseline would have had in the same number of answers.
    double expectedFailed = 0;

    AnswersUnderLoad& operator+=(const AnswersUnderLoad& other);
    // Whether the version has passed the load test: at least `minGood` good answers, and more for each failure.
    bool passes(std::uint32_t minGood) const;
    // Whether the version has failed the load test. Failures of a single upstream suffice, unlike in
    // `VersionEvaluator::failureReason`.
    bool fails() const;
    // Whether there are enough failures to reject the version before the sessions are due to move.
    bool isFailureCertain() const;
    // Whether there are so many failures that the version must not replace the old one without passing the load test.
    bool isSuspect() const;
};

// Number of answers of a version, summed over all hosts.
struct AnswerTotals {
    std::uint32_t good = 0;
    std::uint32_t failed = 0;

    std::uint32_t sum() const { return good + failed; }
};

// Evaluates one new version by the answers that all hosts report: failures with a sequential test per route, response
// times by comparison with the baseline. Does no I/O.
class VersionEvaluator {
public:
    explicit VersionEvaluator(fleet::ShortHash rollout)
        : m_rollout(rollout)
    {
    }

    // Sets the target load of the load test, as a fraction of an upstream's slots. The load from which good answers
    // count as under load only grows.
    void setProvingLoad(double load);
    void onAnswer(fleet::ShortHash route, const AnswerSample& answer, const BaselineAnswers& baseline);
    void fillReport(fleet::HostReport& report) const;
    void onReport(const fleet::HostReport& previous, const fleet::HostReport& report, const BaselineAnswers& baseline);

    // Reason for rejecting the version because of failures; no value while there is none. `upstreamCount` is the number
    // of the version's upstreams.
    std::optional<std::string> failureReason(int upstreamCount) const;
    quality::LatencyComparison timeEvidence(const BaselineAnswers& baseline) const;
    AnswerTotals totals() const;
    // Answers under load, summed over all hosts.
    AnswersUnderLoad underLoad(const BaselineAnswers& baseline) const;

private:
    struct Counts {
        std::uint32_t good = 0;
        std::uint32_t failed = 0;
        AnswersUnderLoad underLoad;
        std::uint32_t badUpstreams = 0;
        quality::LatencyRatios times;
    };
    using CountsByRoute = std::map<fleet::ShortHash, Counts>;

    void addEvidence(fleet::ShortHash route, std::uint32_t good, std::uint32_t failed, std::uint32_t badUpstreams,
        const BaselineAnswers& baseline);

    fleet::ShortHash m_rollout;
    // Load, as a fraction of an upstream's slots, from which good answers count as under load.
    double m_minGoodLoad = 0.5;
    CountsByRoute m_localCounts;
    std::map<HostId, CountsByRoute> m_peerCounts;
    quality::BadVersionDetector m_detector;
    // Bitmap of the hashes of upstreams with at least one failed answer.
    std::uint32_t m_badUpstreams = 0;
    // Route on which the sequential test has detected a failure rate above the baseline.
    std::optional<fleet::ShortHash> m_failingRoute;
};

}
