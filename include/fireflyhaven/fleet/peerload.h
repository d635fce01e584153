#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/fleet/types/hostreport.h"

#include <absl/container/flat_hash_map.h>

namespace fireflyhaven::fleet {

// What the other hosts have under way at one upstream, added up.
struct PeerLoadSum {
    std::uint32_t inFlight = 0;
    std::uint32_t pendingPrefillMs = 0;
};

// Answers of an upstream that other hosts saw since their last report.
struct AnswerCounts {
    ShortHash upstream = 0;
    std::uint32_t good = 0;
    std::uint32_t failed = 0;
};

// Adds up what the other hosts report of their load. A report names only what changed. Does no I/O.
class PeerLoad {
public:
    // Takes in a report; returns the answers that are new in it. `newLife` tells that the host started anew.
    std::vector<AnswerCounts> onReport(const HostReport& report, bool newLife);
    // The host is silent: what it had under way no longer counts.
    void onSilent(const HostId& host);
    PeerLoadSum at(ShortHash upstream) const;

private:
    using Counters = absl::flat_hash_map<ShortHash, UpstreamCounters>;

    void subtract(const UpstreamCounters& counters);

    absl::flat_hash_map<HostId, Counters> m_hosts;
    absl::flat_hash_map<ShortHash, PeerLoadSum> m_sums;
};

// Names an upstream in reports.
ShortHash shortHashOf(const UpstreamId& upstream);

}
