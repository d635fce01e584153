#pragma once

#include "fireflyhaven/common/clock.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::balancing {

// Count in which earlier events fade by half in each half-life.
class FadingCount {
public:
    explicit FadingCount(Duration halfLife)
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
        const double halves
            = static_cast<double>((now - m_updatedAt).count()) / static_cast<double>(m_halfLife.count());
        return m_value * std::exp2(-std::max(0.0, halves));
    }
    void reset() { m_value = 0; }

private:
    Duration m_halfLife;
    double m_value = 0;
    TimePoint m_updatedAt {};
};

struct HealthOptions {
    Duration halfLife { 4000 };
    // Failures, after fading, below which an upstream is not left.
    double leastFailures = 2;
    // Share of failures above which an upstream is left.
    double failureShare = 0.3;
    // How far above its service's share of failures an upstream has to be.
    double serviceFactor = 3;
    // How long an upstream is left; doubles each time until it answers well again.
    Duration firstPause { 1000 };
    Duration longestPause { 8000 };
    // Good answers after a pause that end the probation.
    int probationAnswers = 2;
};

// Share of failures among answers, over all upstreams of a service.
struct ServiceHealth {
    FadingCount good { Duration(10'000) };
    FadingCount failed { Duration(10'000) };

    double failureShare(TimePoint now) const
    {
        // A few good answers are taken for granted, so that the first failure isn't everything.
        constexpr double PRIOR = 5;
        return failed.at(now) / (good.at(now) + failed.at(now) + PRIOR);
    }
};

// Decides from the answers of one upstream whether it is to be left alone for a while, and tries it again by single
// requests. Does no I/O.
class UpstreamHealth {
public:
    explicit UpstreamHealth(HealthOptions options = {});

    void onAnswers(double good, double failed, const ServiceHealth& service, TimePoint now);
    // No connection came about: the upstream is left at once.
    void onUnreachable(TimePoint now);
    // A request is sent; counts while the upstream is on probation.
    void onSent() { ++m_open; }
    void onEnded() { m_open = std::max(0, m_open - 1); }

    // Whether new requests may go to it.
    bool isUsable(TimePoint now) const;
    bool isOnProbation(TimePoint now) const { return m_leftUntil != TimePoint {} && now >= m_leftUntil; }

private:
    void leave(TimePoint now);

    HealthOptions m_options;
    FadingCount m_good;
    FadingCount m_failed;
    // Zero while the upstream is in good health.
    TimePoint m_leftUntil {};
    Duration m_pause;
    int m_goodInProbation = 0;
    int m_open = 0;
};

}
