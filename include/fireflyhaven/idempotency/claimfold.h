#pragma once

#include "fireflyhaven/idempotency/types/entries.h"

#include <map>
#include <optional>

namespace fireflyhaven::idempotency {

// How long a key may be repeated after its time of issue.
constexpr Duration KEY_LIFETIME = std::chrono::minutes(10);

struct ClaimState {
    Offset claim;
    membership::HostLife holder;
    std::string bodyDigest;
    std::int64_t issuedMs = 0;
    std::optional<ResultEntry> result;
};

enum class ClaimOutcome {
    // The claim is the first for its key: its holder, and nobody else ever, dispatches the call.
    Granted,
    // An earlier claim stands.
    Taken,
    // The key is older than the claims that are kept.
    Expired,
};

// Folds claims and results, in the order of the log. Keeps a claim for twice the lifetime of its key; a key whose claim
// has been dropped is always refused as expired, so it can't be claimed a second time.
class ClaimFold {
public:
    // `logTimeMs` is the time that the log itself has reached, milliseconds since the Unix epoch.
    ClaimOutcome apply(const ClaimEntry& entry, Offset offset, std::int64_t logTimeMs);
    bool apply(const ResultEntry& entry);

    const ClaimState* find(const CallKey& call) const;
    std::size_t size() const { return m_claims.size(); }

    nlohmann::json snapshot() const;
    static ClaimFold fromSnapshot(const nlohmann::json& document);

private:
    void dropExpired(std::int64_t logTimeMs);

    std::map<CallKey, ClaimState> m_claims;
    std::multimap<std::int64_t, CallKey> m_byIssue;
};

}
