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

// Feeds answers of which the share given is confident.
void teach(ModelLadder& it, const ModelPrices& models, std::size_t model, double share)
{
    for (int n = 0; n < 1000; ++n)
        it.onConfidence(SERVICE, models[model].model, n % 100 < share * 100 ? 90 : 10);
}

// Expected cost of asking the models of the set in order, by brute force over all answers.
double naiveCost(const ModelPrices& models, const std::vector<double>& accepted, const std::vector<std::size_t>& asked)
{
    double cost = 0;
    double reached = 1;
    double best = 0;
    for (const std::size_t n : asked) {
        cost += reached * models[n].costPerThousandTokens;
        best = std::max(best, accepted[n]);
        reached = 1 - best;
    }
    return cost;
}

}

Test(modelladder, asksTheSmallestFirstAndThenTheOneThatIsWorthItsPrice)
{
    const ModelPrices models = prices({ 0.024, 0.18, 0.36 });
    ModelLadder it;
    teach(it, models, 0, 0.45);
    teach(it, models, 1, 0.6);
    cr_assert_eq(it.first(SERVICE, models), 0);
    cr_assert_eq(*it.next(SERVICE, models, 0, 20, true), 2, "the middle one answers too few of the rest for its price");
    cr_assert_not(it.next(SERVICE, models, 0, 80, true).has_value());
    cr_assert_not(it.next(SERVICE, models, 2, 5, true).has_value(), "none is larger");
}

Test(modelladder, agreesWithTryingEverySequence)
{
    std::mt19937_64 random(2);
    const auto unit = [&] { return static_cast<double>(random() % 1000) / 1000; };
    int sequences = 0;
    for (int round = 0; round < 200; ++round) {
        const ModelPrices models = prices({ 0.02 + 0.1 * unit(), 0.1 + 0.2 * unit(), 0.3 + 0.3 * unit() });
        ModelLadder it;
        const double small = unit() * 0.8;
        teach(it, models, 0, small);
        teach(it, models, 1, small + (1 - small) * unit());
        const std::vector<double> accepted { it.acceptedShare(SERVICE, models, 0), it.acceptedShare(SERVICE, models, 1),
            it.acceptedShare(SERVICE, models, 2) };
        double least = 1e9;
        std::size_t first = 0;
        for (const std::vector<std::size_t>& asked :
            std::vector<std::vector<std::size_t>> { { 0, 1, 2 }, { 0, 2 }, { 1, 2 }, { 2 } }) {
            const double cost = naiveCost(models, accepted, asked);
            if (cost < least - 1e-12) {
                least = cost;
                first = asked.front();
            }
            ++sequences;
        }
        cr_assert_eq(it.first(SERVICE, models), first, "round %d", round);
    }
    cr_assert_eq(sequences, 800);
}

Test(modelladder, takesALessConfidentAnswerWhereABetterOneWouldBeLate)
{
    const ModelPrices models = prices({ 0.024, 0.36 });
    const ModelLadder it({ .leastConfidenceWhenLate = 40 });
    cr_assert(it.next(SERVICE, models, 0, 50, true).has_value());
    cr_assert_not(it.next(SERVICE, models, 0, 50, false).has_value());
    cr_assert(it.next(SERVICE, models, 0, 20, false).has_value());
}

Test(modelladder, oneModelOrNoneIsAskedAsItIs)
{
    const ModelLadder it;
    cr_assert_eq(it.first(SERVICE, {}), 0);
    cr_assert_not(it.next(SERVICE, prices({ 1 }), 0, 0, true).has_value());
}

Test(modelladder, aSmallModelThatIsNeverGoodEnoughIsSkipped)
{
    const ModelPrices models = prices({ 0.2, 0.36 });
    ModelLadder it;
    teach(it, models, 0, 0.1);
    cr_assert_eq(it.first(SERVICE, models), 1);
}
