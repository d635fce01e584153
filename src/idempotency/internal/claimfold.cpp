#include "fireflyhaven/idempotency/claimfold.h"

namespace fireflyhaven::idempotency {

ClaimOutcome ClaimFold::apply(const ClaimEntry& entry, Offset offset, std::int64_t logTimeMs)
{
    dropExpired(logTimeMs);
    if (entry.issuedMs < logTimeMs - KEY_LIFETIME.count())
        return ClaimOutcome::Expired;
    const auto it = m_claims.find(entry.call);
    if (it != m_claims.end()) {
        const bool reclaimable = it->second.result && it->second.result->end == CallOutcome::NotSent;
        if (!reclaimable || it->second.bodyDigest != entry.bodyDigest)
            return ClaimOutcome::Taken;
        it->second.claimOffset = offset;
        it->second.holder = entry.holder;
        it->second.result.reset();
        return ClaimOutcome::Granted;
    }
    m_claims[entry.call] = { .claimOffset = offset,
        .holder = entry.holder,
        .bodyDigest = entry.bodyDigest,
        .issuedMs = entry.issuedMs,
        .result = std::nullopt };
    m_byIssueTime.emplace(entry.issuedMs, entry.call);
    return ClaimOutcome::Granted;
}

bool ClaimFold::apply(const ResultEntry& entry)
{
    const auto it = m_claims.find(entry.call);
    if (it == m_claims.end() || it->second.claimOffset != entry.claim)
        return false;
    // An unknown outcome may be replaced by a later result. Any other result is final for this claim.
    if (it->second.result && it->second.result->end != CallOutcome::Unknown)
        return false;
    it->second.result = entry;
    return true;
}

const ClaimState* ClaimFold::find(const CallKey& call) const
{
    const auto it = m_claims.find(call);
    return it == m_claims.end() ? nullptr : &it->second;
}

void ClaimFold::dropExpired(std::int64_t logTimeMs)
{
    const std::int64_t oldest = logTimeMs - 2 * KEY_LIFETIME.count();
    while (!m_byIssueTime.empty() && m_byIssueTime.begin()->first < oldest) {
        m_claims.erase(m_byIssueTime.begin()->second);
        m_byIssueTime.erase(m_byIssueTime.begin());
    }
}

nlohmann::json ClaimFold::snapshot() const
{
    nlohmann::json claims = nlohmann::json::array();
    for (const auto& [call, it] : m_claims) {
        nlohmann::json node { { "call", call }, { "claim", it.claimOffset }, { "holder", it.holder },
            { "body_digest", it.bodyDigest }, { "issued_ms", it.issuedMs } };
        if (it.result)
            node["result"] = *it.result;
        claims.push_back(std::move(node));
    }
    return claims;
}

ClaimFold ClaimFold::fromSnapshot(const nlohmann::json& document)
{
    ClaimFold fold;
    for (const nlohmann::json& node : document) {
        const CallKey call = node.at("call").get<CallKey>();
        ClaimState state { .claimOffset = node.at("claim").get<Offset>(),
            .holder = node.at("holder").get<membership::HostIncarnation>(),
            .bodyDigest = node.at("body_digest").get<std::string>(),
            .issuedMs = node.at("issued_ms").get<std::int64_t>(),
            .result = std::nullopt };
        if (node.contains("result"))
            state.result = node.at("result").get<ResultEntry>();
        fold.m_byIssueTime.emplace(state.issuedMs, call);
        fold.m_claims[call] = std::move(state);
    }
    return fold;
}

}
