#include "fireflyhaven/rollout/versionevaluator.h"

#include "fireflyhaven/common/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <bit>

namespace fireflyhaven::rollout {

namespace {

// Prior of the baseline's failure rate: weight in answers, and share of good ones.
constexpr double PRIOR_ANSWERS = 20;
constexpr double PRIOR_GOOD_SHARE = 0.99;
// A new version with this share of good answers is acceptable, even if the baseline has a higher one.
constexpr double MAX_EXPECTED_GOOD_SHARE = 0.97;
// Factor by which each answer of the baseline reduces the weight of the earlier ones.
constexpr double BASELINE_DECAY = 0.995;
// Number of the latest response times that make up the baseline.
constexpr float MAX_BASELINE_TIMES = 400;
constexpr int BITMAP_BITS = 32;
// Load, as a fraction of an upstream's slots, from which failures count as under load, and fraction of the target load
// from which good answers do. The latter is below 1 because the load varies as requests start and end.
constexpr double MIN_FAILED_LOAD = 0.5;
constexpr double MIN_GOOD_LOAD_FRACTION = 0.85;
// Additional good answers under load that are required to pass the load test, for each failure.
constexpr std::uint32_t MIN_GOOD_PER_FAILED = 8;
// Number of good answers under load per failure up to which a version fails the load test.
constexpr std::uint32_t MAX_GOOD_PER_FAILED = 5;
// Failures under load below which a version neither fails the load test nor is suspect: a single one is no evidence.
constexpr std::uint32_t MIN_FAILED = 2;
constexpr std::uint32_t MIN_CERTAIN_FAILED = 5;
// A version is suspect if its failures under load exceed those expected of the baseline by this factor.
constexpr double SUSPECT_FACTOR = 2;

// The detector keeps its evidence by task; each route is mapped to a task of its own.
quality::RatingKey ratingKey(fleet::ShortHash route) { return { .task = TaskName(std::to_string(route)) }; }

std::uint32_t increase(std::uint32_t previous, std::uint32_t current) { return current - std::min(previous, current); }

}

void BaselineAnswers::add(fleet::ShortHash route, const AnswerSample& answer)
{
    Answers& it = m_routes[route];
    if (answer.kind != AnswerKind::Overdue) {
        it.good = it.good * BASELINE_DECAY + (answer.kind == AnswerKind::Good ? 1 : 0);
        it.total = it.total * BASELINE_DECAY + 1;
    }
    if (answer.time)
        it.times.add(*answer.time);
    it.times.limitSamples(MAX_BASELINE_TIMES);
}

double BaselineAnswers::goodShare(fleet::ShortHash route) const
{
    const auto it = m_routes.find(route);
    const Answers answers = it == m_routes.end() ? Answers {} : it->second;
    return std::min(
        MAX_EXPECTED_GOOD_SHARE, (answers.good + PRIOR_ANSWERS * PRIOR_GOOD_SHARE) / (answers.total + PRIOR_ANSWERS));
}

quality::LatencyRatios BaselineAnswers::times(fleet::ShortHash route) const
{
    const auto local = m_routes.find(route);
    quality::LatencyRatios sum = local == m_routes.end() ? quality::LatencyRatios {} : local->second.times;
    for (const auto& [host, routes] : m_peerTimes) {
        const auto it = routes.find(route);
        if (it != routes.end())
            sum += it->second;
    }
    return sum;
}

std::set<fleet::ShortHash> BaselineAnswers::routes() const
{
    std::set<fleet::ShortHash> all;
    for (const auto& [route, it] : m_routes)
        all.insert(route);
    for (const auto& [host, routes] : m_peerTimes) {
        for (const auto& [route, it] : routes)
            all.insert(route);
    }
    return all;
}

void BaselineAnswers::fillReport(fleet::HostReport& report) const
{
    for (const auto& [route, it] : m_routes)
        report.baselineTimes.items.push_back({ .route = route, .times = it.times });
}

void BaselineAnswers::onReport(const fleet::HostReport& report)
{
    for (const fleet::RouteTimes& it : report.baselineTimes.items)
        m_peerTimes[report.host][it.route] = it.times;
}

void VersionEvaluator::setProvingLoad(double load)
{
    m_minGoodLoad = std::max({ m_minGoodLoad, MIN_FAILED_LOAD, MIN_GOOD_LOAD_FRACTION * load });
}

void VersionEvaluator::onAnswer(fleet::ShortHash route, const AnswerSample& answer, const BaselineAnswers& baseline)
{
    Counts& counts = m_localCounts[route];
    if (answer.time)
        counts.times.add(*answer.time);
    if (answer.kind == AnswerKind::Overdue)
        return;
    const bool failed = answer.kind == AnswerKind::Failed;
    ++(failed ? counts.failed : counts.good);
    const std::uint32_t bit = failed ? 1U << (stableHash(answer.upstream.value()) % BITMAP_BITS) : std::uint32_t(0);
    counts.badUpstreams |= bit;
    const double load = answer.load.value_or(0);
    counts.underLoad.failed += failed && load >= MIN_FAILED_LOAD ? 1 : 0;
    counts.underLoad.good += !failed && load >= m_minGoodLoad ? 1 : 0;
    addEvidence(route, failed ? 0 : 1, failed ? 1 : 0, bit, baseline);
}

void VersionEvaluator::addEvidence(fleet::ShortHash route, std::uint32_t good, std::uint32_t failed,
    std::uint32_t badUpstreams, const BaselineAnswers& baseline)
{
    m_badUpstreams |= badUpstreams;
    if (m_detector.onRatings(ratingKey(route), good, failed, baseline.goodShare(route)))
        m_failingRoute = route;
}

std::optional<std::string> VersionEvaluator::failureReason(int upstreamCount) const
{
    // Failures of only one of several upstreams are a fault of that upstream rather than of the version.
    const int failing = std::popcount(m_badUpstreams);
    if (!m_failingRoute || (failing < 2 && upstreamCount > 1))
        return std::nullopt;
    return fmt::format("too many failures on route {:x}: log likelihood ratio {:.1f}, failures at {} upstreams",
        *m_failingRoute, m_detector.evidence(ratingKey(*m_failingRoute)), failing);
}

quality::LatencyComparison VersionEvaluator::timeEvidence(const BaselineAnswers& baseline) const
{
    std::vector<quality::VersionLatencies> requestKinds;
    for (const fleet::ShortHash route : baseline.routes()) {
        quality::VersionLatencies latencies { .newer = {}, .older = baseline.times(route) };
        const auto local = m_localCounts.find(route);
        if (local != m_localCounts.end())
            latencies.newer += local->second.times;
        for (const auto& [host, routes] : m_peerCounts) {
            const auto it = routes.find(route);
            if (it != routes.end())
                latencies.newer += it->second.times;
        }
        requestKinds.push_back(latencies);
    }
    return quality::compareLatencies(requestKinds);
}

AnswerTotals VersionEvaluator::totals() const
{
    AnswerTotals sum;
    for (const auto& [route, counts] : m_localCounts) {
        sum.good += counts.good;
        sum.failed += counts.failed;
    }
    for (const auto& [host, routes] : m_peerCounts) {
        for (const auto& [route, counts] : routes) {
            sum.good += counts.good;
            sum.failed += counts.failed;
        }
    }
    return sum;
}

AnswersUnderLoad VersionEvaluator::underLoad(const BaselineAnswers& baseline) const
{
    AnswersUnderLoad sum;
    const auto add = [&](const CountsByRoute& routes) {
        for (const auto& [route, counts] : routes) {
            sum += counts.underLoad;
            sum.expectedFailed += (1 - baseline.goodShare(route)) * (counts.underLoad.good + counts.underLoad.failed);
        }
    };
    add(m_localCounts);
    for (const auto& [host, routes] : m_peerCounts)
        add(routes);
    return sum;
}

AnswersUnderLoad& AnswersUnderLoad::operator+=(const AnswersUnderLoad& other)
{
    good += other.good;
    failed += other.failed;
    expectedFailed += other.expectedFailed;
    return *this;
}

bool AnswersUnderLoad::passes(std::uint32_t minGood) const { return good >= minGood + MIN_GOOD_PER_FAILED * failed; }

bool AnswersUnderLoad::fails() const { return failed >= MIN_FAILED && failed * MAX_GOOD_PER_FAILED >= good; }

bool AnswersUnderLoad::isFailureCertain() const { return failed >= MIN_CERTAIN_FAILED; }

bool AnswersUnderLoad::isSuspect() const { return failed >= MIN_FAILED && failed > SUSPECT_FACTOR * expectedFailed; }

void VersionEvaluator::fillReport(fleet::HostReport& report) const
{
    for (const auto& [route, counts] : m_localCounts) {
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

void VersionEvaluator::onReport(
    const fleet::HostReport& previous, const fleet::HostReport& report, const BaselineAnswers& baseline)
{
    for (const fleet::TrialCounters& counters : report.trials.items) {
        if (counters.rollout != m_rollout)
            continue;
        fleet::TrialCounters last;
        for (const fleet::TrialCounters& earlier : previous.trials.items) {
            if (earlier.rollout == counters.rollout && earlier.route == counters.route)
                last = earlier;
        }
        m_peerCounts[report.host][counters.route] = { .good = counters.good,
            .failed = counters.failed,
            .underLoad = { counters.goodUnderLoad, counters.failedUnderLoad },
            .times = counters.times };
        addEvidence(counters.route, increase(last.good, counters.good), increase(last.failed, counters.failed),
            counters.badUpstreams, baseline);
    }
}

}
