#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"
#include "fireflyhaven/common/types/requestrate.h"
#include "fireflyhaven/fleet/types/limitmessages.h"
#include "fireflyhaven/ratelimit/types/permit.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

// Request limits that upstreams name in their answers. A limit is the rate that an upstream accepts from all hosts
// together.
namespace fireflyhaven::ratelimit {

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

// Limits of the upstreams as this host knows them, from its own answers and from the notices of other hosts; the newest
// answer counts. Does no I/O.
class LimitTable {
public:
    LimitChange onAnswer(const LimitAnswer& answer, TimePoint now);
    // Takes what another host has learned. `source` is never `ThisHost`.
    LimitChange onNotice(const fleet::UpstreamLimit& notice, fleet::NoticeSource source, TimePoint now);
    // What to tell other hosts, within a scope that says how far it has come already.
    std::vector<fleet::UpstreamLimit> notices(fleet::NoticeScope scope, TimePoint now) const;
    // No value where the upstream has no limit.
    std::optional<RequestRate> limitOf(const UpstreamIncarnation& upstream) const;
    // When the newest answer that told the present state of the upstream's limit arrived; no value where nothing is
    // known of it.
    std::optional<TimePoint> answeredAt(const UpstreamIncarnation& upstream) const;
    // Whether no limit is known, nor the end of one.
    bool empty() const { return m_entries.empty(); }
    std::size_t limitedUpstreams() const;
    // Drops entries that were not renewed within the retention period.
    void expire(TimePoint now);

private:
    struct Entry {
        std::int64_t startedAtMs = 0;
        // No value once the limit has ended.
        std::optional<RequestRate> limit;
        fleet::NoticeSource source = fleet::NoticeSource::ThisHost;
        // When this host learned the present value.
        TimePoint learnedAt {};
        // When the newest answer with the present value arrived, at whichever host.
        TimePoint answeredAt {};
    };

    const Entry* find(const UpstreamIncarnation& upstream) const;

    absl::flat_hash_map<fleet::ShortHash, Entry> m_entries;
};

}
