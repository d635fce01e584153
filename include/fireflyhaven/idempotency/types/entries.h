#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/membership/types/entries.h"

namespace fireflyhaven::idempotency {

// Identifies a call that must run at most once: an idempotency key, unique within its workspace.
struct CallKey {
    WorkspaceId workspace;
    IdempotencyKey key;

    std::string text() const { return workspace.value() + "/" + key.value(); }
    friend auto operator<=>(const CallKey&, const CallKey&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallKey, workspace, key)

// Claim of a host to the sole right to dispatch a call.
struct ClaimEntry {
    CallKey call;
    membership::HostIncarnation holder;
    // Digest of the request body; another body under the same key is an error.
    std::string bodyDigest;
    // When the caller issued the key, milliseconds since the Unix epoch.
    std::int64_t issuedMs = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimEntry, call, holder, bodyDigest, issuedMs)

// How a call with an idempotency key ended.
enum class CallOutcome {
    // The service answered and the answer is recorded.
    Answered,
    // The call was certainly not sent; the key may be claimed again.
    NotSent,
    // The call was sent and its answer was lost.
    Unknown,
};

// Result of a claimed call, written by the holder of the claim. `claim` is the log offset of that claim.
struct ResultEntry {
    CallKey call;
    Offset claim;
    CallOutcome end = CallOutcome::Unknown;
    int status = 0;
    std::string contentType;
    std::string body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ResultEntry, call, claim, end, status, contentType, body)

}
