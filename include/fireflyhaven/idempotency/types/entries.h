#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/membership/types/entries.h"

namespace fireflyhaven::idempotency {

// Names a call that may run once: the workspace's own key, within that workspace.
struct CallKey {
    WorkspaceId workspace;
    IdempotencyKey key;

    std::string text() const { return workspace.value() + "/" + key.value(); }
    friend auto operator<=>(const CallKey&, const CallKey&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallKey, workspace, key)

// A host claims the sole right to dispatch a call.
struct ClaimEntry {
    CallKey call;
    membership::HostLife holder;
    // Digest of the request body; another body under the same key is an error.
    std::string bodyDigest;
    // When the caller issued the key, milliseconds since the Unix epoch.
    std::int64_t issuedMs = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimEntry, call, holder, bodyDigest, issuedMs)

// How a call that may run once ended.
enum class CallEnd {
    // The service answered; the answer is recorded.
    Answered,
    // The call was certainly not sent; the key may be claimed again.
    NotSent,
    // The call was sent and its answer was lost.
    Unknown,
};

// The end of a claimed call, written by the holder of the claim.
struct ResultEntry {
    CallKey call;
    Offset claim;
    CallEnd end = CallEnd::Unknown;
    int status = 0;
    std::string contentType;
    std::string body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ResultEntry, call, claim, end, status, contentType, body)

}
