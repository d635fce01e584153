#pragma once

#include "fireflyhaven/idempotency/claimfold.h"

namespace fireflyhaven::idempotency {

// What to do with a call that may run once, from what the fold holds for its key.
enum class CallDecision {
    // Nobody has claimed the key, or the claimed call was certainly not sent: claim it.
    Claim,
    // The answer is recorded: give it again.
    Replay,
    // Claimed, and no answer is recorded yet.
    Pending,
    // Sent, and the answer was lost.
    OutcomeUnknown,
    // The key was used with another body.
    BodyDiffers,
    // The key is older than the claims that are kept.
    Expired,
    // The key was issued in the future.
    NotYetValid,
};

// `state` is null where the fold holds nothing for the key.
CallDecision decideCall(const ClaimState* state, const std::string& bodyDigest, std::int64_t issuedMs, WallTime now,
    std::int64_t logTimeMs);

// Reads a key of the form "UNIX_MILLISECONDS-TEXT"; no value where it has another form.
std::optional<std::int64_t> issueTimeOf(const std::string& key);

}
