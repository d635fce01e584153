#pragma once

#include "fireflyhaven/common/types/ids.h"

#include <cereal/types/string.hpp>

namespace fireflyhaven::dispatch {

// Request to the owner of an upstream to run one attempt at a caller's request.
struct RunRequest {
    WorkspaceId workspace;
    RequestId request;
    std::uint32_t attempt = 0;
    UpstreamId upstream;
    // Engine calls only: model version and task.
    ModelVersion version;
    TaskName task;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    // Index of the first piece to send; above 0 when the attempt resumes an answer that an earlier one began.
    std::uint64_t firstIndex = 0;
    // Service calls only: method, path below the service, and idempotency key of a call that may run only once.
    std::string method;
    std::string path;
    std::string contentType;
    std::string idempotencyKey;
    std::string body;
    int priority = 0;
    int weight = 1;
    // Time left to start the request, and to answer it completely.
    std::int64_t startWithinMs = 0;
    std::int64_t answerWithinMs = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(workspace, request, attempt, upstream, version, task, prompt, maxTokens, firstIndex, method, path,
            contentType, idempotencyKey, body, priority, weight, startWithinMs, answerWithinMs);
    }
};

enum class RunEventKind : std::uint8_t {
    // The attempt has been sent to the upstream.
    Started,
    // One piece of a streamed answer.
    Text,
    // The answer is complete.
    Done,
    // The attempt has definitely not run; another attempt may follow.
    Refused,
    // The attempt was sent and no complete answer was received.
    Failed,
};

// Event that the owner reports for an attempt; the last one is Done, Refused or Failed.
struct RunEvent {
    RunEventKind kind = RunEventKind::Failed;
    // Request and attempt ids in the upstream's own event, which identify pieces of another attempt.
    std::string pieceRequest;
    std::uint32_t pieceAttempt = 0;
    std::uint64_t index = 0;
    // Text: the piece. Done: version that the engine answered with, or body of the service's response.
    std::string text;
    int status = 0;
    std::string contentType;
    std::uint64_t pieces = 0;
    std::uint64_t inputTokens = 0;
    std::uint64_t outputTokens = 0;
    // Refused and Failed: error code and message for the caller.
    std::string code;
    std::string message;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(kind, pieceRequest, pieceAttempt, index, text, status, contentType, pieces, inputTokens, outputTokens,
            code, message);
    }
};

}
