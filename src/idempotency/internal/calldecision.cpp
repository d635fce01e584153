#include "fireflyhaven/idempotency/calldecision.h"

#include <algorithm>

namespace fireflyhaven::idempotency {

namespace {
// Difference between the clocks of a caller and of the hosts that is put up with.
constexpr Duration CLOCK_TOLERANCE = std::chrono::minutes(1);
}

CallDecision decideCall(
    const ClaimState* state, const std::string& bodyDigest, std::int64_t issuedMs, WallTime now, std::int64_t logTimeMs)
{
    if (state && state->bodyDigest != bodyDigest)
        return CallDecision::BodyDiffers;
    if (state && state->result) {
        switch (state->result->end) {
        case CallEnd::Answered:
            return CallDecision::Replay;
        case CallEnd::Unknown:
            return CallDecision::OutcomeUnknown;
        case CallEnd::NotSent:
            break;
        }
    }
    const std::int64_t nowMs = now.time_since_epoch().count();
    if (issuedMs < std::max(nowMs, logTimeMs) - KEY_LIFETIME.count())
        return CallDecision::Expired;
    if (issuedMs > nowMs + CLOCK_TOLERANCE.count())
        return CallDecision::NotYetValid;
    return state && !state->result ? CallDecision::Pending : CallDecision::Claim;
}

std::optional<std::int64_t> issueTimeOf(const std::string& key)
{
    constexpr std::size_t MILLISECOND_DIGITS = 13;
    constexpr std::size_t LONGEST_KEY = 128;
    const auto dash = key.find('-');
    const bool formed = dash == MILLISECOND_DIGITS && key.size() > dash + 1 && key.size() <= LONGEST_KEY
        && key.substr(0, dash).find_first_not_of("0123456789") == std::string::npos;
    if (!formed)
        return std::nullopt;
    return std::stoll(key.substr(0, dash));
}

}
