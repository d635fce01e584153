#pragma once

#include "fireflyhaven/balancing/types/loadreport.h"
#include "fireflyhaven/balancing/types/upstreamrequirements.h"

#include "fireflyhaven/common/types/requestrate.h"

#include <optional>
#include <vector>

namespace fireflyhaven::entry {

using AttemptId = StrongId<struct CallerAttemptTag>;
// Properties of a caller's request, as read from its head.
struct CallerRequest {
    // Identifies one attempt of the caller; empty if the caller sent none.
    AttemptId attempt;
    std::string host;
    // Path without the query.
    std::string path;
    // Time that the caller is willing to wait.
    std::optional<Duration> deadline;
    // API key as sent; no value if there is none.
    std::optional<std::string> key;
    std::optional<SessionId> session;
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    // The caller's estimate of the number of generated tokens; 0 if it gave none.
    std::uint32_t expectedOutputTokens = 0;
    // In prompt order; the last part is specific to the request or to its session.
    std::vector<balancing::PromptPart> promptParts;
    std::size_t bodyBytes = 0;
    // The request as a whole; no value before its body has been read.
    std::optional<RequestDigest> digest;
    // ID of the last event that the caller has received; a stream is to continue after it.
    std::optional<std::uint64_t> lastEventId;
};

// Information that the router adds to a caller's request when it sends it to an upstream.
struct UpstreamDirectives {
    // The only upstream that may run the request.
    UpstreamId upstream;
    // Time remaining until the request's deadline.
    std::optional<Duration> deadline;
    std::optional<WorkspaceId> workspace;
    // Set if the router selected the model.
    std::optional<catalog::ModelName> model;
    std::optional<std::uint64_t> lastEventId;
    // 0 is the most urgent, 9 the least.
    std::optional<int> priority;
};

// Properties of an upstream's response, as read from its head.
struct ResponseInfo {
    int status = 0;
    // The upstream states that it did not run the request.
    bool notExecuted = false;
    // The attempt that the response belongs to; empty if the response names none.
    AttemptId attempt;
    bool isSigned = false;
    bool hasContentCoding = false;
    bool isEventStream = false;
    // The model's confidence in its response, 0 to 100.
    std::optional<int> confidence;
    std::optional<balancing::LoadReport> load;
    // Remaining cold-start time of the upstream.
    std::optional<Duration> warmupRemaining;
    // The upstream requests that nothing be sent to it for this time.
    std::optional<Duration> retryAfter;
    // The upstream accepts no new requests and will shut down.
    bool isDraining = false;
    // Rate of requests that the upstream accepts from all hosts together; no value if the response names none.
    std::optional<RequestRate> requestLimit;
    // The response names a limit that cannot be read.
    bool requestLimitUnreadable = false;
};

}
