#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"

#include <map>

namespace fireflyhaven::balancing {

// Whether this host can open connections to upstreams. Attempts without an answer at several upstreams raise the
// suspicion that it cannot, also while they are still open if no upstream has answered meanwhile; then connections are
// opened to several upstreams as probes, and the host counts as cut off if none succeeds. A host that is cut off goes
// on probing until its probes succeed. Does no I/O.
class UpstreamReach {
public:
    // An attempt at the upstream could not connect, or lost its connection.
    void onUnanswered(const UpstreamId& upstream, TimePoint now);
    // An open attempt, sent at `sentAt`, takes longer for its response head than expected.
    void onOverdue(const UpstreamId& upstream, TimePoint sentAt, TimePoint now);
    // Some upstream has sent a response head.
    void onAnswered(TimePoint now) { m_answeredAt = now; }

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
    // Upstreams with an unanswered attempt, and when it ended or was found overdue.
    std::map<UpstreamId, TimePoint> m_unanswered;
    // Default value before the first answer.
    TimePoint m_answeredAt {};
    std::size_t m_openProbes = 0;
    std::size_t m_startedProbes = 0;
    std::size_t m_connectedProbes = 0;
    TimePoint m_probesStartedAt {};
};

}
