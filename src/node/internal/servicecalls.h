#pragma once

#include "callcontext.h"
#include "fireflyhaven/idempotency/calldecision.h"

namespace fireflyhaven::node {

// Serves POST /v1/services/{service}/{path}: calls to services that are not model engines. Calls that are not
// repeatable, or that carry an idempotency key, run at most once.
class ServiceCalls {
public:
    explicit ServiceCalls(AdmissionController& admissionController);

    http::Response handle(const http::Request& request);

private:
    struct Target {
        ServiceName service;
        std::string path;
        std::vector<UpstreamId> upstreams;
        // Whether calls may be repeated at every upstream of the service.
        bool repeatable = true;
    };

    std::variant<Target, ApiError> resolveTarget(const http::Request& request, const CallContext& context) const;
    http::Response callRepeatable(const http::Request& request, const CallContext& context, const Target& target);
    http::Response callAtMostOnce(const http::Request& request, const CallContext& context, const Target& target);
    // Claims the idempotency key in the log, dispatches the call and records its result in the log.
    http::Response claimAndCall(const http::Request& request, const CallContext& context, const Target& target,
        const idempotency::ClaimEntry& claim);
    // Waits for the result of a call that another request has claimed, until the deadline.
    http::Response awaitResult(
        const CallContext& context, const idempotency::CallKey& call, const std::string& bodyDigest) const;
    http::Response answerResponse(const dispatch::RunEvent& answer) const;
    std::unique_ptr<AnswerRun> runCall(const http::Request& request, const CallContext& context, const Target& target,
        const std::string& idempotencyKey);
    idempotency::CallDecision decisionFor(const idempotency::CallKey& call, const std::string& bodyDigest,
        std::int64_t issuedMs, std::optional<idempotency::ResultEntry>& result) const;
    void billCall(const CallContext& context, const UpstreamId& upstream);

    AdmissionController& m_admissionController;
    const EntryComponents& m_components;
};

}
