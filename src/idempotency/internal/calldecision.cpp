#include "fireflyhaven/idempotency/calldecision.h"

#include <algorithm>

namespace fireflyhaven::idempotency {

namespace {
// Tolerated clock skew between a caller and the hosts; keys issued further in the future are rejected.
constexpr Duration MAX_CLOCK_SKEW = std::chrono::minutes(1);
}

CallDecision decideCall(
    const ClaimState* state, const std::string& bodyDigest, std::int64_t issuedMs, WallTime now, std::int64_t logTimeMs)
{
    if (state && state->bodyDigest != bodyDigest)
        return CallDecision::BodyMismatch;
    if (state && state->result) {
        switch (state->result->end) {
        case CallOutcome::Answered:
            return CallDecision::Replay;
        case CallOutcome::Unknown:
            return CallDecision::OutcomeUnknown;
        case CallOutcome::NotSent:
            break;
        }
    }
    const std::int64_t nowMs = now.time_since_epoch().count();
    if (issuedMs < std::max(nowMs, logTimeMs) - KEY_LIFETIME.count())
        return CallDecision::Expired;
    if (issuedMs > nowMs + MAX_CLOCK_SKEW.count())
        return CallDecision::NotYetValid;
    return state && !state->result ? CallDecision::Pending : CallDecision::Claim;
}

std::optional<std::int64_t> parseIssueTime(const std::string& key)
{
    constexpr std::size_t TIMESTAMP_DIGITS = 13;
    constexpr std::size_t MAX_KEY_BYTES = 128;
    const auto dash = key.find('-');
    const bool wellFormed = dash == TIMESTAMP_DIGITS && key.size() > dash + 1 && key.size() <= MAX_KEY_BYTES
        && key.substr(0, dash).find_first_not_of("0123456789") == std::string::npos;
    if (!wellFormed)
        return std::nullopt;
    return std::stoll(key.substr(0, dash));
}

}
