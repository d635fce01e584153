#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/entry/types/flowevent.h"

#include <map>

namespace fireflyhaven::entry {

struct DecisionLogOptions {
    // Lines a second about requests that go well, beyond which they are sampled.
    int routineLinesPerSecond = 40;
};

// Writes one structured line for each step of a request. Refusals and failures are always written; of what goes well
// only so many lines a second. Counts every step.
class DecisionLog final : public IFlowObserver {
public:
    explicit DecisionLog(const IClock& clock, DecisionLogOptions options = {});

    void onFlowEvent(const FlowEvent& event) override;
    std::uint64_t count(FlowStep step) const;

private:
    bool mayWriteRoutine(TimePoint now);

    const IClock& m_clock;
    const DecisionLogOptions m_options;
    std::map<FlowStep, std::uint64_t> m_counts;
    TimePoint m_secondBegan {};
    int m_linesThisSecond = 0;
};

}
