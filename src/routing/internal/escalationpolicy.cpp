#include "fireflyhaven/routing/escalationpolicy.h"

#include <algorithm>

namespace fireflyhaven::routing {

namespace {
// Part of their weight that answers keep with each later one.
constexpr double KEPT = 0.995;
// Costs that differ by less than this factor count as alike.
constexpr double SAME_COST = 1.001;
}

ModelLadder::ModelLadder(LadderOptions options)
    : m_options(options)
{
}

double ModelLadder::acceptedShare(const ServiceName& service, const ModelPrices& models, std::size_t model) const
{
    // No larger model can better the largest one's answer.
    if (model + 1 >= models.size())
        return 1;
    const double prior = static_cast<double>(model + 1) / static_cast<double>(models.size());
    const auto it = m_answers.find({ service, models[model].model });
    const Answers answers = it == m_answers.end() ? Answers {} : it->second;
    return (answers.accepted + prior * m_options.priorAnswers) / (answers.all + m_options.priorAnswers);
}

double ModelLadder::expectedCost(
    const ServiceName& service, const ModelPrices& models, std::size_t from, double before) const
{
    const double accepted = std::max(before, acceptedShare(service, models, from));
    const double price = models[from].costPerThousandTokens;
    if (accepted >= 1 || from + 1 >= models.size())
        return price;
    const double rejected = (1 - accepted) / (1 - before);
    return price + rejected * expectedCost(service, models, cheapest(service, models, from + 1, accepted), accepted);
}

std::size_t ModelLadder::cheapest(
    const ServiceName& service, const ModelPrices& models, std::size_t from, double before) const
{
    std::size_t best = from;
    double least = expectedCost(service, models, from, before);
    for (std::size_t n = from + 1; n < models.size(); ++n) {
        const double cost = expectedCost(service, models, n, before);
        // Of two that cost alike the larger one needs fewer attempts.
        if (cost <= least * SAME_COST) {
            best = n;
            least = cost;
        }
    }
    return best;
}

std::size_t ModelLadder::first(const ServiceName& service, const ModelPrices& models) const
{
    if (models.empty() || m_options.alwaysSmallest)
        return 0;
    return m_options.alwaysLargest ? models.size() - 1 : cheapest(service, models, 0, 0);
}

std::optional<std::size_t> ModelLadder::next(
    const ServiceName& service, const ModelPrices& models, std::size_t asked, int confidence, bool inTime) const
{
    const int least = inTime ? m_options.leastConfidence : m_options.leastConfidenceWhenLate;
    if (asked + 1 >= models.size() || confidence >= least || m_options.alwaysSmallest)
        return std::nullopt;
    return cheapest(service, models, asked + 1, acceptedShare(service, models, asked));
}

void ModelLadder::onConfidence(const ServiceName& service, const catalog::ModelName& model, int confidence)
{
    Answers& answers = m_answers[{ service, model }];
    answers.accepted = answers.accepted * KEPT + (confidence >= m_options.leastConfidence ? 1 : 0);
    answers.all = answers.all * KEPT + 1;
}

}
