#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/entry/types/flowevent.h"
#include "fireflyhaven/telemetry/metrics.h"

namespace fireflyhaven::entry {

struct DecisionLogOptions {
    // Lines a second about requests that go well, beyond which they are sampled.
    int routineLinesPerSecond = 40;
};

// Writes one structured line for each step of a request, and counts the steps. Refusals and failures are always
// written; of what goes well only so many lines a second.
class DecisionLog final : public IFlowObserver {
public:
    DecisionLog(const IClock& clock, telemetry::Metrics& metrics, DecisionLogOptions options = {});

    void onFlowEvent(const FlowEvent& event) override;

private:
    void measure(const FlowEvent& event);
    bool mayWriteRoutine(TimePoint now);

    const IClock& m_clock;
    telemetry::Metrics& m_metrics;
    const DecisionLogOptions m_options;
    TimePoint m_secondBegan {};
    int m_linesThisSecond = 0;
};

}
