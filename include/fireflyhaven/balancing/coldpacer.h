#pragma once

#include "fireflyhaven/common/clock.h"

#include <cstdint>

namespace fireflyhaven::balancing {

struct ColdPacerOptions {
    // Part of what the upstream bears that all hosts together use.
    double usedShare = 0.7;
};

// Spaces this host's sends to one upstream in cold start, so that all hosts together stay under what it bears, in
// touch with each other or not: each takes an equal share of the rate, at a phase of its own. Does no I/O.
class ColdPacer {
public:
    // `seed` differs between hosts.
    explicit ColdPacer(std::uint64_t seed, ColdPacerOptions options = {});

    // `perSecond` is what the upstream bears, `hosts` the number of hosts that may be sending to it.
    bool maySend(double perSecond, int hosts, TimePoint now);
    void onSent(double perSecond, int hosts, TimePoint now);

private:
    Duration interval(double perSecond, int hosts) const;
    // The next value in [0, 1).
    double random();

    const ColdPacerOptions m_options;
    std::uint64_t m_random;
    // Zero before the first question.
    TimePoint m_nextAt {};
};

}
