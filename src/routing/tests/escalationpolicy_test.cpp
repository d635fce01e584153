#include "fireflyhaven/routing/escalationpolicy.h"

#include <random>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::routing;
using catalog::ModelName;

namespace {

const ServiceName SERVICE("s");

ModelPrices prices(const std::vector<double>& costs)
{
    ModelPrices models;
    for (const double cost : costs) {
        models.push_back({ .model = ModelName("m" + std::to_string(models.size())), .costPerThousandTokens = cost });
    }
    return models;
}

// Records 1,000 answers, of which the given share has high confidence.
void recordAnswers(EscalationPolicy& it, const ModelPrices& models, std::size_t model, double share)
{
    for (int n = 0; n < 1000; ++n)
        it.onConfidence(SERVICE, models[model].model, n % 100 < share * 100 ? 90 : 10);
}

// Expected cost of trying the models of the sequence in order, independent of the implementation under test.
double referenceCost(
    const ModelPrices& models, const std::vector<double>& accepted, const std::vector<std::size_t>& sequence)
{
    double cost = 0;
    double reachProbability = 1;
    double best = 0;
    for (const std::size_t n : sequence) {
        cost += reachProbability * models[n].costPerThousandTokens;
        best = std::max(best, accepted[n]);
        reachProbability = 1 - best;
    }
    return cost;
}

}

Test(escalationpolicy, startsWithSmallestAndSkipsModelNotWorthItsPrice)
{
    const ModelPrices models = prices({ 0.024, 0.18, 0.36 });
    EscalationPolicy it;
    recordAnswers(it, models, 0, 0.45);
    recordAnswers(it, models, 1, 0.6);
    cr_assert_eq(it.first(SERVICE, models), 0);
    cr_assert_eq(*it.next(SERVICE, models, 0, 20, true), 2,
        "the middle model accepts too few of the remaining requests for its price");
    cr_assert_not(it.next(SERVICE, models, 0, 80, true).has_value());
    cr_assert_not(it.next(SERVICE, models, 2, 5, true).has_value(), "there is no larger model");
}

Test(escalationpolicy, matchesExhaustiveSearch)
{
    std::mt19937_64 random(2);
    const auto randomUnit = [&] { return static_cast<double>(random() % 1000) / 1000; };
    int sequences = 0;
    for (int round = 0; round < 200; ++round) {
        const ModelPrices models
            = prices({ 0.02 + 0.1 * randomUnit(), 0.1 + 0.2 * randomUnit(), 0.3 + 0.3 * randomUnit() });
        EscalationPolicy it;
        const double small = randomUnit() * 0.8;
        recordAnswers(it, models, 0, small);
        recordAnswers(it, models, 1, small + (1 - small) * randomUnit());
        const std::vector<double> accepted { it.acceptedShare(SERVICE, models, 0), it.acceptedShare(SERVICE, models, 1),
            it.acceptedShare(SERVICE, models, 2) };
        double lowestCost = 1e9;
        std::size_t first = 0;
        for (const std::vector<std::size_t>& sequence :
            std::vector<std::vector<std::size_t>> { { 0, 1, 2 }, { 0, 2 }, { 1, 2 }, { 2 } }) {
            const double cost = referenceCost(models, accepted, sequence);
            if (cost < lowestCost - 1e-12) {
                lowestCost = cost;
                first = sequence.front();
            }
            ++sequences;
        }
        cr_assert_eq(it.first(SERVICE, models), first, "round %d", round);
    }
    cr_assert_eq(sequences, 800);
}

Test(escalationpolicy, acceptsLowerConfidenceWhenLate)
{
    const ModelPrices models = prices({ 0.024, 0.36 });
    const EscalationPolicy it({ .minConfidenceWhenLate = 40 });
    cr_assert(it.next(SERVICE, models, 0, 50, true).has_value());
    cr_assert_not(it.next(SERVICE, models, 0, 50, false).has_value());
    cr_assert(it.next(SERVICE, models, 0, 20, false).has_value());
}

Test(escalationpolicy, singleModelOrNoneNeverEscalates)
{
    const EscalationPolicy it;
    cr_assert_eq(it.first(SERVICE, {}), 0);
    cr_assert_not(it.next(SERVICE, prices({ 1 }), 0, 0, true).has_value());
}

Test(escalationpolicy, smallModelWithFewAcceptedAnswersIsSkipped)
{
    const ModelPrices models = prices({ 0.2, 0.36 });
    EscalationPolicy it;
    recordAnswers(it, models, 0, 0.1);
    cr_assert_eq(it.first(SERVICE, models), 1);
}
