#pragma once

#include "fireflyhaven/catalog/types/operatorchange.h"
#include "fireflyhaven/rollout/exposurebudget.h"
#include "fireflyhaven/rollout/sessiontable.h"
#include "fireflyhaven/rollout/versionevaluator.h"

#include <set>

namespace fireflyhaven::rollout {

struct RolloutOptions {
    // Maximum share of a service's requests that may reach a bad version over the duration of its order.
    double exposureRatio = 0.15;
    // Number of requests that may reach a bad version in addition to that share.
    int exposureSlack = 30;
    // Fraction of `exposureRatio` that is the share of sessions on the new version during the trial.
    double trialExposureFraction = 0.38;
    // Fraction of `exposureRatio` that the load test of the proving stage may use, in addition to its part of the
    // slack.
    double provingExposureFraction = 0.15;
    // Fraction of `exposureSlack` that the load test may use.
    double provingSlackFraction = 0.4;
    // The load test leaves at least what the service gets in this time, for the move of all sessions.
    Duration minMoveTime { 600 };
    // Fraction of `exposureSlack` that the move of all sessions may use. The rest covers requests that are not counted
    // yet.
    double moveSlackFraction = 0.8;
    // Same for the completion, at which less is unknown.
    double completionSlackFraction = 1.0;
    // Requests arrive in bursts: at the move and at completion, this many times the mean rate is allowed for.
    double burstFactor = 2;
    // Share of the requests in flight on the old version at the move of all sessions that still run at completion. They
    // are cut off then, and go on at the new version.
    double resumedShare = 0.3;
    // Share of the requests that are cut off at completion that go on at the new version before the order's end.
    double cutOffShare = 0.75;
    // Limit of the trial's share of sessions in deployments with many hosts, where the hosts have to agree on the
    // version of each of these sessions.
    double maxTrialShareManyHosts = 0.03;
    // Time after an order before any request goes to the new version. Sessions that are active when the order arrives
    // keep their version, and the list of these sessions needs this long to reach all hosts.
    Duration settlingTime { 1000 };
    // A session counts as active until this time after its last use.
    Duration sessionIdleTimeout { 5000 };
    // Fraction of the order's duration after which the trial may end and the proving stage may start.
    double minTrialFraction = 0.5;
    // Fraction of the order's duration at which the trial ends even if the comparison of response times is
    // inconclusive.
    double maxTrialFraction = 0.72;
    // Load (fraction of an upstream's slots in use) to which the proving stage brings one upstream: the load of each
    // upstream of the new version if it served all requests, times `peakLoadFactor` to allow for peaks, within the
    // limits below.
    double peakLoadFactor = 1.4;
    double minProvingLoad = 0.72;
    double maxProvingLoad = 0.95;
    // Number of good answers under load with which a version without failures under load passes the load test.
    std::uint32_t minProvingAnswers = 16;
    // Time before the order's end from which the status Completed is written even if requests still run on the old
    // version, as soon as the exposure budget allows it. The margin allows for the delay with which hosts receive an
    // order. Where the budget does not allow it before the order's end, the status is written after it.
    Duration completionMargin { 1000 };
    // All sessions move at most this long before the completion margin begins, so that requests on the old version can
    // drain.
    Duration maxDrainTime { 1000 };
    // Slots of the new version, relative to those of the old one, that are required before the trial can end.
    double minCapacityRatio = 0.5;
    // Time for which a further version of a service that is registered without an order gets no requests, because its
    // order may arrive later than the registration.
    Duration unorderedVersionDelay { 3000 };
};

enum class Stage {
    // No requests go to the new version; hosts exchange their lists of active sessions.
    Settling,
    // A few sessions are on the new version.
    Trial,
    // Load test: one upstream of the new version at a time is brought to the proving load.
    Proving,
    // All sessions are on the new version; the old one drains.
    Replacing,
    Completed,
    RolledBack,
};

const char* stageName(Stage stage);

// Load that a request puts on an upstream.
enum class RequestProfile {
    // Occupies a slot for a long time, so that a few of these requests bring an upstream to high load.
    ShortPrefillLongDecode,
    // Occupies a slot for a short time.
    ShortPrefillShortDecode,
    // Has a long prefill, so that many of these requests at one upstream delay each other.
    LongPrefill,
};

// Restricts which versions and upstreams may serve a request.
struct VersionConstraint {
    std::optional<catalog::SoftwareVersion> requiredVersion;
    std::vector<catalog::SoftwareVersion> excludedVersions;
    // Upstream of the required version that is under load test; set for requests that are part of the test.
    std::optional<UpstreamId> requiredUpstream;
};

// Upstreams of a service on the new and on its other versions.
struct VersionCapacity {
    int newSlots = 0;
    int oldSlots = 0;
    int newUpstreams = 0;
    // Upstream of the new version that is chosen for the load test, its slots, and the in-flight requests of all hosts
    // there.
    std::optional<UpstreamId> provingUpstream;
    int provingSlots = 0;
    int provingInFlight = 0;
    // In-flight requests of all hosts at all upstreams of the service, and those at the new version's.
    int inFlight = 0;
    int newInFlight = 0;
};

// Controls the roll-out of new versions: tries a version with a small share of the sessions, evaluates it by the
// answers that all hosts report, load-tests one upstream, moves the remaining sessions near the end of the order's
// duration, and rolls back a bad version immediately. Every host runs the same logic on the order and the exchanged
// reports; one host writes the status to the store. Does no I/O.
class RolloutController {
public:
    explicit RolloutController(RolloutOptions options = {});
    void setOptions(const RolloutOptions& options);
    // Sets whether the deployment has many hosts. The trial's share of sessions changes only for later orders.
    void setManyHosts(bool many) { m_manyHosts = many; }

