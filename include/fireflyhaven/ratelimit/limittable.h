#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"
#include "fireflyhaven/common/types/requestrate.h"
#include "fireflyhaven/fleet/peerload.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

// Request limits that upstreams name in their answers. A limit is the rate that an upstream accepts from all hosts
// together.
namespace fireflyhaven::ratelimit {

// One incarnation of an upstream, identified by its start time.
struct UpstreamIncarnation {
    fleet::ShortHash upstream = 0;
    // Unix milliseconds.
    std::int64_t startedAtMs = 0;

    friend bool operator==(const UpstreamIncarnation&, const UpstreamIncarnation&) = default;
};

UpstreamIncarnation incarnationOf(const UpstreamId& upstream, std::int64_t startedAtMs);

// What one answer of an upstream says of its limit.
struct LimitAnswer {
    UpstreamIncarnation upstream;
    // No value where the answer names no limit.
    std::optional<RequestRate> limit;
    // When the request was sent that the answer belongs to.
    TimePoint sentAt {};
};

enum class LimitChange {
    None,
    // The upstream names a limit for the first time, or another one than before.
    Named,
    // The upstream no longer names its limit.
    Ended,
};

// Limits of the upstreams as this host knows them. Does no I/O.
class LimitTable {
public:
    LimitChange onAnswer(const LimitAnswer& answer, TimePoint now);
    // No value where the upstream has no limit.
    std::optional<RequestRate> limitOf(const UpstreamIncarnation& upstream) const;
    std::size_t limitedUpstreams() const;
    // Drops entries that were not renewed within the retention period.
    void expire(TimePoint now);

private:
    struct Entry {
        std::int64_t startedAtMs = 0;
        // No value once the limit has ended.
        std::optional<RequestRate> limit;
        // When this host learned the present value.
        TimePoint learnedAt {};
        TimePoint renewedAt {};
    };

    absl::flat_hash_map<fleet::ShortHash, Entry> m_entries;
};

}
