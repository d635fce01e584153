#pragma once

#include "fireflyhaven/catalog/types/configuration.h"

#include <map>
#include <optional>

namespace fireflyhaven::routing {

struct LadderOptions {
    // Confidence, 0 to 100, below which an answer is more likely to be poor than a dearer one costs.
    int leastConfidence = 60;
    // The same where a dearer answer would come too late, or make others late.
    int leastConfidenceWhenLate = 0;
    // Share of answers taken for granted for a model that was not asked yet grows evenly with its size; it counts as
    // this number of answers.
    double priorAnswers = 10;
    // Always the largest or the smallest model; the baselines for measurements.
    bool alwaysLargest = false;
    bool alwaysSmallest = false;
};

// Models that may answer a request, smallest first, with their prices.
using ModelPrices = std::vector<catalog::ModelPrice>;

// Chooses which model to ask first, and whether to ask a larger one after an answer of low confidence, so that the
// expected cost is least. Learns how often each model's answers are confident enough. Does no I/O.
class ModelLadder {
public:
    explicit ModelLadder(LadderOptions options = {});

    // Position of the model to ask first.
    std::size_t first(const ServiceName& service, const ModelPrices& models) const;
    // Position of the model to ask next; no value where the answer is good enough, or no larger model is left.
    std::optional<std::size_t> next(
        const ServiceName& service, const ModelPrices& models, std::size_t asked, int confidence, bool inTime) const;
    void onConfidence(const ServiceName& service, const catalog::ModelName& model, int confidence);

    // Share of the model's answers that were confident enough.
    double acceptedShare(const ServiceName& service, const ModelPrices& models, std::size_t model) const;

private:
    struct Answers {
        double accepted = 0;
        double all = 0;
    };

    // Expected cost of asking from this model on, after models whose answers were accepted with the share given.
    double expectedCost(const ServiceName& service, const ModelPrices& models, std::size_t from, double before) const;
    std::size_t cheapest(const ServiceName& service, const ModelPrices& models, std::size_t from, double before) const;

    const LadderOptions m_options;
    std::map<std::pair<ServiceName, catalog::ModelName>, Answers> m_answers;
};

}
