#include "fireflyhaven/routing/chooser.h"

#include <algorithm>

namespace fireflyhaven::routing {

namespace {

bool isInTime(const Cascade& it, const Needs& needs)
{
    return it.firstToken <= needs.firstToken && it.total <= needs.total;
}

// Keeps the best cascade by each of the three orders while the search goes on.
class Selection {
public:
    explicit Selection(const Needs& needs)
        : m_needs(needs)
    {
    }

    void offer(const Cascade& it)
    {
        const bool inTime = isInTime(it, m_needs);
        if (inTime && it.quality >= m_needs.qualityTarget && isCheaper(it, m_cheapest))
            m_cheapest = it;
        if (inTime && isBetter(it, m_bestInTime))
            m_bestInTime = it;
        if (isBetter(it, m_best))
            m_best = it;
    }

    // Whether a cascade that costs at least this much can still be chosen for its cost.
    bool mayWin(double costMicros) const
    {
        return m_cheapest.steps.empty() || costMicros <= m_cheapest.expectedCostMicros;
    }

    Choice choice() const
    {
        if (!m_cheapest.steps.empty())
            return { .kind = ChoiceKind::MeetsTarget, .cascade = m_cheapest };
        const bool timeFirst = m_needs.onConflict == config::TargetConflict::TimeFirst;
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

    const Needs& m_needs;
    Cascade m_cheapest;
    Cascade m_bestInTime;
    Cascade m_best;
};

// Extends the cascade step by step. Adding a step never lowers the cost, so a branch that costs more than the
// cheapest cascade found is cut, once the target is known to be met.
void extend(const std::vector<Candidate>& candidates, const RaterModel& rater, Selection& selection,
    std::vector<std::size_t>& steps)
{
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        if (std::find(steps.begin(), steps.end(), n) != steps.end())
            continue;
        steps.push_back(n);
        const Cascade it = evaluateCascade(candidates, steps, rater);
        if (selection.mayWin(it.expectedCostMicros)) {
            selection.offer(it);
            if (steps.size() < LONGEST_CASCADE && rater.available)
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
    double reached = 1;
    for (std::size_t n = 0; n < steps.size(); ++n) {
        const Candidate& candidate = candidates[steps[n]];
        const bool last = n + 1 == steps.size();
        it.expectedCostMicros += reached * static_cast<double>(candidate.expectedCost.micros);
        it.total += candidate.total;
        // The first byte leaves only when no later step can replace the answer.
        it.firstToken = last ? it.total - candidate.total + candidate.firstToken : it.firstToken;
        if (last) {
            it.quality += reached * candidate.quality;
            break;
        }
        it.total += rater.time;
        it.quality += reached * candidate.quality * rater.acceptsGood;
        reached *= 1 - candidate.quality * rater.acceptsGood - (1 - candidate.quality) * rater.acceptsBad;
    }
    return it;
}

Choice chooseCascade(const std::vector<Candidate>& candidates, const Needs& needs, const RaterModel& rater)
{
    Selection selection(needs);
    std::vector<std::size_t> steps;
    extend(candidates, rater, selection, steps);
    return selection.choice();
}

}
