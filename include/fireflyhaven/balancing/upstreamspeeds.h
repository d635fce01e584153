#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/fleet/types/hostreport.h"

#include <absl/container/flat_hash_map.h>

#include <vector>

namespace fireflyhaven::balancing {

struct UpstreamSpeedOptions {
    // Number of the newest reported work times of an upstream that its lasting work time is taken from.
    std::size_t samples = 5;
    // What an upstream says of the moment is forgotten with this half-life.
    Duration passingHalfLife { 150 };
    // A lasting work time that no host has measured again for this long is forgotten.
    Duration lifetime { 30'000 };
    // Number of an upstream's own reports from which those of other hosts no longer count.
    std::size_t ownSamplesRequired = 3;
};

// How long work takes at each upstream, as a multiple of the usual time of its service. A lasting part follows from
// what the upstreams report over several answers, to this host or to others; a passing part from the newest report
// while it is fresh; and a part from the ratios of observed to expected times, which corrects reports that are missing
// or wrong. Does no I/O.
class UpstreamSpeeds {
public:
    explicit UpstreamSpeeds(UpstreamSpeedOptions options = {});

    // An upstream has reported its work time at the moment, as a multiple of the usual time.
    void onReported(const UpstreamId& upstream, double workTimeFactor, TimePoint now);
    // A first token arrived after `ratio` times the time that was expected by the reports and the deviation.
    void onObserved(const UpstreamId& upstream, double ratio, TimePoint now);
    // Another host has measured this lasting work time `age` ago.
    void onPeerMeasured(fleet::ShortHash upstream, double workTimeFactor, Duration age, TimePoint now);

    // Lasting work time; 1 where nothing is known.
    double lasting(const UpstreamId& upstream, TimePoint now) const;
    // Work time as far as the upstream reports it: the lasting one and the present deviation from it.
    double reported(const UpstreamId& upstream, TimePoint now) const;
    // Ratio of observed times to those that follow from the reports; 1 at an upstream that keeps to them.
    double deviation(const UpstreamId& upstream, TimePoint now) const;
    // Expected work time: all parts together.
    double factor(const UpstreamId& upstream, TimePoint now) const
    {
        return reported(upstream, now) * deviation(upstream, now);
    }
    // Whether the upstream, or another host of it, has reported a work time.
    bool isKnown(const UpstreamId& upstream, TimePoint now) const;

    // Lasting work times that this host has measured or learnt from others, for its reports. Lists at most `limit`, in
    // turn.
    std::vector<fleet::UpstreamSpeed> report(std::size_t limit, TimePoint now);
    // Forgets an upstream that is gone or has restarted. Measurements of before do not count any more.
    void removeUpstream(const UpstreamId& upstream, TimePoint now);

private:
    struct State {
        // Newest reported work times, oldest first.
        std::vector<double> reported;
        TimePoint reportedAt {};
        double deviation = 1;
        TimePoint deviationAt {};
    };
    struct PeerMeasurement {
        double factor = 1;
        TimePoint measuredAt {};
    };

    const PeerMeasurement* peerMeasurement(fleet::ShortHash upstream, TimePoint now) const;

    const UpstreamSpeedOptions m_options;
    absl::flat_hash_map<UpstreamId, State> m_states;
    absl::flat_hash_map<fleet::ShortHash, PeerMeasurement> m_peers;
    // Measurements of an upstream count only if they are newer than this.
    absl::flat_hash_map<fleet::ShortHash, TimePoint> m_removedAt;
    // Number of lasting work times listed so far.
    std::size_t m_listed = 0;
};

}
