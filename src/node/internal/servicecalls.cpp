#include "servicecalls.h"
#include "fireflyhaven/http/types/status.h"

#include <algorithm>

namespace fireflyhaven::node {

namespace {

using idempotency::CallDecision;
using idempotency::CallOutcome;
constexpr Duration COME_BACK { 1000 };
// How long a claim may take to come back through the log.
constexpr Duration CLAIM_PATIENCE { 3000 };
// How long a result may take to be recorded before the answer is given all the same; the writer goes on trying.
constexpr Duration RESULT_PATIENCE { 2000 };
const std::string SERVICES_PREFIX = "/v1/services/";

ApiError unknownOutcome(const std::string& message)
{
    return { .status = STATUS_CONFLICT,
        .code = "outcome_unknown",
        .message = message,
        .run = RunState::Unknown,
        .retryAfter = COME_BACK };
}

http::Response replay(const idempotency::ResultEntry& result)
{
    return { .status = result.status,
        .headers = { { "Content-Type", result.contentType }, { "X-Idempotent-Replay", "true" } },
        .body = result.body,
        .stream = {} };
}

CallOutcome callEndOf(AnswerRun::End end)
{
    if (end == AnswerRun::End::Done)
        return CallOutcome::Answered;
    return end == AnswerRun::End::NotRun ? CallOutcome::NotSent : CallOutcome::Unknown;
}

// A claim that is granted after its request was refused would hold the key for nothing.
std::optional<cluster::Entry> notSentAfterAll(
    const idempotency::ClaimEntry& claim, const cluster::TicketOutcome& verdict)
{
    if (!verdict.outcome.accepted())
        return std::nullopt;
    return idempotency::ResultEntry { .call = claim.call, .claim = verdict.offset, .end = CallOutcome::NotSent };
}

}

ServiceCalls::ServiceCalls(Gatekeeper& gatekeeper)
    : m_gatekeeper(gatekeeper)
    , m_parts(gatekeeper.parts())
{
}

http::Response ServiceCalls::handle(const http::Request& request)
{
    const RequestId id = requestIdOf(request);
    std::variant<CallContext, ApiError> entered = m_gatekeeper.enter(request, id);
    if (const auto* error = std::get_if<ApiError>(&entered))
        return errorResponse(*error, id.value());
    const auto& context = std::get<CallContext>(entered);
    const std::variant<Target, ApiError> found = targetOf(request, context);
    http::Response response;
    if (const auto* error = std::get_if<ApiError>(&found)) {
        response = errorResponse(*error, id.value());
    } else {
        const auto& target = std::get<Target>(found);
        const bool once = !target.repeatable || !request.header("idempotency-key").empty();
        response = once ? callOnce(request, context, target) : callRepeatable(request, context, target);
    }
    m_gatekeeper.finish(context);
    response.headers["X-Request-Id"] = id.value();
    return response;
}

std::variant<ServiceCalls::Target, ApiError> ServiceCalls::targetOf(
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

std::unique_ptr<AnswerRun> ServiceCalls::run(
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
    auto answer = std::make_unique<AnswerRun>(m_gatekeeper.runDeps(), std::move(call), std::move(options));
    while (!answer->next().empty()) { }
    return answer;
}

http::Response ServiceCalls::respond(const dispatch::RunEvent& answer) const
{
    m_parts.metrics.count("requests_answered");
    return { .status = answer.status,
        .headers = { { "Content-Type", answer.contentType } },
        .body = answer.text,
        .stream = {} };
}

void ServiceCalls::bill(const CallContext& context, const UpstreamId& upstream)
{
    m_parts.billing.settle(
        { .workspace = context.workspace, .request = context.request, .attempts = { { .upstream = upstream } } });
}

http::Response ServiceCalls::callRepeatable(
    const http::Request& request, const CallContext& context, const Target& target)
{
    const std::unique_ptr<AnswerRun> answer = run(request, context, target, {});
    if (answer->end() == AnswerRun::End::Done) {
        bill(context, answer->upstream());
        return respond(answer->last());
    }
    const bool notRun = answer->end() == AnswerRun::End::NotRun;
    return errorResponse({ .status = notRun ? STATUS_UNAVAILABLE : STATUS_BAD_GATEWAY,
                             .code = answer->last().code,
                             .message = answer->last().message,
                             .run = notRun ? RunState::NotRun : RunState::Unknown,
                             .retryAfter = COME_BACK },
        context.request.value());
}

CallDecision ServiceCalls::decide(const idempotency::CallKey& call, const std::string& bodyDigest,
    std::int64_t issuedMs, std::optional<idempotency::ResultEntry>& result) const
{
    return m_parts.replica.read([&](const ReplicaState& state) {
        const idempotency::ClaimState* claim = state.fold.claims().find(call);
        if (claim)
            result = claim->result;
        return idempotency::decideCall(claim, bodyDigest, issuedMs, m_parts.clock.wallNow(), state.fold.logTimeMs());
    });
}

http::Response ServiceCalls::callOnce(const http::Request& request, const CallContext& context, const Target& target)
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
    switch (decide(call, bodyDigest, *issuedMs, result)) {
    case CallDecision::Replay:
        m_parts.metrics.count("calls_replayed");
        return replay(*result);
    case CallDecision::Pending:
        return awaitResult(context, call, bodyDigest);
    case CallDecision::OutcomeUnknown:
        return errorResponse(unknownOutcome("the call was sent and its answer was lost"), id);
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
        = m_parts.replica.read([](const ReplicaState& state) { return state.tracker.selfIncarnation(); });
    return claimAndCall(
        request, context, target, { .call = call, .holder = self, .bodyDigest = bodyDigest, .issuedMs = *issuedMs });
}

http::Response ServiceCalls::claimAndCall(const http::Request& request, const CallContext& context,
    const Target& target, const idempotency::ClaimEntry& claim)
{
    const std::string& id = context.request.value();
    std::optional<ApiError> error;
    std::optional<cluster::TicketOutcome> verdict;
    const Duration left = std::max(Duration(0), context.answerBy - m_parts.clock.now());
    // While the log is known to be unreachable the refusal is not held back.
    const Duration wait = m_parts.replica.logReachable() ? std::min(left, CLAIM_PATIENCE) : Duration(0);
    handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_ASSIGN(verdict,
                m_parts.replica.write(claim, wait, [claim](const auto& late) { return notSentAfterAll(claim, late); }));
            return true;
        },
        [&](const Failure& it) {
            // The claim alone sends nothing, so without its verdict the call has certainly not run.
            error = ApiError { .status = STATUS_UNAVAILABLE,
                .code = "log_unavailable",
                .message = it.message,
                .run = RunState::NotRun,
                .retryAfter = COME_BACK };
            return false;
        });
    if (error)
        return errorResponse(*error, id);
    if (!verdict->outcome.accepted())
        return awaitResult(context, claim.call, claim.bodyDigest);
    m_parts.metrics.count("calls_claimed");
    idempotency::ResultEntry result { .call = claim.call, .claim = verdict->offset, .end = CallOutcome::NotSent };
    // A holder that was paused past the deadline sends nothing any more.
    std::unique_ptr<AnswerRun> answer;
    if (m_parts.clock.now() < context.answerBy) {
        answer = run(request, context, target, claim.call.key.value());
        result.end = callEndOf(answer->end());
        result.status = answer->last().status;
        result.contentType = answer->last().contentType;
        result.body = answer->last().text;
    }
    handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(m_parts.replica.write(result, RESULT_PATIENCE));
            return true;
        },
        [&](const Failure&) {
            m_parts.metrics.count("results_recorded_late");
            return m_parts.replica.writeLater(result);
        });
    if (result.end == CallOutcome::Answered) {
        bill(context, answer->upstream());
        return respond(answer->last());
    }
    m_parts.metrics.count(result.end == CallOutcome::NotSent ? "calls_not_sent" : "calls_outcome_unknown");
    if (result.end == CallOutcome::Unknown)
        return errorResponse(unknownOutcome("the call was sent: " + answer->last().message), id);
    return errorResponse({ .status = STATUS_UNAVAILABLE,
                             .code = answer ? answer->last().code : "deadline",
                             .message = answer ? answer->last().message : "the deadline passed before the call",
                             .run = RunState::NotRun,
                             .retryAfter = COME_BACK },
        id);
}

