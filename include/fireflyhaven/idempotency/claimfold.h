#pragma once

#include "fireflyhaven/idempotency/types/entries.h"

#include <map>
#include <optional>

namespace fireflyhaven::idempotency {

// How long after its time of issue a key may be claimed. A recorded result is replayed for as long as its claim is
// kept.
constexpr Duration KEY_LIFETIME = std::chrono::minutes(10);

struct ClaimState {
    Offset claimOffset;
    membership::HostIncarnation holder;
    std::string bodyDigest;
    std::int64_t issuedMs = 0;
    std::optional<ResultEntry> result;
};

enum class ClaimOutcome {
    // The holder of the claim has the sole right to dispatch the call. The claim is the first for its key, or the call
    // of the previous claim was certainly not sent.
    Granted,
    // The key has an earlier claim, which stays in force.
    Taken,
    // The key is older than KEY_LIFETIME.
    Expired,
};

// Replicated state of idempotency keys; claims and results are applied in the order of the log. A claim is kept until
// its key is twice KEY_LIFETIME old. A key whose claim has been dropped is always rejected as expired, so it can't be
// claimed a second time.
class ClaimFold {
public:
    // `logTimeMs` is the logical time of the log in milliseconds since the Unix epoch.
    ClaimOutcome apply(const ClaimEntry& entry, Offset offset, std::int64_t logTimeMs);
    bool apply(const ResultEntry& entry);

    const ClaimState* find(const CallKey& call) const;
    std::size_t size() const { return m_claims.size(); }

    nlohmann::json snapshot() const;
    static ClaimFold fromSnapshot(const nlohmann::json& document);

private:
    void dropExpired(std::int64_t logTimeMs);

    std::map<CallKey, ClaimState> m_claims;
    std::multimap<std::int64_t, CallKey> m_byIssueTime;
};

}
