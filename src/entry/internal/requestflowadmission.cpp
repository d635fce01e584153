#include "fireflyhaven/entry/requestflow.h"

#include "fireflyhaven/common/hash.h"
#include "fireflyhaven/http/types/status.h"

// The part of the request flow that admits requests, and refuses those that are not.
namespace fireflyhaven::entry {

namespace {

// Retry delay sent to callers that are refused before any estimate of the wait exists.
constexpr Duration MIN_RETRY_AFTER { 300 };
constexpr double MIN_RETRY_SPREAD = 0.75;
constexpr double MAX_RETRY_SPREAD = 1.25;

// In [0, 1), from the attempt's id.
double spreadOf(const CallerRequest& request) { return unitInterval(stableHash(request.attempt.value())); }

}

void RequestFlow::begin(TimePoint now)
{
    m_receivedAt = now;
    if (!m_context.host.isCatalogLoaded() && awaitCatalog(now))
        return armTimer();
    start(now);
}

// A host that has just started is about to learn what it needs.
bool RequestFlow::awaitCatalog(TimePoint now)
{
    const auto end = m_context.startupQueue.offer({ .id = m_waitingTicket,
                                                      .bytes = m_request.bodyBytes,
                                                      .deadline = m_request.deadline,
                                                      .spread = spreadOf(m_request) },
        now);
    if (!end)
        return false;
    m_deadline = *end;
    m_stage = Stage::AwaitingCatalog;
    report(event(FlowStep::Queued, "configuration not loaded yet"), now);
    return true;
}

void RequestFlow::onCatalogLoaded(TimePoint now)
{
    if (m_stage != Stage::AwaitingCatalog)
        return;
    m_context.startupQueue.remove(m_waitingTicket);
    m_stage = Stage::Received;
    start(now);
}

int RequestFlow::priority() const
{
    const auto route = m_route ? m_route : m_context.catalog.routes().find(m_request.host, m_request.path);
    const auto caller = m_caller || !m_request.key ? m_caller : m_context.catalog.callerOf(*m_request.key);
    if (caller && caller->priority)
        return *caller->priority;
    return route ? route->priority : catalog::Route().priority;
}

void RequestFlow::start(TimePoint now)
{
    if (!admit(now))
        return;
    m_target.selectFrom(*m_route);
    m_context.retries.onRequest(m_target.service(), now);
    m_deadline = m_receivedAt + std::min(m_request.deadline.value_or(m_route->timeout), m_route->timeout);
    dispatch(now);
    armTimer();
}

bool RequestFlow::admit(TimePoint now)
{
    const catalog::Catalog& catalog = m_context.catalog;
    if (!catalog.hasConfiguration()) {
        respondLocally(FlowStep::Refused, STATUS_UNAVAILABLE, MIN_RETRY_AFTER, "no configuration loaded yet", now);
        return false;
    }
    m_route = catalog.routes().find(m_request.host, m_request.path);
    if (!m_route || m_route->services.empty()) {
        // The local copy may lack a new route while the store cannot be read, so 404 needs a current copy.
        const bool catalogCurrent = m_context.host.isCatalogCurrent(now);
        respondLocally(catalogCurrent ? FlowStep::Rejected : FlowStep::Refused,
            catalogCurrent ? STATUS_NOT_FOUND : STATUS_UNAVAILABLE,
            catalogCurrent ? std::nullopt : std::optional(MIN_RETRY_AFTER), "no matching route", now);
        return false;
    }
    if (m_route->hasModelList && m_route->models.empty()) {
        refuse(STATUS_UNAVAILABLE, MIN_RETRY_AFTER, "the route's list of models permits none", now);
        return false;
    }
    if (m_context.host.isBehindOthers(now)) {
        // The route may have been changed or dropped.
        refuse(STATUS_UNAVAILABLE, MIN_RETRY_AFTER, "configuration not confirmed recently enough", now);
        return false;
    }
    if (!m_context.host.acceptsRequests(m_route->kind, now)) {
        respondLocally(FlowStep::Refused, STATUS_UNAVAILABLE, Duration(0), "host is draining", now);
        return false;
    }
    return !needsCaller() || authenticate(now);
}

bool RequestFlow::needsCaller() const { return m_context.catalog.requiresApiKeys() && !m_route->anonymous; }

bool RequestFlow::authenticate(TimePoint now)
{
    if (!m_context.host.mayAcceptKeys(now)) {
        refuse(STATUS_UNAVAILABLE, MIN_RETRY_AFTER, "API keys not confirmed recently enough", now);
        return false;
    }
    m_caller = m_request.key ? m_context.catalog.callerOf(*m_request.key) : std::nullopt;
    if (m_caller)
        return true;
    const bool catalogCurrent = m_context.host.isCatalogCurrent(now);
    respondLocally(catalogCurrent ? FlowStep::Rejected : FlowStep::Refused,
        catalogCurrent ? STATUS_UNAUTHORIZED : STATUS_UNAVAILABLE,
        catalogCurrent ? std::nullopt : std::optional(MIN_RETRY_AFTER), "unknown API key", now);
    return false;
}

void RequestFlow::refuse(int status, std::optional<Duration> retryAfter, std::string_view reason, TimePoint now)
{
    if (retryAfter)
        retryAfter = spread(*retryAfter, MIN_RETRY_SPREAD, MAX_RETRY_SPREAD);
    respondLocally(FlowStep::Refused, status, retryAfter, reason, now);
}

// Callers that are refused together do not retry together.
Duration RequestFlow::spread(Duration retryAfter, double minFactor, double maxFactor) const
{
    const double factor = minFactor + (maxFactor - minFactor) * spreadOf(m_request);
    return Duration(static_cast<Duration::rep>(static_cast<double>(retryAfter.count()) * factor));
}

}
