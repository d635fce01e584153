#pragma once

#include "fireflyhaven/catalog/types/configuration.h"
#include "fireflyhaven/fleet/types/hostreport.h"
#include "fireflyhaven/quality/badversiondetector.h"

#include <map>
#include <optional>
#include <set>

namespace fireflyhaven::rollout {

// What an answer tells of the version that gave it.
struct AnswerSample {
    ServiceName service;
    catalog::RouteName route;
    catalog::SoftwareVersion version;
    UpstreamId upstream;
    // A failure of the upstream's own.
    bool failed = false;
    // No value where the time tells nothing.
    std::optional<quality::LatencySample> time;
    // Part of the upstream's slots in use; no value where it told none.
    std::optional<double> load;
};

// Answers of the versions that are not on trial, by route: their failures as this host saw them, their times as all
// hosts did.
class OldAnswers {
public:
    void add(fleet::ShortHash route, const AnswerSample& answer);
    void fillReport(fleet::HostReport& report) const;
    void onReport(const fleet::HostReport& report);
    double goodShare(fleet::ShortHash route) const;
    quality::LatencyRatios times(fleet::ShortHash route) const;
    std::set<fleet::ShortHash> routes() const;

private:
    struct Answers {
        double good = 0;
        double all = 0;
        quality::LatencyRatios times;
    };

    std::map<fleet::ShortHash, Answers> m_routes;
    std::map<HostId, std::map<fleet::ShortHash, quality::LatencyRatios>> m_otherTimes;
};

// Answers of upstreams under load.
struct LoadedAnswers {
    std::uint32_t good = 0;
    std::uint32_t failed = 0;
    // Failures that the old version would have had among as many answers.
    double expectedFailed = 0;

    LoadedAnswers& operator+=(const LoadedAnswers& other);
    // Whether they show that the version bears the load: enough good ones, and many for each that failed.
    bool prove(std::uint32_t enough) const;
    // Whether they speak against it, on however few upstreams.
    bool disprove() const;
    // Whether there are enough of them to say so before time is up.
    bool isCertain() const;
    // Whether so many failed that the version should not replace the old one without a proof.
    bool isSuspect() const;
};

// Answers that a version has given, on all hosts.
struct AnswerTotals {
    std::uint32_t good = 0;
    std::uint32_t failed = 0;

    std::uint32_t sum() const { return good + failed; }
};

// Judges one version by the answers that all hosts see: failures by a sequential test on each route, times by comparing
// them with those of the other versions. Does no I/O.
class VersionJudge {
public:
    explicit VersionJudge(fleet::ShortHash rollout)
        : m_rollout(rollout)
    {
    }

    // Part of the slots that an upstream under load has in use.
    void setLoad(double load);
    void onAnswer(fleet::ShortHash route, const AnswerSample& answer, const OldAnswers& old);
    void fillReport(fleet::HostReport& report) const;
    void onReport(const fleet::HostReport& before, const fleet::HostReport& report, const OldAnswers& old);

    // Why the version is taken for bad; no value while it is not. `upstreams` is the number of its upstreams.
    std::optional<std::string> failures(int upstreams) const;
    quality::LatencyComparison times(const OldAnswers& old) const;
    AnswerTotals totals() const;
    // Answers of upstreams under load, on all hosts.
    LoadedAnswers underLoad(const OldAnswers& old) const;

private:
    struct Counts {
        std::uint32_t good = 0;
        std::uint32_t failed = 0;
        LoadedAnswers underLoad;
        std::uint32_t badUpstreams = 0;
        quality::LatencyRatios times;
    };
    using ByRoute = std::map<fleet::ShortHash, Counts>;

    void judge(fleet::ShortHash route, std::uint32_t good, std::uint32_t failed, std::uint32_t badUpstreams,
        const OldAnswers& old);

    fleet::ShortHash m_rollout;
    // Good answers at this part of the slots or more count as under load.
    double m_loadedFrom = 0.5;
    ByRoute m_own;
    std::map<HostId, ByRoute> m_others;
    quality::BadVersionDetector m_detector;
    // Bitmap of hashed upstreams that gave a failed answer.
    std::uint32_t m_badUpstreams = 0;
    // Route on which the failures are evident.
    std::optional<fleet::ShortHash> m_failingRoute;
};

}
