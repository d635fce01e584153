#include "servicecalls.h"
#include "fireflyhaven/http/types/status.h"

#include <algorithm>

namespace fireflyhaven::node {

namespace {

using idempotency::CallDecision;
using idempotency::CallOutcome;
constexpr Duration RETRY_AFTER { 1000 };
// How long to wait until a claim is confirmed by the log.
constexpr Duration CLAIM_TIMEOUT { 3000 };
// How long the answer is held back until its result is recorded in the log. After that it is sent anyway, while the
// writer goes on retrying.
constexpr Duration RESULT_TIMEOUT { 2000 };
const std::string SERVICES_PREFIX = "/v1/services/";

ApiError unknownOutcomeError(const std::string& message)
{
    return { .status = STATUS_CONFLICT,
        .code = "outcome_unknown",
        .message = message,
        .run = RunState::Unknown,
        .retryAfter = RETRY_AFTER };
}

http::Response replayedResponse(const idempotency::ResultEntry& result)
{
    return { .status = result.status,
        .headers = { { "Content-Type", result.contentType }, { "X-Idempotent-Replay", "true" } },
        .body = result.body,
        .stream = {} };
}

CallOutcome callOutcomeOf(AnswerRun::End end)
{
    if (end == AnswerRun::End::Done)
        return CallOutcome::Answered;
    return end == AnswerRun::End::NotRun ? CallOutcome::NotSent : CallOutcome::Unknown;
}

// Releases a claim that the log accepts after its request was refused; otherwise the key would stay claimed although
// the call was never sent.
std::optional<cluster::Entry> releaseLateClaim(
    const idempotency::ClaimEntry& claim, const cluster::TicketOutcome& outcome)
{
    if (!outcome.outcome.accepted())
        return std::nullopt;
    return idempotency::ResultEntry { .call = claim.call, .claim = outcome.offset, .end = CallOutcome::NotSent };
}

}

ServiceCalls::ServiceCalls(AdmissionController& admissionController)
    : m_admissionController(admissionController)
    , m_components(admissionController.components())
{
}

http::Response ServiceCalls::handle(const http::Request& request)
{
    const RequestId id = requestIdOf(request);
    std::variant<CallContext, ApiError> admitted = m_admissionController.admitRequest(request, id);
    if (const auto* error = std::get_if<ApiError>(&admitted))
        return errorResponse(*error, id.value());
    const auto& context = std::get<CallContext>(admitted);
    const std::variant<Target, ApiError> resolved = resolveTarget(request, context);
    http::Response response;
    if (const auto* error = std::get_if<ApiError>(&resolved)) {
        response = errorResponse(*error, id.value());
    } else {
        const auto& target = std::get<Target>(resolved);
        const bool atMostOnce = !target.repeatable || !request.header("idempotency-key").empty();
        response = atMostOnce ? callAtMostOnce(request, context, target) : callRepeatable(request, context, target);
    }
    m_admissionController.onRequestFinished(context);
    response.headers["X-Request-Id"] = id.value();
    return response;
}

std::variant<ServiceCalls::Target, ApiError> ServiceCalls::resolveTarget(
    const http::Request& request, const CallContext& context) const
{
    const std::string rest = request.path.substr(SERVICES_PREFIX.size());
    const auto slash = rest.find('/');
    Target target { .service = ServiceName(rest.substr(0, slash)),
        .path = slash == std::string::npos ? std::string() : rest.substr(slash + 1) };
    const auto& services = context.plan.services;
    if (std::find(services.begin(), services.end(), target.service) == services.end())
        return ApiError {
            .status = STATUS_FORBIDDEN, .code = "not_allowed", .message = "the plan does not allow this service"
        };
    const auto upstreams = context.view->upstreamsByService.find(target.service);
    if (upstreams == context.view->upstreamsByService.end())
        return ApiError {
            .status = STATUS_NOT_FOUND, .code = "no_such_service", .message = "no upstream offers this service"
        };
    target.upstreams = upstreams->second;
    target.repeatable = std::all_of(target.upstreams.begin(), target.upstreams.end(),
        [&](const UpstreamId& it) { return context.view->lists->upstreams.at(it).value.repeatable; });
    return target;
}

std::unique_ptr<AnswerRun> ServiceCalls::runCall(
    const http::Request& request, const CallContext& context, const Target& target, const std::string& idempotencyKey)
{
    dispatch::RunRequest call { .workspace = context.workspace,
        .request = context.request,
        .method = request.method,
        .path = target.path,
        .contentType = request.header("content-type"),
        .idempotencyKey = idempotencyKey,
        .body = request.body,
        .priority = context.plan.priority,
        .weight = context.plan.weight };
    AnswerRunOptions options { .upstreams = target.upstreams,
        .pick = { .policy = routing::PickPolicy::LeastLoaded },
        .startBy = context.answerBy,
        .answerBy = context.answerBy,
        .repeatable = target.repeatable };
    auto answer
        = std::make_unique<AnswerRun>(m_admissionController.runDependencies(), std::move(call), std::move(options));
    while (!answer->next().empty()) { }
    return answer;
}

http::Response ServiceCalls::answerResponse(const dispatch::RunEvent& answer) const
{
    m_components.metrics.count("requests_answered");
    return { .status = answer.status,
        .headers = { { "Content-Type", answer.contentType } },
        .body = answer.text,
        .stream = {} };
}

void ServiceCalls::billCall(const CallContext& context, const UpstreamId& upstream)
{
    m_components.billing.makeDurable(
        { .workspace = context.workspace, .request = context.request, .attempts = { { .upstream = upstream } } });
}

http::Response ServiceCalls::callRepeatable(
    const http::Request& request, const CallContext& context, const Target& target)
{
    const std::unique_ptr<AnswerRun> answer = runCall(request, context, target, {});
    if (answer->end() == AnswerRun::End::Done) {
        billCall(context, answer->upstream());
        return answerResponse(answer->finalEvent());
    }
    const bool notRun = answer->end() == AnswerRun::End::NotRun;
    return errorResponse({ .status = notRun ? STATUS_UNAVAILABLE : STATUS_BAD_GATEWAY,
                             .code = answer->finalEvent().code,
                             .message = answer->finalEvent().message,
                             .run = notRun ? RunState::NotRun : RunState::Unknown,
                             .retryAfter = RETRY_AFTER },
        context.request.value());
}

CallDecision ServiceCalls::decisionFor(const idempotency::CallKey& call, const std::string& bodyDigest,
    std::int64_t issuedMs, std::optional<idempotency::ResultEntry>& result) const
{
    return m_components.replica.read([&](const ReplicaState& state) {
        const idempotency::ClaimState* claim = state.fold.claims().find(call);
        if (claim)
            result = claim->result;
        return idempotency::decideCall(
            claim, bodyDigest, issuedMs, m_components.clock.wallNow(), state.fold.logTimeMs());
    });
}

http::Response ServiceCalls::callAtMostOnce(
    const http::Request& request, const CallContext& context, const Target& target)
{
    const std::string& id = context.request.value();
    const std::string& key = request.header("idempotency-key");
    const std::optional<std::int64_t> issuedMs = idempotency::parseIssueTime(key);
    if (!issuedMs) {
        return errorResponse({ .status = STATUS_BAD_REQUEST,
                                 .code = "idempotency_key_required",
                                 .message = "Idempotency-Key: expected UNIX_MILLISECONDS-TEXT" },
            id);
    }
    const idempotency::CallKey call { .workspace = context.workspace, .key = IdempotencyKey(key) };
    const std::string bodyDigest = digestHex(request.method + " " + request.path + "\n" + request.body);
    std::optional<idempotency::ResultEntry> result;
    switch (decisionFor(call, bodyDigest, *issuedMs, result)) {
    case CallDecision::Replay:
        m_components.metrics.count("calls_replayed");
        return replayedResponse(*result);
    case CallDecision::Pending:
        return awaitResult(context, call, bodyDigest);
    case CallDecision::OutcomeUnknown:
        return errorResponse(unknownOutcomeError("the call was sent and its answer was lost"), id);
    case CallDecision::BodyMismatch:
        return errorResponse({ .status = STATUS_UNPROCESSABLE,
                                 .code = "key_reused",
                                 .message = "the key was used with another request" },
            id);
    case CallDecision::Expired:
        return errorResponse({ .status = STATUS_GONE,
                                 .code = "expired",
                                 .message = "the key is too old to tell what became of it",
                                 .run = RunState::Unknown },
            id);
    case CallDecision::NotYetValid:
        return errorResponse(
            { .status = STATUS_BAD_REQUEST, .code = "bad_request", .message = "the key was issued in the future" }, id);
    case CallDecision::Claim:
        break;
    }
    const membership::HostIncarnation self
        = m_components.replica.read([](const ReplicaState& state) { return state.tracker.selfIncarnation(); });
    return claimAndCall(
        request, context, target, { .call = call, .holder = self, .bodyDigest = bodyDigest, .issuedMs = *issuedMs });
}

http::Response ServiceCalls::claimAndCall(const http::Request& request, const CallContext& context,
    const Target& target, const idempotency::ClaimEntry& claim)
{
    const std::string& id = context.request.value();
    std::optional<ApiError> error;
    std::optional<cluster::TicketOutcome> claimOutcome;
    const Duration timeLeft = std::max(Duration(0), context.answerBy - m_components.clock.now());
    // If the log is known to be unreachable, the request is refused without waiting.
    const Duration wait = m_components.replica.logReachable() ? std::min(timeLeft, CLAIM_TIMEOUT) : Duration(0);
    handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_ASSIGN(claimOutcome, m_components.replica.write(claim, wait, [claim](const auto& lateOutcome) {
                return releaseLateClaim(claim, lateOutcome);
            }));
            return true;
        },
        [&](const Failure& it) {
            // The call is sent only after its claim is accepted, so without an outcome it has certainly not run.
            error = ApiError { .status = STATUS_UNAVAILABLE,
                .code = "log_unavailable",
                .message = it.message,
                .run = RunState::NotRun,
                .retryAfter = RETRY_AFTER };
            return false;
        });
    if (error)
        return errorResponse(*error, id);
    if (!claimOutcome->outcome.accepted())
        return awaitResult(context, claim.call, claim.bodyDigest);
    m_components.metrics.count("calls_claimed");
    idempotency::ResultEntry result { .call = claim.call, .claim = claimOutcome->offset, .end = CallOutcome::NotSent };
    // If this process was paused until after the deadline, the call is not sent.
    std::unique_ptr<AnswerRun> answer;
    if (m_components.clock.now() < context.answerBy) {
        answer = runCall(request, context, target, claim.call.key.value());
        result.end = callOutcomeOf(answer->end());
        result.status = answer->finalEvent().status;
        result.contentType = answer->finalEvent().contentType;
        result.body = answer->finalEvent().text;
    }
    handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(m_components.replica.write(result, RESULT_TIMEOUT));
            return true;
        },
        [&](const Failure&) {
            m_components.metrics.count("results_recorded_late");
            return m_components.replica.writeAsync(result);
        });
    if (result.end == CallOutcome::Answered) {
        billCall(context, answer->upstream());
        return answerResponse(answer->finalEvent());
    }
    m_components.metrics.count(result.end == CallOutcome::NotSent ? "calls_not_sent" : "calls_outcome_unknown");
    if (result.end == CallOutcome::Unknown)
        return errorResponse(unknownOutcomeError("the call was sent: " + answer->finalEvent().message), id);
    return errorResponse({ .status = STATUS_UNAVAILABLE,
                             .code = answer ? answer->finalEvent().code : "deadline",
                             .message = answer ? answer->finalEvent().message : "the deadline passed before the call",
                             .run = RunState::NotRun,
                             .retryAfter = RETRY_AFTER },
        id);
}

