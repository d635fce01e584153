#pragma once

#include "fireflyhaven/common/clock.h"

#include <optional>

namespace fireflyhaven::dispatch {

struct RampOptions {
    int coldLimit = 1;
    int limit = 1;
    // Answers at the cold limit, since the last sign of a cold upstream, before the limit starts to rise.
    int answersUntilWarm = 50;
    // Maximum age of the state that a load report describes.
    Duration maxReportLag { 2000 };
    // Maximum time for which a request of an earlier owner can still be running after a takeover.
    Duration maxRequestDuration { 60'000 };
    // A time to first token above this multiple of the upstream's moving average is a sign of a cold upstream.
    double coldLatencyFactor = 4;
    // Samples in the moving average before it is used to detect a cold upstream.
    int minLatencySamples = 20;
};

struct LoadReport {
    int running = 0;
    // Restarts of the upstream so far; a change is a sign of a cold upstream.
    std::uint64_t restarts = 0;
};

// Limits the requests that the owner of an upstream may have in flight. After a takeover the allowance is 0 until a
// load report shows how many requests of the earlier owner are still running, or until `maxRequestDuration` has passed.
// Then the cold limit applies until enough requests have been answered. After that the limit doubles, up to the
// configured one, each time as many requests as the limit allows have been answered without a failure or a sign of a
// cold upstream (refusal, slow first token, restart). Load reports lag, so they never raise the limit: a restart lowers
// it at once, and otherwise a report only lowers the estimate of requests that the earlier owner left running.
class ConcurrencyRamp {
public:
    enum class Phase { TakingOver, Cold, Warm };

    ConcurrencyRamp(RampOptions options, TimePoint takenOverAt);

    void setLimits(int coldLimit, int limit);
    void onTakeover(TimePoint now);
    void onSent();
    // `firstToken` is the time to first token; absent for answers that are not streamed.
    void onAnswered(std::optional<Duration> firstToken);
    void onFailed();
    // The upstream refused a request because it is cold or saturated.
    void onRefused();
    void onLoadReport(const LoadReport& report, TimePoint now);

    // Number of further requests that may be sent now.
    int allowance(TimePoint now) const;
    int inFlight() const { return m_inFlight; }
    int currentLimit() const { return m_currentLimit; }
    Phase phase(TimePoint now) const;

private:
    void resetToColdLimit();
    int inheritedInFlight(TimePoint now) const;

    RampOptions m_options;
    TimePoint m_takenOverAt;
    int m_inFlight = 0;
    int m_currentLimit;
    int m_answeredInRound = 0;
    int m_answeredSinceCold = 0;
    // Upper bound on the earlier owner's requests still running; absent until a load report describes a state after the
    // takeover.
    std::optional<int> m_inheritedInFlight;
    std::optional<std::uint64_t> m_reportedRestarts;
    double m_meanFirstTokenMs = 0;
    int m_latencySamples = 0;
};

}
