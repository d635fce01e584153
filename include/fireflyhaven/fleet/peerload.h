#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/fleet/types/hostreport.h"

#include <absl/container/flat_hash_map.h>

namespace fireflyhaven::fleet {

// In-flight work of all other hosts at one upstream.
struct PeerLoadSum {
    std::uint32_t inFlight = 0;
    std::uint32_t pendingPrefillMs = 0;
};

// Answers of an upstream that another host received between two of its reports.
struct AnswerCounts {
    ShortHash upstream = 0;
    std::uint32_t good = 0;
    std::uint32_t failed = 0;
};

// Sums up the load that the other hosts report for each upstream. A report lists only the upstreams whose counters
// changed. Does no I/O.
class PeerLoad {
public:
    // Applies a report and returns the answers that were counted since the host's previous one. `newIncarnation`
    // discards the host's earlier counters.
    std::vector<AnswerCounts> onReport(const HostReport& report, bool newIncarnation);
    // Removes the host's in-flight work from the sums.
    void onSilent(const HostId& host);
    PeerLoadSum at(ShortHash upstream) const;

private:
    using Counters = absl::flat_hash_map<ShortHash, UpstreamCounters>;

    void subtract(const UpstreamCounters& counters);

    absl::flat_hash_map<HostId, Counters> m_hosts;
    absl::flat_hash_map<ShortHash, PeerLoadSum> m_sums;
};

// Hash that identifies an upstream in reports.
ShortHash shortHashOf(const UpstreamId& upstream);

}