    void onOrder(const catalog::RolloutOrder& order, TimePoint now);
    void onWithdrawn(const ServiceName& service);
    // Called with each roll-out status that is read from or written to the store.
    void onStatus(const catalog::RolloutStatus& status);
    // The store may have lost the statuses that were written: they are written again where it has.
    void onStatusesLost();
    // Called when an upstream of this version is registered or changes.
    void onVersionSeen(const ServiceName& service, const catalog::SoftwareVersion& version, TimePoint now);
    void onCapacity(const ServiceName& service, const VersionCapacity& capacity);

    // Versions and upstreams that may serve a request of the session. A request without a session counts as a session
    // of its own.
    VersionConstraint constraintFor(
        const ServiceName& service, std::uint64_t sessionHash, RequestProfile profile, TimePoint now) const;
    // Called when a request of the session is sent to an upstream of the version, and when it ends.
    void onSessionUsed(
        const ServiceName& service, std::uint64_t sessionHash, const catalog::SoftwareVersion& version, TimePoint now);
    // Called with each answer that is evidence on its version.
    void onAnswer(const AnswerSample& answer, TimePoint now);
    // Called with the number of answers of the version that other hosts have received.
    void onPeerAnswers(const ServiceName& service, const catalog::SoftwareVersion& version, std::uint32_t n);

    void fillReport(fleet::HostReport& report, TimePoint now) const;
    void onReport(const fleet::HostReport& previous, const fleet::HostReport& report, TimePoint now);

    // Status to write to the store; no value while the store is up to date. `oldInFlight` is the number of in-flight
    // requests of all hosts on versions other than the target.
    std::optional<catalog::RolloutStatus> statusDue(const ServiceName& service, int oldInFlight, TimePoint now) const;
    std::optional<Stage> stageOf(const ServiceName& service, TimePoint now) const;
    // Services with an order.
    std::vector<ServiceName> services() const;
    std::optional<catalog::SoftwareVersion> targetOf(const ServiceName& service) const;
    bool isRejected(const ServiceName& service, const catalog::SoftwareVersion& version) const;
    // Advances the stages of roll-outs and removes inactive sessions.
    void tick(TimePoint now);

private:
    struct Rollout {
        explicit Rollout(const catalog::RolloutOrder& it, TimePoint now);

        catalog::RolloutOrder order;
        // Earliest time at which any host received the order, as far as reported.
        TimePoint receivedAt {};
        // When this host began to count the answers of the service.
        TimePoint countedSince {};
        double trialShare = 0;
        bool rejected = false;
        bool completed = false;
        // Phase in the store.
        std::optional<catalog::RolloutPhase> writtenPhase;
        VersionCapacity capacity;
        // Start of the proving stage; no value before.
        std::optional<TimePoint> provingSince;
        bool sessionsMoved = false;
        // Whether the status Completed may be written although requests run on the old version.
        bool mayComplete = false;
        // Set at the start of the proving stage, over all hosts: answers of the new version per second of the trial,
        // its answers so far, and the maximum number of requests for the load test, not counting those of sessions on
        // trial.
        double trialAnswerRate = 0;
        std::uint32_t answersBeforeProving = 0;
        double maxProvingRequests = 0;
        VersionEvaluator evaluator;
        ExposureBudget exposure;
        // The stage that was last written to the log.
        std::optional<Stage> loggedStage;
    };

