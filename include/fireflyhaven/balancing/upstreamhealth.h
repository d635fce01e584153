#pragma once

#include "fireflyhaven/common/clock.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::balancing {

// Event counter with exponential decay: the weight of an event halves in each half-life.
class DecayingCounter {
public:
    explicit DecayingCounter(Duration halfLife)
        : m_halfLife(halfLife)
    {
    }

    void add(double n, TimePoint now)
    {
        m_value = at(now) + n;
        m_updatedAt = now;
    }
    double at(TimePoint now) const
    {
        const double halfLives
            = static_cast<double>((now - m_updatedAt).count()) / static_cast<double>(m_halfLife.count());
        return m_value * std::exp2(-std::max(0.0, halfLives));
    }
    void reset() { m_value = 0; }

private:
    Duration m_halfLife;
    double m_value = 0;
    TimePoint m_updatedAt {};
};

struct HealthOptions {
    Duration halfLife { 4000 };
    // Decayed number of failures below which an upstream is not ejected.
    double minFailures = 2;
    // Failure ratio from which an upstream is ejected.
    double maxFailureRatio = 0.3;
    // An upstream is ejected only if its failure ratio is at least this multiple of the failure ratio of its service.
    double serviceRatioFactor = 3;
    // Duration of the first ejection; it doubles with each further one, up to the maximum, until a probe phase passes.
    Duration initialEjection { 1000 };
    Duration maxEjection { 8000 };
    // Successful answers after an ejection that end the probe phase.
    int requiredProbeSuccesses = 2;
};

// Failure ratio of the answers of all upstreams of a service.
struct ServiceHealth {
    DecayingCounter successes { Duration(10'000) };
    DecayingCounter failures { Duration(10'000) };

    double failureRatio(TimePoint now) const
    {
        // Assumed successes, so that the first failure alone does not make the ratio 1.
        constexpr double PRIOR_SUCCESSES = 5;
        return failures.at(now) / (successes.at(now) + failures.at(now) + PRIOR_SUCCESSES);
    }
};

// Circuit breaker of one upstream: ejects it for a while when too many of its answers fail, then probes it with single
// requests. Does no I/O.
class UpstreamHealth {
public:
    explicit UpstreamHealth(HealthOptions options = {});

    void onAnswers(double successes, double failures, const ServiceHealth& service, TimePoint now);
    // No connection was established: the upstream is ejected at once.
    void onUnreachable(TimePoint now);
    // Ends an ejection; what led to it was no fault of the upstream.
    void forgetFailures();
    // Counts requests in flight, since a probe waits until none is.
    void onSent() { ++m_inFlight; }
    void onEnded() { m_inFlight = std::max(0, m_inFlight - 1); }

    bool isHealthy() const { return m_ejectedUntil == TimePoint {}; }
    // Whether new requests may go to it.
    bool isUsable(TimePoint now) const;
    // Whether an ejection has elapsed and probes have not yet succeeded.
    bool isProbing(TimePoint now) const { return m_ejectedUntil != TimePoint {} && now >= m_ejectedUntil; }

private:
    void eject(TimePoint now);

    HealthOptions m_options;
    DecayingCounter m_successes;
    DecayingCounter m_failures;
    // Zero while the upstream is healthy.
    TimePoint m_ejectedUntil {};
    Duration m_nextEjection;
    int m_probeSuccesses = 0;
    int m_inFlight = 0;
};

}
