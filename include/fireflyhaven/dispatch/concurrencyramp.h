#pragma once

#include "fireflyhaven/common/clock.h"

#include <optional>

namespace fireflyhaven::dispatch {

struct RampOptions {
    int coldLimit = 1;
    int limit = 1;
    // Answers at the cold limit after which an upstream is taken for warm.
    int warmAnswers = 50;
    // Load reports describe a state at most this old.
    Duration reportLag { 2000 };
    // Longest that a request of an earlier owner can still be running.
    Duration longestRequest { 60'000 };
    // First-token time, relative to the upstream's own history, that is a sign of a cold upstream.
    double coldSlowdown = 4;
    int historyNeeded = 20;
};

struct LoadReport {
    int running = 0;
    // Counts the restarts of the upstream; a rise is a sign of a cold upstream.
    std::uint64_t restarts = 0;
};

// Decides how many requests the owner of an upstream may have in flight: after a takeover none, until a load report
// shows what the earlier owner left running; then the cold limit, until enough answers show it warm; then twice as many
// each time a full round of requests has been answered without a sign of cold, up to the limit. Late reports may lower
// the allowance at once and never raise it.
class ConcurrencyRamp {
public:
    enum class Phase { TakingOver, Cold, Warm };

    ConcurrencyRamp(RampOptions options, TimePoint takenOverAt);

    void setLimits(int coldLimit, int limit);
    void onTakeover(TimePoint now);
    void onSent();
    // `firstToken` is absent for answers without one.
    void onAnswered(std::optional<Duration> firstToken);
    void onFailed();
    // The upstream refused a request because it is cold or full.
    void onRefused();
    void onLoadReport(const LoadReport& report, TimePoint now);

    // How many more requests may be sent now.
    int allowance(TimePoint now) const;
    int inFlight() const { return m_inFlight; }
    int currentLimit() const { return m_currentLimit; }
    Phase phase(TimePoint now) const;

private:
    void becomeCold();
    int inherited(TimePoint now) const;

    RampOptions m_options;
    TimePoint m_takenOverAt;
    int m_inFlight = 0;
    int m_currentLimit;
    int m_answeredInRound = 0;
    int m_answeredSinceCold = 0;
    // Requests of an earlier owner that may still be running; absent until a report has told.
    std::optional<int> m_inherited;
    std::optional<std::uint64_t> m_restarts;
    double m_usualFirstTokenMs = 0;
    int m_history = 0;
};

}
