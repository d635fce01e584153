#pragma once

#include "fireflyhaven/catalog/types/configuration.h"

#include <map>
#include <optional>

namespace fireflyhaven::routing {

struct EscalationOptions {
    // Confidence, 0 to 100, below which an answer is escalated, since the risk of a poor answer then outweighs the
    // price of a larger model.
    int minConfidence = 60;
    // Threshold in place of `minConfidence` where a larger model would answer too late or delay other requests.
    int minConfidenceWhenLate = 0;
    // Weight of the prior of each model's accepted share, as a number of answers. The prior grows linearly with the
    // model's position in the list, smallest model first.
    double priorAnswers = 10;
    // Always use the largest or the smallest model. These are baselines for measurements.
    bool alwaysLargest = false;
    bool alwaysSmallest = false;
};

// Models that may serve a request, with their prices, smallest model first.
using ModelPrices = std::vector<catalog::ModelPrice>;

// Chooses the model to try first, and whether to escalate to a larger one after an answer of low confidence, so as to
// minimise the expected cost. Learns from the reported confidences how often each model's answers are accepted. Does no
// I/O.
class EscalationPolicy {
public:
    explicit EscalationPolicy(EscalationOptions options = {});

    // Position of the model to try first.
    std::size_t first(const ServiceName& service, const ModelPrices& models) const;
    // Position of the model to escalate to after `current`; no value where the confidence suffices or no larger model
    // is left. `inTime` is set where a larger model can still meet the deadline and delays no other requests.
    std::optional<std::size_t> next(
        const ServiceName& service, const ModelPrices& models, std::size_t current, int confidence, bool inTime) const;
    void onConfidence(const ServiceName& service, const catalog::ModelName& model, int confidence);

    // Estimated share of the model's answers that reach the minimum confidence.
    double acceptedShare(const ServiceName& service, const ModelPrices& models, std::size_t model) const;

private:
    struct AnswerCounts {
        double accepted = 0;
        double total = 0;
    };

    // Expected cost of trying the model `from` and escalating from there, after smaller models whose answers have the
    // accepted share `acceptedBefore`.
    double expectedCost(
        const ServiceName& service, const ModelPrices& models, std::size_t from, double acceptedBefore) const;
    // Position, at `from` or above, with the lowest expected cost.
    std::size_t cheapestStart(
        const ServiceName& service, const ModelPrices& models, std::size_t from, double acceptedBefore) const;

    const EscalationOptions m_options;
    std::map<std::pair<ServiceName, catalog::ModelName>, AnswerCounts> m_answers;
};

}