http::Response ServiceCalls::awaitResult(
    const CallContext& context, const idempotency::CallKey& call, const std::string& bodyDigest) const
{
    std::optional<idempotency::ResultEntry> result;
    bool bodyDiffers = false;
    const auto resultRecorded = [&](const ReplicaState& state) {
        const idempotency::ClaimState* claim = state.fold.claims().find(call);
        bodyDiffers = claim && claim->bodyDigest != bodyDigest;
        if (claim && claim->result)
            result = claim->result;
        return bodyDiffers || result.has_value();
    };
    m_components.replica.await(resultRecorded, std::max(Duration(0), context.answerBy - m_components.clock.now()));
    const std::string& id = context.request.value();
    if (bodyDiffers) {
        return errorResponse({ .status = STATUS_UNPROCESSABLE,
                                 .code = "key_reused",
                                 .message = "the key was used with another request" },
            id);
    }
    if (!result || result->end == CallOutcome::Unknown)
        return errorResponse(
            unknownOutcomeError("another request with this key is under way or its answer was lost"), id);
    if (result->end == CallOutcome::Answered) {
        m_components.metrics.count("calls_replayed");
        return replayedResponse(*result);
    }
    return errorResponse({ .status = STATUS_UNAVAILABLE,
                             .code = "not_sent",
                             .message = "another request with this key was not sent; try again",
                             .run = RunState::NotRun,
                             .retryAfter = RETRY_AFTER },
        id);
}

}
