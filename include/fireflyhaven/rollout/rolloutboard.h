#pragma once

#include "fireflyhaven/catalog/types/operatorchange.h"
#include "fireflyhaven/rollout/sessiontable.h"
#include "fireflyhaven/rollout/versionjudge.h"

#include <set>

namespace fireflyhaven::rollout {

struct RolloutOptions {
    // Share of a service's requests that a bad version may get, over the time of its order.
    double exposureRatio = 0.15;
    // Requests that it may get beyond that.
    int exposureSlack = 30;
    // Part of it that the trial takes, as a share of the sessions.
    double trialPartOfExposure = 0.38;
    // Part of it that the proof under load takes, beside the slack.
    double proofPartOfExposure = 0.15;
    // Part of what is left of it that the move of all sessions may take until the order's end.
    double movePartOfRest = 0.9;
    // Most of the sessions that try a version where many hosts serve them: hosts have to agree on each of them.
    double mostTrialShareOfMany = 0.03;
    // Sessions at work when the order came stay where they are; so long passes until their list has gone round.
    Duration settling { 1000 };
    // A session is at work until this time after its last request ended.
    Duration session { 5000 };
    // Part of the order's time after which the trial may end and the proof begin.
    double trialPart = 0.5;
    // The same for a version that looks slow, without certainty.
    double longestTrialPart = 0.72;
    // Part of an upstream's slots that is put to use for that: what each upstream of the version would bear in a peak
    // if it served all requests, within these limits. Good answers under load that prove the version.
    double peakFactor = 1.4;
    double provingLoad = 0.72;
    double mostProvingLoad = 0.95;
    std::uint32_t provingAnswers = 16;
    // Before the order's end the status is written even if some requests still run on the old version. Hosts learn of
    // an order some time after its beginning.
    Duration lastMoment { 1000 };
    // Requests on the old version have this long to end at most before that, once all others are on the new one.
    Duration mostDrain { 1000 };
    // Part of the old version's slots that the new one needs before sessions move.
    double leastCapacity = 0.5;
    // A version that appears without an order gets nothing for this long: its order may be on its way.
    Duration unexplainedVersion { 3000 };
};

enum class Stage {
    // Nothing on the new version yet.
    Settling,
    // A few sessions are on the new version.
    Trial,
    // One upstream of the new version is put under load.
    Proving,
    // All sessions are on the new version; the old one finishes its requests.
    Replacing,
    Completed,
    RolledBack,
};

const char* stageName(Stage stage);

// What a request asks of an upstream.
enum class RequestWeight {
    // It is read quickly and runs for long: a few of them put an upstream under load.
    QuickAndLong,
    // It is read quickly and is soon over.
    QuickAndShort,
    // Reading it takes long, so that many of them hold each other up.
    Heavy,
};

// Which versions may serve a request.
struct VersionWish {
    std::optional<catalog::SoftwareVersion> only;
    std::vector<catalog::SoftwareVersion> except;
    // Of the version wished for, the one upstream that is to be put under load.
    std::optional<UpstreamId> upstream;
};

// Upstreams of a service on the new and on its other versions.
struct VersionCapacity {
    int newSlots = 0;
    int oldSlots = 0;
    int newUpstreams = 0;
    // The upstream of the new version that is put under load, with what all hosts have under way there.
    std::optional<UpstreamId> provingUpstream;
    int provingSlots = 0;
    int provingInFlight = 0;
    // What all hosts have under way at all of them.
    int inFlight = 0;
};

// Moves services to new versions: tries a version with few sessions, judges it by the answers that all hosts see, puts
// it under load, moves the others at the end of the order's time, and takes a bad version back at once.
// Each host decides alike from the order and the reports; one writes the status. Does no I/O.
class RolloutBoard {
public:
    explicit RolloutBoard(RolloutOptions options = {});
    void setOptions(const RolloutOptions& options);
    // Whether there are many hosts; holds for orders that follow.
    void setManyHosts(bool many) { m_manyHosts = many; }

    void onOrder(const catalog::RolloutOrder& order, TimePoint now);
    void onWithdrawn(const ServiceName& service);
    // A status in the store.
    void onStatus(const catalog::RolloutStatus& status);
    // An upstream of this version is registered.
    void onVersionSeen(const ServiceName& service, const catalog::SoftwareVersion& version, TimePoint now);
    void onCapacity(const ServiceName& service, const VersionCapacity& capacity);

    // Versions that a request of the session may go to; a request without a session stands for itself.
    VersionWish wishFor(
        const ServiceName& service, std::uint64_t sessionHash, RequestWeight weight, TimePoint now) const;
    // A request of the session was sent, or ended, at an upstream of the version.
    void onSessionUsed(
        const ServiceName& service, std::uint64_t sessionHash, const catalog::SoftwareVersion& version, TimePoint now);
    // An answer that tells of the version.
    void onAnswer(const AnswerSample& answer, TimePoint now);