    static fleet::ShortHash idOf(const catalog::RolloutOrder& order);
    // Whether the session's hash is in the share of sessions that use the new version.
    static bool isSelected(const Rollout& it, std::uint64_t sessionHash, double share);
    static Duration partOfOrder(const Rollout& it, double part);
    Stage stage(const Rollout& it, TimePoint now) const;
    // Share of sessions on the new version during the trial, for an order that arrives now.
    double trialShare() const;
    // Share of sessions that use the new version in the stage.
    double shareOf(const Rollout& it, Stage stage) const;
    bool usesTarget(const Rollout& it, std::uint64_t sessionHash, TimePoint now) const;
    // Target load of the upstream under load test, as a fraction of its slots.
    double provingLoadOf(const Rollout& it) const;
    // Whether the request is to be sent to the upstream under load test.
    bool usesProvingUpstream(const Rollout& it, RequestProfile profile, TimePoint now) const;
    static Duration timeLeft(const Rollout& it, TimePoint now) { return it.receivedAt + it.order.duration - now; }
    // Requests that the new version may still get, if it may use this fraction of the slack.
    double remainingExposure(const Rollout& it, double slackFraction) const;
    // Requests that the service is expected to get in the time.
    double expectedRequests(const Rollout& it, Duration time) const;
    // Answers of the new version plus the in-flight requests at the upstream under load test.
    static double targetRequests(const Rollout& it);
    // The part of `targetRequests` that the load test has added to those of the trial.
    static double provingRequests(const Rollout& it, TimePoint now);
    bool mayEndTrial(const Rollout& it, TimePoint now) const;
    void endTrial(Rollout& it, TimePoint now);
    void startProving(Rollout& it, TimePoint now) const;
    // Moves all sessions when `moveAge` is reached, or rejects the version because of its answers under load.
    void updateProving(Rollout& it, TimePoint now);
    bool hasPassedProving(const Rollout& it) const;
    // Whether a further request of the load test leaves the move of all sessions what it needs, if the service goes on
    // to get as many requests as lately.
    bool leavesMove(const Rollout& it, TimePoint now) const;
    // What the requests of the service in the time take of the budget, if all go to the new version. They raise it too.
    double newRequests(const Rollout& it, Duration time) const;
    // Requests that the new version gets if all sessions move this long before the order's end: new ones, and those
    // that are cut off at completion and go on there.
    double costOfMove(const Rollout& it, Duration left) const;
    // Whether all sessions move now: what the service gets until the order's end is within what is left of the exposure
    // budget, as the version may be bad without any evidence yet. A passed load test does not bring the move forward,
    // since the version may fail at a load higher than the tested one.
    bool isMoveDue(const Rollout& it, TimePoint now) const;
    // Whether the exposure budget bears also what is cut off on the old version and goes on at the new one.
    bool bearsCompletion(const Rollout& it, TimePoint now) const;
    void countAnswers(const ServiceName& service, const catalog::SoftwareVersion& version, std::uint32_t n);
    void evaluate(const Rollout& it, TimePoint now);
    void logStageChange(Rollout& it, TimePoint now) const;
    void reject(const ServiceName& service, const catalog::SoftwareVersion& version, std::string_view reason);
    Rollout* find(fleet::ShortHash id);
    // A version that was registered without an order less than `unorderedVersionDelay` ago; no value where it is the
    // only one of the service.
    std::optional<catalog::SoftwareVersion> unorderedVersion(const ServiceName& service, TimePoint now) const;

    RolloutOptions m_options;
    bool m_manyHosts = false;
    std::map<ServiceName, Rollout> m_rollouts;
    // When each version of a service was first seen.
    std::map<ServiceName, std::map<catalog::SoftwareVersion, TimePoint>> m_versions;
    std::map<ServiceName, catalog::RolloutStatus> m_statuses;
    // Rejected versions by service. They get no requests, whichever order follows.
    std::map<ServiceName, std::set<catalog::SoftwareVersion>> m_rejected;
    SessionTable m_sessions;
    BaselineAnswers m_baseline;
};

}
