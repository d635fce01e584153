#include "fireflyhaven/routing/escalationpolicy.h"

#include <algorithm>

namespace fireflyhaven::routing {

namespace {
// Factor by which the weight of earlier answers decays with each new one.
constexpr double ANSWER_DECAY = 0.995;
// Costs within this factor of each other count as equal.
constexpr double COST_TOLERANCE = 1.001;
}

EscalationPolicy::EscalationPolicy(EscalationOptions options)
    : m_options(options)
{
}

double EscalationPolicy::acceptedShare(const ServiceName& service, const ModelPrices& models, std::size_t model) const
{
    // The answer of the largest model is always accepted, since no larger model can improve it.
    if (model + 1 >= models.size())
        return 1;
    const double prior = static_cast<double>(model + 1) / static_cast<double>(models.size());
    const auto it = m_answers.find({ service, models[model].model });
    const AnswerCounts answers = it == m_answers.end() ? AnswerCounts {} : it->second;
    return (answers.accepted + prior * m_options.priorAnswers) / (answers.total + m_options.priorAnswers);
}

double EscalationPolicy::expectedCost(
    const ServiceName& service, const ModelPrices& models, std::size_t from, double acceptedBefore) const
{
    const double accepted = std::max(acceptedBefore, acceptedShare(service, models, from));
    const double price = models[from].costPerThousandTokens;
    if (accepted >= 1 || from + 1 >= models.size())
        return price;
    const double rejected = (1 - accepted) / (1 - acceptedBefore);
    return price
        + rejected * expectedCost(service, models, cheapestStart(service, models, from + 1, accepted), accepted);
}

std::size_t EscalationPolicy::cheapestStart(
    const ServiceName& service, const ModelPrices& models, std::size_t from, double acceptedBefore) const
{
    std::size_t best = from;
    double lowestCost = expectedCost(service, models, from, acceptedBefore);
    for (std::size_t n = from + 1; n < models.size(); ++n) {
        const double cost = expectedCost(service, models, n, acceptedBefore);
        // At equal cost the larger model needs fewer attempts.
        if (cost <= lowestCost * COST_TOLERANCE) {
            best = n;
            lowestCost = cost;
        }
    }
    return best;
}

std::size_t EscalationPolicy::first(const ServiceName& service, const ModelPrices& models) const
{
    if (models.empty() || m_options.alwaysSmallest)
        return 0;
    return m_options.alwaysLargest ? models.size() - 1 : cheapestStart(service, models, 0, 0);
}

std::optional<std::size_t> EscalationPolicy::next(
    const ServiceName& service, const ModelPrices& models, std::size_t current, int confidence, bool inTime) const
{
    const int requiredConfidence = inTime ? m_options.minConfidence : m_options.minConfidenceWhenLate;
    if (current + 1 >= models.size() || confidence >= requiredConfidence || m_options.alwaysSmallest)
        return std::nullopt;
    return cheapestStart(service, models, current + 1, acceptedShare(service, models, current));
}

void EscalationPolicy::onConfidence(const ServiceName& service, const catalog::ModelName& model, int confidence)
{
    AnswerCounts& answers = m_answers[{ service, model }];
    answers.accepted = answers.accepted * ANSWER_DECAY + (confidence >= m_options.minConfidence ? 1 : 0);
    answers.total = answers.total * ANSWER_DECAY + 1;
}

}