    void fillReport(fleet::HostReport& report, TimePoint now) const;
    void onReport(const fleet::HostReport& before, const fleet::HostReport& report, TimePoint now);

    // The status that the store does not have yet; `oldInFlight` is what all hosts have under way on other versions.
    std::optional<catalog::RolloutStatus> statusDue(const ServiceName& service, int oldInFlight, TimePoint now) const;
    std::optional<Stage> stageOf(const ServiceName& service, TimePoint now) const;
    // Services with an order.
    std::vector<ServiceName> services() const;
    std::optional<catalog::SoftwareVersion> targetOf(const ServiceName& service) const;
    bool isRejected(const ServiceName& service, const catalog::SoftwareVersion& version) const;
    // Moves roll-outs on with time, and forgets sessions that are no longer at work.
    void tick(TimePoint now);

private:
    struct Rollout {
        explicit Rollout(const catalog::RolloutOrder& it, TimePoint now);

        catalog::RolloutOrder order;
        TimePoint learnedAt {};
        double trialShare = 0;
        bool rejected = false;
        bool completed = false;
        std::optional<catalog::RolloutPhase> written;
        VersionCapacity capacity;
        // When the proof under load began; no value before.
        std::optional<TimePoint> provingSince;
        // Whether all sessions have moved.
        bool moved = false;
        // Answers a second that the trial gave, those before the proof, and requests that the proof may take beside the
        // trial's; all of them on all hosts.
        double trialRate = 0;
        std::uint32_t answersBeforeProof = 0;
        double mostRequestsInProof = 0;
        VersionJudge judge;
        // The stage that was last written to the log.
        std::optional<Stage> notedStage;
    };

    static fleet::ShortHash idOf(const catalog::RolloutOrder& order);
    static bool isInRange(const Rollout& it, std::uint64_t sessionHash, double share);
    static Duration partOfOrder(const Rollout& it, double part);
    Stage stage(const Rollout& it, TimePoint now) const;
    // Share of the sessions that try a version whose order comes now.
    double trialShare() const;
    // Share of the sessions that a stage gives to the new version.
    double shareOf(const Rollout& it, Stage stage) const;
    bool targetServes(const Rollout& it, std::uint64_t sessionHash, TimePoint now) const;
    // Part of the slots of the upstream that proves the version that is to be in use.
    double provingLoadOf(const Rollout& it) const;
    bool mayProve(const Rollout& it, RequestWeight weight, TimePoint now) const;
    // Requests a second of the service, by the answers of the trial.
    static double serviceRate(const Rollout& it) { return it.trialRate / it.trialShare; }
    // Requests of the version so far, answered or not, and those of them that the proof took.
    static double requestsOf(const Rollout& it);
    static double requestsInProof(const Rollout& it, TimePoint now);
    bool mayEndTrial(const Rollout& it, TimePoint now) const;
    void endTrial(Rollout& it, TimePoint now);
    void beginProof(Rollout& it, TimePoint now) const;
    // Lets sessions move when it is time, unless the answers under load speak against the version.
    void endProof(Rollout& it, TimePoint now);
    bool isProved(const Rollout& it) const;
    // Age of an order at which all sessions move: what the version may get until the order's end keeps the bound of
    // exposure, also where it is bad and nothing has shown that. A proof is no reason to move sooner, since the version
    // may fail at a load that none was under.
    Duration moveAge(const Rollout& it) const;
    void judge(const Rollout& it, TimePoint now);
    void noteStage(Rollout& it, TimePoint now) const;
    void reject(const ServiceName& service, const catalog::SoftwareVersion& version, std::string_view reason);
    Rollout* find(fleet::ShortHash id);
    // A version that appeared a moment ago, whose order may be on its way.
    std::optional<catalog::SoftwareVersion> unexplainedVersion(const ServiceName& service, TimePoint now) const;

    RolloutOptions m_options;
    bool m_manyHosts = false;
    std::map<ServiceName, Rollout> m_rollouts;
    // When each version of a service was first seen.
    std::map<ServiceName, std::map<catalog::SoftwareVersion, TimePoint>> m_versions;
    std::map<ServiceName, catalog::RolloutStatus> m_statuses;
    // Versions that were found bad; they stay out of use, whatever is ordered after them.
    std::map<ServiceName, std::set<catalog::SoftwareVersion>> m_rejected;
    SessionTable m_sessions;
    OldAnswers m_oldAnswers;
};

}
