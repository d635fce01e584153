#pragma once

#include "callcontext.h"
#include "fireflyhaven/idempotency/calldecision.h"

namespace fireflyhaven::node {

// Serves POST /v1/services/{service}/{path}: plain services, some of whose calls may run at most once.
class ServiceCalls {
public:
    explicit ServiceCalls(Gatekeeper& gatekeeper);

    http::Response handle(const http::Request& request);

private:
    struct Target {
        ServiceName service;
        std::string path;
        std::vector<UpstreamId> upstreams;
        // Whether every upstream of the service lets calls be repeated.
        bool repeatable = true;
    };

    std::variant<Target, ApiError> targetOf(const http::Request& request, const CallContext& context) const;
    http::Response callRepeatable(const http::Request& request, const CallContext& context, const Target& target);
    http::Response callOnce(const http::Request& request, const CallContext& context, const Target& target);
    // Claims the key, dispatches the call and records its result.
    http::Response claimAndCall(const http::Request& request, const CallContext& context, const Target& target,
        const idempotency::ClaimEntry& claim);
    // Waits for the result of a call that another request has claimed.
    http::Response awaitResult(
        const CallContext& context, const idempotency::CallKey& call, const std::string& bodyDigest) const;
    http::Response respond(const dispatch::RunEvent& answer) const;
    std::unique_ptr<AnswerRun> run(const http::Request& request, const CallContext& context, const Target& target,
        const std::string& idempotencyKey);
    idempotency::CallDecision decide(const idempotency::CallKey& call, const std::string& bodyDigest,
        std::int64_t issuedMs, std::optional<idempotency::ResultEntry>& result) const;
    void bill(const CallContext& context, const UpstreamId& upstream);

    Gatekeeper& m_gatekeeper;
    const EntryParts& m_parts;
};

}
