#pragma once

#include "fireflyhaven/common/clock.h"

#include <cstdint>

namespace fireflyhaven::balancing {

struct ColdPacerOptions {
    // Fraction of the upstream's cold-start rate that all hosts together use.
    double targetUtilisation = 0.7;
};

// Spaces the requests of this host to one upstream in cold start, so that all hosts together stay below the rate that
// the upstream tolerates. Needs no communication: each host takes an equal share of the rate, at a random phase of its
// own. Does no I/O.
class ColdPacer {
public:
    // `seed` differs between hosts.
    explicit ColdPacer(std::uint64_t seed, ColdPacerOptions options = {});

    // `ratePerSecond` is the number of requests per second that the upstream tolerates; there is no limit where it is
    // 0. `hostCount` is the number of hosts that may be sending to it.
    bool maySend(double ratePerSecond, int hostCount, TimePoint now);
    void onSent(double ratePerSecond, int hostCount, TimePoint now);

private:
    Duration interval(double ratePerSecond, int hostCount) const;
    // Next pseudo-random number in [0, 1).
    double nextRandom();

    const ColdPacerOptions m_options;
    std::uint64_t m_randomState;
    // Zero before the first call of `maySend`.
    TimePoint m_nextSendAt {};
};

}
