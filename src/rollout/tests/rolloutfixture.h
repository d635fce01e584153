#pragma once

#include "fireflyhaven/rollout/rolloutcontroller.h"

#include <random>

// Hosts that roll out a version of one service and exchange reports.
namespace fireflyhaven::rollout::test {

using catalog::RolloutPhase;
using catalog::SoftwareVersion;

inline constexpr TimePoint START { Duration(100'000) };
inline constexpr Duration ORDER_TIME { 24'000 };
inline const ServiceName SERVICE("s");
inline const SoftwareVersion OLD("v1");
inline const SoftwareVersion NEW("v2");
inline const catalog::RouteName ROUTE("r");
inline const VersionCapacity EQUAL { .newSlots = 64, .oldSlots = 64, .newUpstreams = 4 };

inline bool excludes(const VersionConstraint& constraint, const SoftwareVersion& version)
{
    return std::find(constraint.excludedVersions.begin(), constraint.excludedVersions.end(), version)
        != constraint.excludedVersions.end();
}

enum class Answer { Good, TwiceAsSlow, Slow, Failed };

inline double slowdownOf(Answer answer)
{
    if (answer == Answer::TwiceAsSlow)
        return 2;
    return answer == Answer::Slow ? 8 : 1;
}

inline AnswerSample failure(const std::string& upstream)
{
    return {
        .service = SERVICE, .route = ROUTE, .version = NEW, .upstream = UpstreamId(upstream), .kind = AnswerKind::Failed
    };
}

// Several hosts that exchange reports, and one service whose new version may be bad.
class Deployment {
public:
    explicit Deployment(int hosts, std::uint64_t seed = 11)
        : m_controllers(static_cast<std::size_t>(hosts))
        , m_reports(static_cast<std::size_t>(hosts))
        , m_uncounted(static_cast<std::size_t>(hosts))
        , m_random(seed)
    {
    }

    void order()
    {
        for (RolloutController& it : m_controllers) {
            it.onOrder({ .service = SERVICE, .target = NEW, .duration = ORDER_TIME }, START);
            it.onCapacity(SERVICE, EQUAL);
        }
    }

    // The host forgets everything, and receives the order again.
    void restart(std::size_t n, TimePoint now)
    {
        m_controllers[n] = RolloutController();
        m_controllers[n].onOrder({ .service = SERVICE, .target = NEW, .duration = ORDER_TIME }, now);
        m_controllers[n].onCapacity(SERVICE, EQUAL);
    }

    RolloutController& controller(std::size_t n) { return m_controllers[n]; }

    // Sends one request of the session through the host; returns whether it went to the new version.
    bool request(std::size_t host, std::uint64_t session, TimePoint now, Answer onNewVersion)
    {
        RolloutController& it = m_controllers[host];
        const VersionConstraint constraint = it.constraintFor(SERVICE, session, RequestProfile::LongPrefill, now);
        const bool onNew = constraint.requiredVersion == NEW;
        const SoftwareVersion version = onNew ? NEW : OLD;
        const UpstreamId upstream("u" + std::to_string(m_random() % 4));
        it.onSessionUsed(SERVICE, session, version, now);
        onAnswered(host, version);
        // Response times vary at random between half and twice the expected time.
        const double timeRatio = std::exp2(static_cast<double>(m_random() % 200) / 100 - 1);
        const bool bad = onNew && onNewVersion != Answer::Good;
        it.onAnswer(
            { .service = SERVICE,
                .route = ROUTE,
                .version = version,
                .upstream = upstream,
                .kind = bad && onNewVersion == Answer::Failed ? AnswerKind::Failed : AnswerKind::Good,
                .time = quality::LatencySample { .ratio = timeRatio * (onNew ? slowdownOf(onNewVersion) : 1) } },
            now);
        return onNew;
    }

    // The host has received an answer of the version, which its next report tells the others.
    void onAnswered(std::size_t host, const SoftwareVersion& version) { ++m_uncounted[host][version]; }

    void exchangeReports(TimePoint now)
    {
        for (std::size_t from = 0; from < m_controllers.size(); ++from) {
            fleet::HostReport report { .host = HostId(std::to_string(from)) };
            m_controllers[from].fillReport(report, now);
            for (std::size_t to = 0; to < m_controllers.size(); ++to) {
                if (to == from)
                    continue;
                m_controllers[to].onReport(m_reports[from], report, now);
                for (const auto& [version, n] : m_uncounted[from])
                    m_controllers[to].onPeerAnswers(SERVICE, version, n);
            }
            m_uncounted[from].clear();
            m_reports[from] = report;
        }
        for (RolloutController& it : m_controllers)
            it.tick(now);
    }

    std::mt19937_64& random() { return m_random; }

private:
    std::vector<RolloutController> m_controllers;
    std::vector<fleet::HostReport> m_reports;
    std::vector<std::map<SoftwareVersion, std::uint32_t>> m_uncounted;
    std::mt19937_64 m_random;
};

}
