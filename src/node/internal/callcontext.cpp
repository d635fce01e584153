#include "callcontext.h"
#include "fireflyhaven/http/types/status.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::node {

namespace {
constexpr Duration RETRY_AFTER { 1000 };
constexpr Duration LIMIT_RETRY_AFTER { 500 };
constexpr std::size_t MAX_REQUEST_ID_BYTES = 128;

std::string bearerToken(const http::Request& request)
{
    const std::string& header = request.header("authorization");
    const std::string scheme = "Bearer ";
    return header.rfind(scheme, 0) == 0 ? header.substr(scheme.size()) : std::string();
}

// Returns the deadline from the header, or none if the header is absent or invalid. Sets `invalid` in the latter case.
std::optional<Duration> parseDeadline(const http::Request& request, bool& invalid)
{
    const std::string& text = request.header("x-deadline-ms");
    if (text.empty())
        return std::nullopt;
    constexpr std::size_t MAX_DEADLINE_DIGITS = 9;
    invalid = text.size() > MAX_DEADLINE_DIGITS || text.find_first_not_of("0123456789") != std::string::npos
        || std::stol(text) == 0;
    return invalid ? std::nullopt : std::optional(Duration(std::stol(text)));
}

}

RequestId requestIdOf(const http::Request& request)
{
    const std::string& id = request.header("x-request-id");
    return RequestId(id.empty() || id.size() > MAX_REQUEST_ID_BYTES ? randomToken() : id);
}

AdmissionController::AdmissionController(EntryComponents components)
    : m_components(components)
    , m_retryBudget({})
{
}

std::shared_ptr<const RoutingView> AdmissionController::view()
{
    std::shared_ptr<const config::Lists> lists = m_components.replica.lists();
    absl::MutexLock lock(&m_mutex);
    if (!m_view || m_view->lists != lists)
        m_view = RoutingView::build(std::move(lists));
    return m_view;
}

RunDependencies AdmissionController::runDependencies()
{
    return { .clock = m_components.clock,
        .metrics = m_components.metrics,
        .replica = m_components.replica,
        .loadTracker = m_components.loadTracker,
        .router = m_components.router,
        .retryBudget = m_retryBudget,
        .retryBudgetMutex = m_retryBudgetMutex };
}

std::optional<ApiError> AdmissionController::checkHost() const
{
    if (m_components.settings.onStaleConfig == StaleConfigPolicy::Refuse && m_components.replica.isStale()) {
        return ApiError { .status = STATUS_UNAVAILABLE,
            .code = "stale_config",
            .message = "this host can reach neither the log nor a majority of its region",
            .run = RunState::NotRun,
            .retryAfter = RETRY_AFTER };
    }
    if (!m_components.billing.accepting()) {
        return ApiError { .status = STATUS_UNAVAILABLE,
            .code = "billing_backlog",
            .message = "too many bills wait for the log",
            .run = RunState::NotRun,
            .retryAfter = RETRY_AFTER };
    }
    return std::nullopt;
}

std::optional<ApiError> AdmissionController::checkLimits(const CallContext& context)
{
    const admission::RemoteDemand remoteDemand = m_components.loadTracker.peerDemand(context.workspace);
    const int hostCount = m_components.loadTracker.liveHostCount();
    const admission::WorkspaceLimits limits { .requestsPerSecond = context.plan.requestsPerSecond,
        .concurrency = context.plan.concurrency };
    absl::MutexLock lock(&m_mutex);
    const admission::LimitVerdict verdict
        = m_limiter.admit(context.workspace, limits, remoteDemand, hostCount, context.arrivedAt);
    if (verdict == admission::LimitVerdict::Admitted)
        return std::nullopt;
    const bool rateExceeded = verdict == admission::LimitVerdict::RateExceeded;
    return ApiError { .status = STATUS_TOO_MANY_REQUESTS,
        .code = rateExceeded ? "rate_limit" : "concurrency_limit",
        .message
        = rateExceeded ? "the plan's requests per second are used up" : "the plan's concurrent requests are used up",
        .run = RunState::NotRun,
        .retryAfter = LIMIT_RETRY_AFTER };
}

std::variant<CallContext, ApiError> AdmissionController::admitRequest(const http::Request& request, const RequestId& id)
{
    CallContext context { .request = id, .view = view(), .arrivedAt = m_components.clock.now() };
    if (request.header("x-request-id").size() > MAX_REQUEST_ID_BYTES)
        return ApiError { .status = STATUS_BAD_REQUEST, .code = "bad_request", .message = "X-Request-Id is too long" };
    if (std::optional<ApiError> error = checkHost())
        return *error;
    const std::string key = bearerToken(request);
    const auto workspace = context.view->workspaceByKeyDigest.find(key.empty() ? std::string() : digestHex(key));
    if (workspace == context.view->workspaceByKeyDigest.end()) {
        return ApiError { .status = STATUS_UNAUTHORIZED,
            .code = "unauthenticated",
            .message = "Authorization: Bearer with a workspace's key is needed" };
    }
    context.workspace = workspace->second;
    context.planName = context.view->lists->workspaces.at(context.workspace).value.plan;
    context.plan = context.view->lists->plans.at(context.planName).value;
    bool deadlineInvalid = false;
    const std::optional<Duration> deadline = parseDeadline(request, deadlineInvalid);
    if (deadlineInvalid) {
        return ApiError { .status = STATUS_BAD_REQUEST,
            .code = "bad_request",
            .message = "X-Deadline-Ms: expected a whole number of milliseconds above 0" };
    }
    context.answerBy = context.arrivedAt + std::min(context.plan.deadline, deadline.value_or(context.plan.deadline));
    if (std::optional<ApiError> error = checkLimits(context))
        return *error;
    m_components.metrics.count("requests_admitted");
    return context;
}

void AdmissionController::onRequestFinished(const CallContext& context)
{
    m_components.metrics.observe("request", m_components.clock.now() - context.arrivedAt);
    absl::MutexLock lock(&m_mutex);
    m_limiter.onFinished(context.workspace);
}

std::vector<membership::WorkspaceDemand> AdmissionController::demands() const
{
    constexpr double MAX_REPORTED_RATE = UINT16_MAX;
    const TimePoint now = m_components.clock.now();
    absl::MutexLock lock(&m_mutex);
    std::vector<membership::WorkspaceDemand> demands;
    for (const WorkspaceId& it : m_limiter.activeWorkspaces(now)) {
        demands.push_back({ .workspace = membership::shortIdOf(it.value()),
            .requestsPerSecond
            = static_cast<std::uint16_t>(std::min(MAX_REPORTED_RATE, std::ceil(m_limiter.demand(it, now)))),
            .inFlight = static_cast<std::uint16_t>(m_limiter.inFlight(it)) });
    }
    return demands;
}

nlohmann::json AdmissionController::dump() const
{
    const TimePoint now = m_components.clock.now();
    absl::MutexLock lock(&m_mutex);
    nlohmann::json workspaces = nlohmann::json::object();
    for (const WorkspaceId& it : m_limiter.activeWorkspaces(now)) {
        workspaces[it.value()]
            = { { "requests_per_second", m_limiter.demand(it, now) }, { "in_flight", m_limiter.inFlight(it) } };
    }
    return workspaces;
}

}
