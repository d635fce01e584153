#include "fireflyhaven/rollout/versionjudge.h"

#include "fireflyhaven/common/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <bit>

namespace fireflyhaven::rollout {

namespace {

// Answers of the old version that are taken for granted before any are seen: good ones, nearly all.
constexpr double PRIOR_ANSWERS = 20;
constexpr double PRIOR_GOOD_SHARE = 0.99;
// A version with this share of good answers is good enough, however well the old one does.
constexpr double GOOD_ENOUGH = 0.97;
// Part of their weight that answers of the old version keep with each later one.
constexpr double OLD_ANSWER_KEPT = 0.995;
// Times of the old version's last answers that are compared with.
constexpr float OLD_TIMES_KEPT = 400;
constexpr int BITMAP_BITS = 32;
// Part of an upstream's slots in use from which failures tell of the load, and part of the load that is aimed at from
// which good answers do: requests come and go while an upstream is kept at it.
constexpr double LEAST_LOADED = 0.5;
constexpr double LOADED_PART = 0.85;
// Good answers under load that outweigh a failed one, and failed ones that tell anything.
constexpr std::uint32_t GOOD_PER_FAILED = 8;
// Good answers under load per failed one up to which the failures tell against the version.
constexpr std::uint32_t MOST_GOOD_PER_FAILED = 5;
constexpr std::uint32_t LEAST_FAILED = 2;
constexpr std::uint32_t CERTAIN_FAILED = 5;
// Failures beyond those expected, as a factor, that make a version suspect.
constexpr double SUSPECT_FACTOR = 2;

// The detector keeps evidence by kind of request.
quality::RatingKey ratingKey(fleet::ShortHash route) { return { .task = TaskName(std::to_string(route)) }; }

std::uint32_t increase(std::uint32_t before, std::uint32_t after) { return after - std::min(before, after); }

}

void OldAnswers::add(fleet::ShortHash route, const AnswerSample& answer)
{
    Answers& it = m_routes[route];
    it.good = it.good * OLD_ANSWER_KEPT + (answer.failed ? 0 : 1);
    it.all = it.all * OLD_ANSWER_KEPT + 1;
    if (answer.time)
        it.times.add(*answer.time);
    it.times.limitSamples(OLD_TIMES_KEPT);
}

double OldAnswers::goodShare(fleet::ShortHash route) const
{
    const auto it = m_routes.find(route);
    const Answers answers = it == m_routes.end() ? Answers {} : it->second;
    return std::min(GOOD_ENOUGH, (answers.good + PRIOR_ANSWERS * PRIOR_GOOD_SHARE) / (answers.all + PRIOR_ANSWERS));
}

quality::LatencyRatios OldAnswers::times(fleet::ShortHash route) const
{
    const auto own = m_routes.find(route);
    quality::LatencyRatios sum = own == m_routes.end() ? quality::LatencyRatios {} : own->second.times;
    for (const auto& [host, routes] : m_otherTimes) {
        const auto it = routes.find(route);
        if (it != routes.end())
            sum += it->second;
    }
    return sum;
}

std::set<fleet::ShortHash> OldAnswers::routes() const
{
    std::set<fleet::ShortHash> all;
    for (const auto& [route, it] : m_routes)
        all.insert(route);
    for (const auto& [host, routes] : m_otherTimes) {
        for (const auto& [route, it] : routes)
            all.insert(route);
    }
    return all;
}

void OldAnswers::fillReport(fleet::HostReport& report) const
{
    for (const auto& [route, it] : m_routes)
        report.oldTimes.items.push_back({ .route = route, .times = it.times });
}

void OldAnswers::onReport(const fleet::HostReport& report)
{
    for (const fleet::RouteTimes& it : report.oldTimes.items)
        m_otherTimes[report.host][it.route] = it.times;
}

void VersionJudge::setLoad(double load) { m_loadedFrom = std::max({ m_loadedFrom, LEAST_LOADED, LOADED_PART * load }); }

void VersionJudge::onAnswer(fleet::ShortHash route, const AnswerSample& answer, const OldAnswers& old)
{
    Counts& counts = m_own[route];
    ++(answer.failed ? counts.failed : counts.good);
    const std::uint32_t bit
        = answer.failed ? 1U << (stableHash(answer.upstream.value()) % BITMAP_BITS) : std::uint32_t(0);
    counts.badUpstreams |= bit;
    const double load = answer.load.value_or(0);
    counts.underLoad.failed += answer.failed && load >= LEAST_LOADED ? 1 : 0;
    counts.underLoad.good += !answer.failed && load >= m_loadedFrom ? 1 : 0;
    if (answer.time)
        counts.times.add(*answer.time);
    judge(route, answer.failed ? 0 : 1, answer.failed ? 1 : 0, bit, old);
}

void VersionJudge::judge(
    fleet::ShortHash route, std::uint32_t good, std::uint32_t failed, std::uint32_t badUpstreams, const OldAnswers& old)
{
    m_badUpstreams |= badUpstreams;
    if (m_detector.onRatings(ratingKey(route), good, failed, old.goodShare(route)))
        m_failingRoute = route;
}

std::optional<std::string> VersionJudge::failures(int upstreams) const
{
    // One failing upstream among several tells of that upstream, not of the version.
    const int failing = std::popcount(m_badUpstreams);
    if (!m_failingRoute || (failing < 2 && upstreams > 1))
        return std::nullopt;
    return fmt::format("failures on route {:x}, evidence {:.1f}, on {} of its upstreams", *m_failingRoute,
        m_detector.evidence(ratingKey(*m_failingRoute)), failing);
}

quality::LatencyComparison VersionJudge::times(const OldAnswers& old) const
{
    std::vector<quality::VersionLatencies> kinds;
    for (const fleet::ShortHash route : old.routes()) {
        quality::VersionLatencies kind { .newer = {}, .older = old.times(route) };
        const auto own = m_own.find(route);
        if (own != m_own.end())
            kind.newer += own->second.times;
        for (const auto& [host, routes] : m_others) {
            const auto it = routes.find(route);
            if (it != routes.end())
                kind.newer += it->second.times;
        }
        kinds.push_back(kind);
    }
    return quality::compareLatencies(kinds);
}

AnswerTotals VersionJudge::totals() const
{
    AnswerTotals sum;
    for (const auto& [route, counts] : m_own) {
        sum.good += counts.good;
        sum.failed += counts.failed;
    }
    for (const auto& [host, routes] : m_others) {
        for (const auto& [route, counts] : routes) {
            sum.good += counts.good;
            sum.failed += counts.failed;
        }
    }
    return sum;
}

LoadedAnswers VersionJudge::underLoad(const OldAnswers& old) const
{
    LoadedAnswers sum;
    const auto add = [&](const ByRoute& routes) {
        for (const auto& [route, counts] : routes) {
            sum += counts.underLoad;
            sum.expectedFailed += (1 - old.goodShare(route)) * (counts.underLoad.good + counts.underLoad.failed);
        }
    };
    add(m_own);
    for (const auto& [host, routes] : m_others)
        add(routes);
    return sum;
}

LoadedAnswers& LoadedAnswers::operator+=(const LoadedAnswers& other)
{
    good += other.good;
    failed += other.failed;
    expectedFailed += other.expectedFailed;
    return *this;
}

bool LoadedAnswers::prove(std::uint32_t enough) const { return good >= enough + GOOD_PER_FAILED * failed; }

bool LoadedAnswers::disprove() const { return failed >= LEAST_FAILED && failed * MOST_GOOD_PER_FAILED >= good; }

bool LoadedAnswers::isCertain() const { return failed >= CERTAIN_FAILED; }

bool LoadedAnswers::isSuspect() const { return failed >= LEAST_FAILED && failed > SUSPECT_FACTOR * expectedFailed; }

void VersionJudge::fillReport(fleet::HostReport& report) const
{
    for (const auto& [route, counts] : m_own) {
        report.trials.items.push_back({ .rollout = m_rollout,
            .route = route,
            .good = counts.good,
            .failed = counts.failed,
            .goodUnderLoad = counts.underLoad.good,
            .failedUnderLoad = counts.underLoad.failed,
            .badUpstreams = counts.badUpstreams,
            .times = counts.times });
    }
}

void VersionJudge::onReport(const fleet::HostReport& before, const fleet::HostReport& report, const OldAnswers& old)
{
    for (const fleet::TrialCounters& counters : report.trials.items) {
        if (counters.rollout != m_rollout)
            continue;
        fleet::TrialCounters last;
        for (const fleet::TrialCounters& earlier : before.trials.items) {
            if (earlier.rollout == counters.rollout && earlier.route == counters.route)
                last = earlier;
        }
        m_others[report.host][counters.route] = { .good = counters.good,
            .failed = counters.failed,
            .underLoad = { counters.goodUnderLoad, counters.failedUnderLoad },
            .times = counters.times };
        judge(counters.route, increase(last.good, counters.good), increase(last.failed, counters.failed),
            counters.badUpstreams, old);
    }
}

}
