#pragma once

#include "fireflyhaven/billing/types/bill.h"
#include "fireflyhaven/dispatch/answerassembler.h"
#include "loadtracker.h"
#include "runrouter.h"

namespace fireflyhaven::node {

// Services that a run uses. All of them outlive the run.
struct RunDependencies {
    const IClock& clock;
    telemetry::Metrics& metrics;
    ClusterReplica& replica;
    LoadTracker& loadTracker;
    RunRouter& router;
    dispatch::RetryBudget& retryBudget;
    absl::Mutex& retryBudgetMutex;
};

struct AnswerRunOptions {
    // Upstreams that the request may be sent to.
    std::vector<UpstreamId> upstreams;
    std::uint64_t prefixHash = 0;
    routing::PickOptions pick;
    TimePoint startBy {};
    TimePoint answerBy {};
    bool repeatable = true;
    config::Version pricedVersion;
};

// Runs one request at one model version or service: picks an upstream for each attempt, passes on its events, and
// retries where that is safe.
class AnswerRun {
public:
    // How the run ended. NotRun: certainly not run at any upstream. Unknown: an upstream may have run it.
    enum class End { Open, Done, NotRun, Unknown };

    AnswerRun(RunDependencies dependencies, dispatch::RunRequest request, AnswerRunOptions options);

    // Waits for the next piece of text. An empty text means that the run has ended.
    std::string next();
    void cancel();

    End end() const { return m_end; }
    // Last event of the run: status and body of a service's answer, or code and message of a failure.
    const dispatch::RunEvent& finalEvent() const { return m_finalEvent; }
    const std::vector<billing::AttemptCost>& costs() const { return m_costs; }
    std::optional<Duration> firstToken() const { return m_firstToken; }
    const UpstreamId& upstream() const { return m_request.upstream; }

private:
    // Returns false if no upstream is in service for the request.
    bool startAttempt();
    // Returns the text to pass on to the caller, if the event has any.
    std::optional<std::string> handleEvent(dispatch::RunEvent event);
    void finishAttempt(dispatch::RunEvent event);
    bool isCompleteAnswer(const dispatch::RunEvent& event) const;
    void addCost(std::uint64_t inputTokens, std::uint64_t outputTokens);
    bool mayRetry(dispatch::AttemptEnd end);

    RunDependencies m_dependencies;
    dispatch::RunRequest m_request;
    AnswerRunOptions m_options;
    dispatch::AnswerAssembler m_assembler;
    std::unique_ptr<IRunStream> m_stream;
    std::set<UpstreamId> m_triedUpstreams;
    std::vector<billing::AttemptCost> m_costs;
    std::uint64_t m_piecesInAttempt = 0;
    TimePoint m_startedAt;
    std::optional<Duration> m_firstToken;
    // At least one attempt was sent to an upstream and may have been run there.
    bool m_mayHaveRun = false;
    bool m_cancelled = false;
    int m_attempts = 0;
    End m_end = End::Open;
    dispatch::RunEvent m_finalEvent;
};

}
