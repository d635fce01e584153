#pragma once

#include "fireflyhaven/billing/types/bill.h"
#include "fireflyhaven/dispatch/answerassembler.h"
#include "loadboard.h"
#include "runrouter.h"

namespace fireflyhaven::node {

struct RunDeps {
    const IClock& clock;
    telemetry::Metrics& metrics;
    ClusterReplica& replica;
    LoadBoard& board;
    RunRouter& router;
    dispatch::RetryBudget& budget;
    absl::Mutex& budgetMutex;
};

struct AnswerRunOptions {
    // Upstreams that may take the request.
    std::vector<UpstreamId> upstreams;
    std::uint64_t prefixHash = 0;
    routing::PickOptions pick;
    TimePoint startBy {};
    TimePoint answerBy {};
    bool repeatable = true;
    config::Version prices;
};

// Gets one answer of one version or service: picks upstreams, follows the attempts, and retries where that is safe.
class AnswerRun {
public:
    // How the run ended.
    enum class End { Open, Done, NotRun, Unknown };

    AnswerRun(RunDeps deps, dispatch::RunRequest request, AnswerRunOptions options);

    // Waits for the next piece of text; an empty text ends the run.
    std::string next();
    void cancel();

    End end() const { return m_end; }
    // The final event: status and body of a service's answer, or code and message of a failure.
    const dispatch::RunEvent& last() const { return m_last; }
    const std::vector<billing::AttemptCost>& costs() const { return m_costs; }
    std::optional<Duration> firstToken() const { return m_firstToken; }
    const UpstreamId& upstream() const { return m_request.upstream; }

private:
    // False where no upstream is left.
    bool openAttempt();
    // Text to pass on, if the event holds any.
    std::optional<std::string> handle(dispatch::RunEvent event);
    void finishAttempt(dispatch::RunEvent event);
    bool isWholeAnswer(const dispatch::RunEvent& event) const;
    void addCost(std::uint64_t inputTokens, std::uint64_t outputTokens);
    bool mayRetry(dispatch::AttemptEnd end);

    RunDeps m_deps;
    dispatch::RunRequest m_request;
    AnswerRunOptions m_options;
    dispatch::AnswerAssembler m_assembler;
    std::unique_ptr<IRunStream> m_stream;
    std::set<UpstreamId> m_tried;
    std::vector<billing::AttemptCost> m_costs;
    std::uint64_t m_piecesInAttempt = 0;
    TimePoint m_begunAt;
    std::optional<Duration> m_firstToken;
    // An attempt was sent whose answer did not come whole.
    bool m_mayHaveRun = false;
    bool m_cancelled = false;
    int m_attempts = 0;
    End m_end = End::Open;
    dispatch::RunEvent m_last;
};

}
