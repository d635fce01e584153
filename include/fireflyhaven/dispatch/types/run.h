#pragma once

#include "fireflyhaven/common/types/ids.h"

#include <cereal/types/string.hpp>

namespace fireflyhaven::dispatch {

// Asks the owner of an upstream to run one attempt at a request.
struct RunRequest {
    WorkspaceId workspace;
    RequestId request;
    std::uint32_t attempt = 0;
    UpstreamId upstream;
    // Engine calls: the version and task; empty for services.
    ModelVersion version;
    TaskName task;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    // First piece wanted of an answer that an earlier attempt began.
    std::uint64_t firstIndex = 0;
    // Service calls: method, path below the service, and key of a call that may run once.
    std::string method;
    std::string path;
    std::string contentType;
    std::string idempotencyKey;
    std::string body;
    int priority = 0;
    int weight = 1;
    // Time left until the request has to be started, and until it has to be answered.
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
    // A piece of a streamed answer.
    Text,
    // The answer is whole.
    Done,
    // The attempt has certainly not run; another may follow.
    Refused,
    // The attempt was sent and its answer did not come whole.
    Failed,
};

// What the owner tells of an attempt; ends with Done, Refused or Failed.
struct RunEvent {
    RunEventKind kind = RunEventKind::Failed;
    // Request and attempt that the upstream's piece named.
    std::string pieceRequest;
    std::uint32_t pieceAttempt = 0;
    std::uint64_t index = 0;
    // Piece of an answer, or body of a service's answer.
    std::string text;
    int status = 0;
    std::string contentType;
    std::uint64_t pieces = 0;
    std::uint64_t inputTokens = 0;
    std::uint64_t outputTokens = 0;
    // Refused and Failed: code and message for the caller.
    std::string code;
    std::string message;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(kind, pieceRequest, pieceAttempt, index, text, status, contentType, pieces, inputTokens, outputTokens,
            code, message);
    }
};

}