http::Response ServiceCalls::awaitResult(
    const CallContext& context, const idempotency::CallKey& call, const std::string& bodyDigest) const
{
    std::optional<idempotency::ResultEntry> result;
    bool differs = false;
    const auto settled = [&](const ReplicaState& state) {
        const idempotency::ClaimState* claim = state.fold.claims().find(call);
        differs = claim && claim->bodyDigest != bodyDigest;
        if (claim && claim->result)
            result = claim->result;
        return differs || result.has_value();
    };
    m_parts.replica.await(settled, std::max(Duration(0), context.answerBy - m_parts.clock.now()));
    const std::string& id = context.request.value();
    if (differs) {
        return errorResponse({ .status = STATUS_UNPROCESSABLE,
                                 .code = "key_reused",
                                 .message = "the key was used with another request" },
            id);
    }
    if (!result || result->end == CallOutcome::Unknown)
        return errorResponse(unknownOutcome("another request with this key is under way or its answer was lost"), id);
    if (result->end == CallOutcome::Answered) {
        m_parts.metrics.count("calls_replayed");
        return replay(*result);
    }
    return errorResponse({ .status = STATUS_UNAVAILABLE,
                             .code = "not_sent",
                             .message = "another request with this key was not sent; try again",
                             .run = RunState::NotRun,
                             .retryAfter = COME_BACK },
        id);
}

}
