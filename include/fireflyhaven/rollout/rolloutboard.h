#pragma once

#include "fireflyhaven/catalog/types/operatorchange.h"
#include "fireflyhaven/fleet/types/hostreport.h"
#include "fireflyhaven/quality/badversiondetector.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <set>

namespace fireflyhaven::rollout {

struct RolloutOptions {
    // Share of the sessions that try a new version. Stays well under the share that a bad one may get.
    double trialShare = 0.11;
    // Sessions at work when the order came stay where they are; so long passes until their list has gone round.
    Duration settling { 1000 };
    // A session is at work until this time after its last request ended.
    Duration session { 5000 };
    // Part of the order's time after which sessions may be moved.
    double trialPart = 0.5;
    // The same for a version that looks slow, without certainty.
    double longestTrialPart = 0.72;
    // Share of the sessions that moves first, and for how long.
    double wideningShare = 0.35;
    Duration widening { 1500 };
    // Before the order's end the status is written even if some requests still run on the old version.
    Duration lastMoment { 1200 };
    // Part of the old version's slots that the new one needs before sessions move.
    double leastCapacity = 0.5;
    // A version that appears without an order gets nothing for this long: its order may be on its way.
    Duration unexplainedVersion { 3000 };
};

// What an answer tells of the version that gave it.
struct AnswerSample {
    ServiceName service;
    catalog::RouteName route;
    catalog::SoftwareVersion version;
    UpstreamId upstream;
    // A failure of the upstream's own.
    bool failed = false;
    // Observed over expected time; no value where the time tells nothing.
    std::optional<double> timeFactor;
};

enum class Stage {
    // Nothing on the new version yet.
    Settling,
    // A few sessions are on the new version.
    Trial,
    // More sessions move.
    Widening,
    // All sessions are on the new version; the old one finishes its requests.
    Replacing,
    Completed,
    RolledBack,
};

// Which versions may serve a request.
struct VersionWish {
    std::optional<catalog::SoftwareVersion> only;
    std::vector<catalog::SoftwareVersion> except;
};

// Slots of a service's upstreams on the new and on its other versions.
struct VersionCapacity {
    int newSlots = 0;
    int oldSlots = 0;
    int newUpstreams = 0;
};

// Moves services to new versions: tries a version with few sessions, judges it by the answers that all hosts see,
// moves the others in the second half of the order's time, and takes a bad version back at once. Each host decides
// alike from the order and the reports; one writes the status. Does no I/O.
class RolloutBoard {
public:
    explicit RolloutBoard(RolloutOptions options = {});
    void setOptions(const RolloutOptions& options) { m_options = options; }

    void onOrder(const catalog::RolloutOrder& order, TimePoint now);
    void onWithdrawn(const ServiceName& service);
    // A status in the store.
    void onStatus(const catalog::RolloutStatus& status);
    // An upstream of this version is registered.
    void onVersionSeen(const ServiceName& service, const catalog::SoftwareVersion& version, TimePoint now);
    void onCapacity(const ServiceName& service, const VersionCapacity& capacity);
    bool isRejected(const ServiceName& service, const catalog::SoftwareVersion& version) const;

    // Versions that a request of the session may go to; a request without a session stands for itself.
    VersionWish wishFor(const ServiceName& service, std::uint64_t sessionHash, TimePoint now) const;
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
    // Moves roll-outs on with time, and forgets sessions that are no longer at work.
    void tick(TimePoint now);

private:
    // Answers of the new version, or of all others, on one route.
    struct Counts {
        std::uint32_t good = 0;
        std::uint32_t failed = 0;
        std::uint32_t badUpstreams = 0;
        quality::TimeFactors times;
    };
    struct Rollout {
        catalog::RolloutOrder order;
        TimePoint learnedAt {};
        bool rejected = false;
        bool completed = false;
        std::optional<catalog::RolloutPhase> written;
        VersionCapacity capacity;
        // When sessions began to move; no value during the trial.
        std::optional<TimePoint> movingSince;
        // Answers that this host saw of the new version, by route.
        std::map<fleet::ShortHash, Counts> own;
        std::uint32_t badUpstreams = 0;
        // What the other hosts saw, by host and route.
        std::map<HostId, std::map<fleet::ShortHash, quality::TimeFactors>> timesOfOthers;
    };
    struct SessionUse {
        TimePoint usedAt {};
        bool onNewVersion = false;
    };

    static fleet::ShortHash idOf(const catalog::RolloutOrder& order);
    static bool isInRange(const Rollout& it, std::uint64_t sessionHash, double share);
    Stage stage(const Rollout& it, TimePoint now) const;
    void judgeFailures(Rollout& it, fleet::ShortHash route, const Counts& news);
    quality::TimeVerdict compareTimes(const Rollout& it) const;
    void judgeTimes(const Rollout& it, TimePoint now);
    bool mayMove(const Rollout& it, TimePoint now) const;
    void takeTrials(const fleet::HostReport& before, const fleet::HostReport& report, TimePoint now);
    double goodShareOfOld(fleet::ShortHash route) const;
    Rollout* find(fleet::ShortHash id);
    bool isOnOldVersion(std::uint64_t sessionHash, TimePoint now) const;
    // A version that appeared a moment ago, whose order may be on its way.
    std::optional<catalog::SoftwareVersion> unexplainedVersion(const ServiceName& service, TimePoint now) const;
    bool targetServes(const Rollout& it, std::uint64_t sessionHash, TimePoint now) const;
    void reject(const ServiceName& service, const catalog::SoftwareVersion& version, std::string_view reason);

    RolloutOptions m_options;
    std::map<ServiceName, Rollout> m_rollouts;
    // When each version of a service was first seen.
    std::map<ServiceName, std::map<catalog::SoftwareVersion, TimePoint>> m_versions;
    std::map<ServiceName, catalog::RolloutStatus> m_statuses;
    // Versions that were found bad; they stay out of use, whatever is ordered after them.
    std::map<ServiceName, std::set<catalog::SoftwareVersion>> m_rejected;
    // Sessions lately at work, here or on another host that told of them.
    absl::flat_hash_map<std::uint64_t, SessionUse> m_sessions;
    // Answers of the versions that are not on trial, by route.
    struct OldAnswers {
        double good = 0;
        double all = 0;
        quality::TimeFactors times;
    };
    std::map<fleet::ShortHash, OldAnswers> m_oldAnswers;
    quality::BadVersionDetector m_failureDetector;
};

}
