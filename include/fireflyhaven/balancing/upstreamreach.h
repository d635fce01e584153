#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"

#include <map>

namespace fireflyhaven::balancing {

// Whether this host can open connections to upstreams. Attempts without an answer at several upstreams raise the
// suspicion that it cannot; then connections are opened to several upstreams as probes, and the host counts as cut off
// if none succeeds. A host that is cut off goes on probing until its probes succeed. Does no I/O.
class UpstreamReach {
public:
    // An attempt at the upstream could not connect, or lost its connection.
    void onUnanswered(const UpstreamId& upstream, TimePoint now);

    // Number of upstreams to probe now, each a different one; 0 if no probe is due.
    std::size_t probesDue(TimePoint now);
    // That many probes were started. Each ends with a call of `onProbeEnded`.
    void onProbesStarted(std::size_t n, TimePoint now);
    // Returns true if that changes whether the host is cut off.
    bool onProbeEnded(bool connected, TimePoint now);

    bool isCutOff() const { return m_cutOff; }

private:
    bool hasSuspicion(TimePoint now);

    bool m_cutOff = false;
    // Upstreams with an unanswered attempt, and when it ended.
    std::map<UpstreamId, TimePoint> m_unanswered;
    std::size_t m_openProbes = 0;
    std::size_t m_startedProbes = 0;
    std::size_t m_connectedProbes = 0;
    TimePoint m_probesStartedAt {};
};

}
