#include "decisionlog.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <iterator>

namespace fireflyhaven::entry {

namespace {

constexpr Duration SECOND { 1000 };

bool isRoutine(FlowStep step)
{
    return step == FlowStep::Sent || step == FlowStep::Answered || step == FlowStep::Queued
        || step == FlowStep::Escalated;
}

}

DecisionLog::DecisionLog(const IClock& clock, DecisionLogOptions options)
    : m_clock(clock)
    , m_options(options)
{
}

std::uint64_t DecisionLog::count(FlowStep step) const
{
    const auto it = m_counts.find(step);
    return it == m_counts.end() ? 0 : it->second;
}

bool DecisionLog::mayWriteRoutine(TimePoint now)
{
    if (now - m_secondBegan >= SECOND) {
        m_secondBegan = now;
        m_linesThisSecond = 0;
    }
    return m_linesThisSecond++ < m_options.routineLinesPerSecond;
}

void DecisionLog::onFlowEvent(const FlowEvent& event)
{
    ++m_counts[event.step];
    if (isRoutine(event.step) && !mayWriteRoutine(m_clock.now()))
        return;
    fmt::memory_buffer line;
    const auto out = std::back_inserter(line);
    fmt::format_to(out, "request {} {}", event.request.attempt.value(), flowStepName(event.step));
    if (event.route)
        fmt::format_to(out, " route={}", event.route->name.value());
    if (event.upstream)
        fmt::format_to(out, " upstream={}", event.upstream->value());
    if (!event.model.empty())
        fmt::format_to(out, " model={}", event.model.value());
    if (event.status != 0)
        fmt::format_to(out, " status={}", event.status);
    if (event.confidence)
        fmt::format_to(out, " confidence={}", *event.confidence);
    if (event.expected)
        fmt::format_to(out, " expected_ms={}", event.expected->count());
    if (event.retryAfter)
        fmt::format_to(out, " retry_after_ms={}", event.retryAfter->count());
    fmt::format_to(out, " elapsed_ms={} sends={} configuration={} configuration_age_ms={}", event.elapsed.count(),
        event.sends, event.configuration.value(), event.configurationAge.count());
    if (!event.reason.empty())
        fmt::format_to(out, " reason=\"{}\"", event.reason);
    spdlog::info("{}", std::string_view(line.data(), line.size()));
}

}
