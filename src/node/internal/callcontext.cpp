#include "callcontext.h"
#include "fireflyhaven/http/types/status.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::node {

namespace {
constexpr Duration COME_BACK { 1000 };
constexpr Duration LIMIT_COME_BACK { 500 };
constexpr std::size_t LONGEST_REQUEST_ID = 128;

std::string bearerOf(const http::Request& request)
{
    const std::string& header = request.header("authorization");
    const std::string scheme = "Bearer ";
    return header.rfind(scheme, 0) == 0 ? header.substr(scheme.size()) : std::string();
}

// Deadline in milliseconds from the header; none where it is absent, an error text where it is wrong.
std::optional<Duration> deadlineOf(const http::Request& request, bool& wrong)
{
    const std::string& text = request.header("x-deadline-ms");
    if (text.empty())
        return std::nullopt;
    constexpr std::size_t LONGEST_NUMBER = 9;
    wrong = text.size() > LONGEST_NUMBER || text.find_first_not_of("0123456789") != std::string::npos
        || std::stol(text) == 0;
    return wrong ? std::nullopt : std::optional(Duration(std::stol(text)));
}

}

RequestId requestIdOf(const http::Request& request)
{
    const std::string& id = request.header("x-request-id");
    return RequestId(id.empty() || id.size() > LONGEST_REQUEST_ID ? randomToken() : id);
}

Gatekeeper::Gatekeeper(EntryParts parts)
    : m_parts(parts)
    , m_budget({})
{
}

std::shared_ptr<const RoutingView> Gatekeeper::view()
{
    std::shared_ptr<const config::Lists> lists = m_parts.replica.lists();
    absl::MutexLock lock(&m_mutex);
    if (!m_view || m_view->lists != lists)
        m_view = RoutingView::build(std::move(lists));
    return m_view;
}

RunDeps Gatekeeper::runDeps()
{
    return { .clock = m_parts.clock,
        .metrics = m_parts.metrics,
        .replica = m_parts.replica,
        .board = m_parts.board,
        .router = m_parts.router,
        .budget = m_budget,
        .budgetMutex = m_budgetMutex };
}

std::optional<ApiError> Gatekeeper::checkHost() const
{
    if (m_parts.settings.onStaleConfig == StalePolicy::Refuse && m_parts.replica.isStale()) {
        return ApiError { .status = STATUS_UNAVAILABLE,
            .code = "stale_config",
            .message = "this host can reach neither the log nor a majority of its region",
            .run = RunState::NotRun,
            .retryAfter = COME_BACK };
    }
    if (!m_parts.billing.accepting()) {
        return ApiError { .status = STATUS_UNAVAILABLE,
            .code = "billing_backlog",
            .message = "too many bills wait for the log",
            .run = RunState::NotRun,
            .retryAfter = COME_BACK };
    }
    return std::nullopt;
}

std::optional<ApiError> Gatekeeper::checkLimits(const CallContext& context)
{
    const admission::RemoteDemand others = m_parts.board.othersDemand(context.workspace);
    const int hosts = m_parts.board.hosts();
    const admission::WorkspaceLimits limits { .requestsPerSecond = context.plan.requestsPerSecond,
        .concurrency = context.plan.concurrency };
    absl::MutexLock lock(&m_mutex);
    const admission::LimitVerdict verdict
        = m_limiter.admit(context.workspace, limits, others, hosts, context.arrivedAt);
    if (verdict == admission::LimitVerdict::Admitted)
        return std::nullopt;
    const bool rate = verdict == admission::LimitVerdict::RateExceeded;
    return ApiError { .status = STATUS_TOO_MANY_REQUESTS,
        .code = rate ? "rate_limit" : "concurrency_limit",
        .message = rate ? "the plan's requests per second are used up" : "the plan's concurrent requests are used up",
        .run = RunState::NotRun,
        .retryAfter = LIMIT_COME_BACK };
}

std::variant<CallContext, ApiError> Gatekeeper::enter(const http::Request& request, const RequestId& id)
{
    CallContext context { .request = id, .view = view(), .arrivedAt = m_parts.clock.now() };
    if (request.header("x-request-id").size() > LONGEST_REQUEST_ID)
        return ApiError { .status = STATUS_BAD_REQUEST, .code = "bad_request", .message = "X-Request-Id is too long" };
    if (std::optional<ApiError> error = checkHost())
        return *error;
    const std::string key = bearerOf(request);
    const auto workspace = context.view->workspaceByKey.find(key.empty() ? std::string() : digestHex(key));
    if (workspace == context.view->workspaceByKey.end()) {
        return ApiError { .status = STATUS_UNAUTHORIZED,
            .code = "unauthenticated",
            .message = "Authorization: Bearer with a workspace's key is needed" };
    }
    context.workspace = workspace->second;
    context.planName = context.view->lists->workspaces.at(context.workspace).value.plan;
    context.plan = context.view->lists->plans.at(context.planName).value;
    bool wrongDeadline = false;
    const std::optional<Duration> deadline = deadlineOf(request, wrongDeadline);
    if (wrongDeadline) {
        return ApiError { .status = STATUS_BAD_REQUEST,
            .code = "bad_request",
            .message = "X-Deadline-Ms: expected a whole number of milliseconds above 0" };
    }
    context.answerBy = context.arrivedAt + std::min(context.plan.deadline, deadline.value_or(context.plan.deadline));
    if (std::optional<ApiError> error = checkLimits(context))
        return *error;
    m_parts.metrics.count("requests_admitted");
    return context;
}

void Gatekeeper::finish(const CallContext& context)
{
    m_parts.metrics.observe("request", m_parts.clock.now() - context.arrivedAt);
    absl::MutexLock lock(&m_mutex);
    m_limiter.onFinished(context.workspace);
}

std::vector<membership::WorkspaceDemand> Gatekeeper::demands() const
{
    constexpr double LARGEST = UINT16_MAX;
    const TimePoint now = m_parts.clock.now();
    absl::MutexLock lock(&m_mutex);
    std::vector<membership::WorkspaceDemand> demands;
    for (const WorkspaceId& it : m_limiter.activeWorkspaces(now)) {
        demands.push_back({ .workspace = membership::shortIdOf(it.value()),
            .requestsPerSecond = static_cast<std::uint16_t>(std::min(LARGEST, std::ceil(m_limiter.demand(it, now)))),
            .inFlight = static_cast<std::uint16_t>(m_limiter.inFlight(it)) });
    }
    return demands;
}

nlohmann::json Gatekeeper::dump() const
{
    const TimePoint now = m_parts.clock.now();
    absl::MutexLock lock(&m_mutex);
    nlohmann::json workspaces = nlohmann::json::object();
    for (const WorkspaceId& it : m_limiter.activeWorkspaces(now)) {
        workspaces[it.value()]
            = { { "requests_per_second", m_limiter.demand(it, now) }, { "in_flight", m_limiter.inFlight(it) } };
    }
    return workspaces;
}

}
