#pragma once

#include "fireflyhaven/ratelimit/types/permit.h"

#include <absl/container/flat_hash_map.h>

#include <functional>

namespace fireflyhaven::ratelimit {

struct PermitIssuerOptions {
    // After a change of the issuers, an issuer gives no permits of upstreams that are new to it for this long, because
    // another host may have given some just before.
    Duration settlingTime { 1000 };
    // Unused permits of this time may be used at once.
    Duration maxBurst { 1000 };
    // An upstream that accepts nothing still gets this much, which shows whether its limit has ended.
    RequestRate minRate { 0.2 };
};

// Issues the permits of limited upstreams for all hosts, in the order in which they are asked for, so that all hosts
// together stay within the limits. A generic cell rate algorithm for each upstream. Does no I/O.
class PermitIssuer {
public:
    explicit PermitIssuer(PermitIssuerOptions options = {});

    PermitDecision decide(const PermitTerms& terms, TimePoint now);
    // The hosts that issue permits have changed. Called at the start of the process, too.
    void onIssuersChanged(TimePoint now) { m_issuersChangedAt = now; }
    // Forgets the upstreams whose permits this host no longer issues.
    void retainIf(const std::function<bool(fleet::ShortHash)>& isIssuer);
    std::size_t size() const { return m_schedules.size(); }

private:
    // Time in the issuer's schedules, finer than `TimePoint`, since permits may be less than a millisecond apart.
    using Milliseconds = std::chrono::duration<double, std::milli>;
    using ScheduleTime = std::chrono::time_point<std::chrono::steady_clock, Milliseconds>;

    struct Schedule {
        std::int64_t startedAtMs = 0;
        // When the next permit becomes valid.
        ScheduleTime nextPermitAt {};
        // When the next of the callers that were refused may be served.
        ScheduleTime nextReturnAt {};
    };

    Schedule& scheduleOf(const UpstreamIncarnation& upstream, TimePoint now);

    const PermitIssuerOptions m_options;
    TimePoint m_issuersChangedAt {};
    absl::flat_hash_map<fleet::ShortHash, Schedule> m_schedules;
};

}
