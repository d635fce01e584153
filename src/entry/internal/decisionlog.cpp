#include "decisionlog.h"

#include "fireflyhaven/telemetry/logevent.h"
#include "lognames.h"

#include <cstdlib>

namespace fireflyhaven::entry {

namespace {

constexpr Duration RATE_WINDOW { 1000 };
// Upstreams that are remembered for having sent an unreadable load report; beyond it all are forgotten.
constexpr std::size_t MAX_REMEMBERED_UPSTREAMS = 4096;

bool isRoutine(FlowStep step)
{
    return step == FlowStep::Sent || step == FlowStep::Answered || step == FlowStep::Queued
        || step == FlowStep::Escalated;
}

bool isFailure(FlowStep step)
{
    return step == FlowStep::Refused || step == FlowStep::Failed || step == FlowStep::Aborted
        || step == FlowStep::AttemptFailed || step == FlowStep::LimitUnreadable || step == FlowStep::LoadUnreadable;
}

// Whether the request is finished: answered, or never to be answered.
bool isTerminal(FlowStep step)
{
    return step == FlowStep::Answered || step == FlowStep::Rejected || step == FlowStep::Refused
        || step == FlowStep::Failed || step == FlowStep::Aborted || step == FlowStep::CallerLeft;
}

// Ids of the parts of the prompt, in prompt order.
std::string partIds(const CallerRequest& request)
{
    std::string ids;
    for (const balancing::PromptPart& it : request.promptParts)
        ids += (ids.empty() ? "" : ",") + partId(it.id);
    return ids;
}

telemetry::LogFields logFields(const FlowEvent& event)
{
    telemetry::LogFields fields { { "request", event.request.attempt.value() } };
    if (event.route)
        fields["route"] = event.route->name.value();
    if (event.upstream)
        fields["upstream"] = event.upstream->value();
    if (!event.model.empty())
        fields["model"] = event.model.value();
    if (event.status != 0)
        fields["status"] = event.status;
    if (event.confidence)
        fields["confidence"] = *event.confidence;
    if (event.expected)
        fields["expected_ms"] = event.expected->count();
    if (event.step == FlowStep::AttemptFailed) {
        fields["since_head_ms"] = event.sinceHead ? nlohmann::ordered_json(event.sinceHead->count()) : nullptr;
        fields["prompt_parts"] = partIds(event.request);
    }
    if (event.step == FlowStep::AttemptFailed && event.request.digest)
        fields["request_digest"] = partId(PromptPartId(event.request.digest->value()));
    if (event.refusal)
        fields[event.refusal->isWholeRequest ? "refused_request" : "refused_part"] = partId(event.refusal->part);
    if (event.limit)
        fields["limit_per_second"] = event.limit->perSecond();
    if (event.retryAfter)
        fields["retry_after_ms"] = event.retryAfter->count();
    fields["elapsed_ms"] = event.elapsed.count();
    fields["sends"] = event.sends;
    fields["configuration"] = event.configuration.value();
    fields["configuration_age_ms"] = event.configurationAge.count();
    if (!event.reason.empty())
        fields["reason"] = event.reason;
    return fields;
}

}

DecisionLog::DecisionLog(const IClock& clock, telemetry::Metrics& metrics, DecisionLogOptions options)
    : m_clock(clock)
    , m_metrics(metrics)
    , m_options(options)
{
}

bool DecisionLog::acquireRoutineLine(TimePoint now)
{
    if (now - m_windowStart >= RATE_WINDOW) {
        m_windowStart = now;
        m_linesInWindow = 0;
    }
    return m_linesInWindow++ < m_options.maxRoutineLinesPerSecond;
}

void DecisionLog::recordMetrics(const FlowEvent& event)
{
    const std::string route = event.route ? event.route->name.value() : "none";
    m_metrics.count("request_steps", 1, { { "step", flowStepName(event.step) } });
    if (event.step == FlowStep::Sent && event.limit)
        m_metrics.count("sends_to_limited_upstreams");
    if (event.step == FlowStep::FirstToken) {
        m_metrics.observe("first_token", event.elapsed, { { "route", route } });
        m_metrics.observe("first_token_prediction_error", std::chrono::abs(*event.observed - *event.expected));
    }
    if (event.step == FlowStep::Refused && event.refusal)
        m_metrics.count(
            event.refusal->isWholeRequest ? "requests_refused_as_such" : "requests_refused_for_prompt_part");
    if (isTerminal(event.step)) {
        m_metrics.count("requests", 1, { { "route", route }, { "outcome", flowStepName(event.step) } });
        m_metrics.observe("request_duration", event.elapsed, { { "route", route } });
    }
}

bool DecisionLog::isFirstUnreadableLoad(const FlowEvent& event)
{
    if (m_unreadableLoadsLogged.size() >= MAX_REMEMBERED_UPSTREAMS)
        m_unreadableLoadsLogged.clear();
    return m_unreadableLoadsLogged.insert(event.upstream.value_or(UpstreamId())).second;
}

void DecisionLog::onFlowEvent(const FlowEvent& event)
{
    recordMetrics(event);
    if (event.step == FlowStep::FirstToken)
        return;
    if (event.step == FlowStep::LoadUnreadable && !isFirstUnreadableLoad(event))
        return;
    if (isRoutine(event.step) && !acquireRoutineLine(m_clock.now())) {
        m_metrics.count("log_lines_sampled_out");
        return;
    }
    const auto level = isFailure(event.step) ? spdlog::level::warn : spdlog::level::info;
    telemetry::logEvent(level, std::string("request_") + flowStepName(event.step), logFields(event));
}

}
