#pragma once

#include "fireflyhaven/balancing/types/upstreamrequirements.h"

#include <optional>
#include <vector>

namespace fireflyhaven::entry {

using AttemptId = StrongId<struct CallerAttemptTag>;
// What a caller's request says of itself.
struct CallerRequest {
    // Identifies one attempt of the caller; empty where it sent none.
    AttemptId attempt;
    std::string host;
    // Path without the query.
    std::string path;
    // How long the caller will wait.
    std::optional<Duration> deadline;
    // The key as sent; no value where there is none.
    std::optional<std::string> key;
    std::optional<SessionId> session;
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    // The caller's estimate of the tokens that will be generated; 0 where it gave none.
    std::uint32_t expectedOutputTokens = 0;
    // In the order of the prompt; the last one belongs to the request itself or to its session.
    std::vector<balancing::PromptPart> promptParts;
    // Event after which a stream is to go on.
    std::optional<std::uint64_t> lastEventId;
};

// What an upstream is to be told beside the caller's own request.
struct UpstreamOrder {
    // Only this upstream may run the request.
    UpstreamId upstream;
    // What is left of the caller's time.
    std::optional<Duration> deadline;
    std::optional<WorkspaceId> workspace;
    // Set where the system chose the model.
    std::optional<catalog::ModelName> model;
    std::optional<std::uint64_t> lastEventId;
    // 0 is the most urgent, 9 the least.
    std::optional<int> priority;
};

// Load that an upstream reports with an answer.
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

// What the head of an upstream's answer says.
struct AnswerFacts {
    int status = 0;
    // The upstream states that it did not run the request.
    bool notExecuted = false;
    // The attempt that the answer belongs to; empty where it names none.
    AttemptId attempt;
    bool isSigned = false;
    bool hasContentCoding = false;
    bool isEventStream = false;
    // The model's own opinion of its answer, 0 to 100.
    std::optional<int> confidence;
    std::optional<LoadReport> load;
    std::optional<Duration> coldFor;
    // The upstream wants no request for so long.
    std::optional<Duration> retryAfter;
    // The upstream takes no new work, and ends soon.
    bool isLeaving = false;
};

}
