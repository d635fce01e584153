#pragma once

#include "fireflyhaven/idempotency/claimfold.h"

namespace fireflyhaven::idempotency {

// How to handle a call with an idempotency key, given the replicated state of the key.
enum class CallDecision {
    // The key is unclaimed, or its call was certainly not sent. The host may claim it.
    Claim,
    // The answer is recorded and can be replayed.
    Replay,
    // The key is claimed and no result is recorded yet.
    Pending,
    // The call was sent and its answer was lost.
    OutcomeUnknown,
    // The key was used with a different request body.
    BodyMismatch,
    // The key is older than KEY_LIFETIME and has neither a recorded answer nor an unknown outcome.
    Expired,
    // The key was issued in the future.
    NotYetValid,
};

// `state` is null if there is no claim for the key. `issuedMs` is the time of issue of the key, and `logTimeMs` the
// logical time of the log, both in milliseconds since the Unix epoch.
CallDecision decideCall(const ClaimState* state, const std::string& bodyDigest, std::int64_t issuedMs, WallTime now,
    std::int64_t logTimeMs);

// Returns the time of issue, in milliseconds since the Unix epoch, of a key of the form "UNIX_MILLISECONDS-TEXT"; no
// value for any other form.
std::optional<std::int64_t> parseIssueTime(const std::string& key);

}
