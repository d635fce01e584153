#include "fireflyhaven/routing/chooser.h"

#include <algorithm>

namespace fireflyhaven::routing {

namespace {

bool isInTime(const Cascade& it, const Requirements& requirements)
{
    return it.firstToken <= requirements.firstToken && it.total <= requirements.total;
}

// Best cascades found so far: the cheapest that meets all requirements, the best quality within the time limits, and
// the best quality overall.
class Selection {
public:
    explicit Selection(const Requirements& requirements)
        : m_requirements(requirements)
    {
    }

    void offer(const Cascade& it)
    {
        const bool inTime = isInTime(it, m_requirements);
        if (inTime && it.quality >= m_requirements.qualityTarget && isCheaper(it, m_cheapest))
            m_cheapest = it;
        if (inTime && isBetter(it, m_bestInTime))
            m_bestInTime = it;
        if (isBetter(it, m_best))
            m_best = it;
    }

    // Whether a cascade that costs at least this much can still become the cheapest.
    bool canBeCheapest(double costMicros) const
    {
        return m_cheapest.steps.empty() || costMicros <= m_cheapest.expectedCostMicros;
    }

    Choice choice() const
    {
        if (!m_cheapest.steps.empty())
            return { .kind = ChoiceKind::MeetsTarget, .cascade = m_cheapest };
        const bool timeFirst = m_requirements.onConflict == config::TargetConflict::TimeFirst;
        if (timeFirst && !m_bestInTime.steps.empty())
            return { .kind = ChoiceKind::BestTime, .cascade = m_bestInTime };
        if (!m_best.steps.empty())
            return { .kind = ChoiceKind::BestQuality, .cascade = m_best };
        return {};
    }

private:
    static bool isCheaper(const Cascade& a, const Cascade& b)
    {
        return b.steps.empty() || a.expectedCostMicros < b.expectedCostMicros
            || (a.expectedCostMicros == b.expectedCostMicros && a.total < b.total);
    }
    static bool isBetter(const Cascade& a, const Cascade& b)
    {
        return b.steps.empty() || a.quality > b.quality
            || (a.quality == b.quality && a.expectedCostMicros < b.expectedCostMicros);
    }

    const Requirements& m_requirements;
    Cascade m_cheapest;
    Cascade m_bestInTime;
    Cascade m_best;
};

// Searches the cascades depth first. A further step never lowers the cost, so branches that cost more than the cheapest
// cascade that meets the requirements are pruned.
void extend(const std::vector<Candidate>& candidates, const RaterModel& rater, Selection& selection,
    std::vector<std::size_t>& steps)
{
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        if (std::find(steps.begin(), steps.end(), n) != steps.end())
            continue;
        steps.push_back(n);
        const Cascade it = evaluateCascade(candidates, steps, rater);
        if (selection.canBeCheapest(it.expectedCostMicros)) {
            selection.offer(it);
            if (steps.size() < MAX_CASCADE_STEPS && rater.available)
                extend(candidates, rater, selection, steps);
        }
        steps.pop_back();
    }
}

}

Cascade evaluateCascade(
    const std::vector<Candidate>& candidates, const std::vector<std::size_t>& steps, const RaterModel& rater)
{
    Cascade it { .steps = steps };
    // Probability that the current step is executed.
    double reachProbability = 1;
    for (std::size_t n = 0; n < steps.size(); ++n) {
        const Candidate& candidate = candidates[steps[n]];
        const bool last = n + 1 == steps.size();
        it.expectedCostMicros += reachProbability * static_cast<double>(candidate.expectedCost.micros);
        it.total += candidate.total;
        // The first token is sent only once no later step can replace the answer.
        it.firstToken = last ? it.total - candidate.total + candidate.firstToken : it.firstToken;
        if (last) {
            it.quality += reachProbability * candidate.quality;
            break;
        }
        it.total += rater.time;
        it.quality += reachProbability * candidate.quality * rater.acceptsGood;
        reachProbability *= 1 - candidate.quality * rater.acceptsGood - (1 - candidate.quality) * rater.acceptsBad;
    }
    return it;
}

Choice chooseCascade(
    const std::vector<Candidate>& candidates, const Requirements& requirements, const RaterModel& rater)
{
    Selection selection(requirements);
    std::vector<std::size_t> steps;
    extend(candidates, rater, selection, steps);
    return selection.choice();
}

}
