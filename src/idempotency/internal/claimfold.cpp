#include "fireflyhaven/idempotency/claimfold.h"

namespace fireflyhaven::idempotency {

ClaimOutcome ClaimFold::apply(const ClaimEntry& entry, Offset offset, std::int64_t logTimeMs)
{
    dropExpired(logTimeMs);
    if (entry.issuedMs < logTimeMs - KEY_LIFETIME.count())
        return ClaimOutcome::Expired;
    const auto it = m_claims.find(entry.call);
    if (it != m_claims.end()) {
        const bool reopened = it->second.result && it->second.result->end == CallEnd::NotSent;
        if (!reopened || it->second.bodyDigest != entry.bodyDigest)
            return ClaimOutcome::Taken;
        it->second.claim = offset;
        it->second.holder = entry.holder;
        it->second.result.reset();
        return ClaimOutcome::Granted;
    }
    m_claims[entry.call] = { .claim = offset,
        .holder = entry.holder,
        .bodyDigest = entry.bodyDigest,
        .issuedMs = entry.issuedMs,
        .result = std::nullopt };
    m_byIssue.emplace(entry.issuedMs, entry.call);
    return ClaimOutcome::Granted;
}

bool ClaimFold::apply(const ResultEntry& entry)
{
    const auto it = m_claims.find(entry.call);
    if (it == m_claims.end() || it->second.claim != entry.claim)
        return false;
    // An answer may follow "unknown"; nothing follows an answer.
    if (it->second.result && it->second.result->end != CallEnd::Unknown)
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
    while (!m_byIssue.empty() && m_byIssue.begin()->first < oldest) {
        m_claims.erase(m_byIssue.begin()->second);
        m_byIssue.erase(m_byIssue.begin());
    }
}

nlohmann::json ClaimFold::snapshot() const
{
    nlohmann::json claims = nlohmann::json::array();
    for (const auto& [call, it] : m_claims) {
        nlohmann::json node { { "call", call }, { "claim", it.claim }, { "holder", it.holder },
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
        ClaimState state { .claim = node.at("claim").get<Offset>(),
            .holder = node.at("holder").get<membership::HostLife>(),
            .bodyDigest = node.at("body_digest").get<std::string>(),
            .issuedMs = node.at("issued_ms").get<std::int64_t>(),
            .result = std::nullopt };
        if (node.contains("result"))
            state.result = node.at("result").get<ResultEntry>();
        fold.m_byIssue.emplace(state.issuedMs, call);
        fold.m_claims[call] = std::move(state);
    }
    return fold;
}

}
