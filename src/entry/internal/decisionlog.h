#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/entry/types/flowevent.h"
#include "fireflyhaven/telemetry/metrics.h"

#include <absl/container/flat_hash_set.h>

namespace fireflyhaven::entry {

struct DecisionLogOptions {
    // Log lines for routine steps beyond this number in a second are dropped and counted.
    int maxRoutineLinesPerSecond = 40;
};

// Writes a structured log line for each step of a request and updates the metrics. Refusals and failures are always
// logged; lines of routine steps are limited per second.
class DecisionLog final : public IFlowObserver {
public:
    DecisionLog(const IClock& clock, telemetry::Metrics& metrics, DecisionLogOptions options = {});

    void onFlowEvent(const FlowEvent& event) override;

private:
    void recordMetrics(const FlowEvent& event);
    bool acquireRoutineLine(TimePoint now);
    // Whether this is the first unreadable load report of its upstream, as far as remembered.
    bool isFirstUnreadableLoad(const FlowEvent& event);

    const IClock& m_clock;
    telemetry::Metrics& m_metrics;
    const DecisionLogOptions m_options;
    TimePoint m_windowStart {};
    int m_linesInWindow = 0;
    // Upstreams whose unreadable load reports have been logged.
    absl::flat_hash_set<UpstreamId> m_unreadableLoadsLogged;
};

}
