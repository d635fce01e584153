#pragma once

#include "fireflyhaven/common/clock.h"

#include <cstdint>
#include <deque>

namespace fireflyhaven::rollout {

// Limit on the requests of a service that an unproven version may get until its order ends.
struct ExposureLimit {
    // Share of the service's requests since the order.
    double ratio = 0;
    // Number of requests beyond that share.
    double slack = 0;
};

// Counts the requests of a service since an order, of all hosts as far as known, and tells how many more its new
// version may get. Only answers that were counted raise the limit, so that missing reports lower it. Does no I/O.
class ExposureBudget {
public:
    // Answers of the service, of which `ofTarget` are the new version's.
    void onAnswers(std::uint32_t all, std::uint32_t ofTarget);
    // Takes the count of now into account for the rate. To be called several times a second.
    void sample(TimePoint now);

    // Requests that the new version may still get, where `inFlight` are under way there; negative if the limit is
    // exceeded.
    double remaining(const ExposureLimit& limit, double inFlight) const;
    // Requests of the service per second: the larger one of the mean since the first sample and of the last seconds.
    double rate() const;
    std::uint64_t answered() const { return m_answered; }

private:
    struct Sample {
        TimePoint at {};
        std::uint64_t answered = 0;
    };

    static double rateBetween(const Sample& from, const Sample& to);

    std::uint64_t m_answered = 0;
    std::uint64_t m_ofTarget = 0;
    Sample m_first;
    std::deque<Sample> m_recent;
};

}
