#include "fireflyhaven/entry/attemptevidence.h"

namespace fireflyhaven::entry {

namespace {

// Added to observed and expected times, so that differences of a few milliseconds do not dominate their ratio.
constexpr double TIME_OFFSET_MS = 5;

// Fraction of the upstream's slots that were in use when it responded.
std::optional<double> reportedUtilisation(const ResponseInfo& response)
{
    if (!response.load || !response.load->running || response.load->slots.value_or(0) == 0)
        return std::nullopt;
    return static_cast<double>(*response.load->running) / *response.load->slots;
}

}

void AttemptEvidence::onSent(const catalog::UpstreamState& upstream, TimePoint now)
{
    m_version = upstream.upstream.version;
    m_upstreamWasCold = upstream.isCold(now);
    recordSessionUse(now);
}

void AttemptEvidence::onFirstToken(
    const catalog::RouteName& route, const balancing::Ticket& ticket, const ResponseInfo& response, TimePoint now)
{
    rollout::AnswerSample it = sample(route, ticket, rollout::AnswerKind::Good);
    it.time = latencySample(ticket, now);
    it.load = reportedUtilisation(response);
    m_context.rollouts.onAnswer(it, now);
}

void AttemptEvidence::onError(
    const catalog::RouteName& route, const balancing::Ticket& ticket, const ResponseInfo& response, TimePoint now)
{
    rollout::AnswerSample it = sample(route, ticket, rollout::AnswerKind::Failed);
    it.load = reportedUtilisation(response);
    m_context.rollouts.onAnswer(it, now);
}

void AttemptEvidence::onGivenUp(const catalog::RouteName& route, const balancing::Ticket& ticket, TimePoint now)
{
    if (m_context.reach.isCutOff())
        return;
    rollout::AnswerSample it = sample(route, ticket, rollout::AnswerKind::Overdue);
    it.time = latencySample(ticket, now);
    if (it.time && it.time->ratio > 1)
        m_context.rollouts.onAnswer(it, now);
}

void AttemptEvidence::recordSessionUse(TimePoint now)
{
    if (m_request.session)
        m_context.rollouts.onSessionUsed(m_target.service(), m_target.sessionHash(), m_version, now);
}

rollout::AnswerSample AttemptEvidence::sample(
    const catalog::RouteName& route, const balancing::Ticket& ticket, rollout::AnswerKind kind) const
{
    return {
        .service = m_target.service(), .route = route, .version = m_version, .upstream = ticket.upstream, .kind = kind
    };
}

// Observed time to first token relative to the prediction for an upstream of normal speed; no value if the upstream was
// in cold start when the request was sent.
std::optional<quality::LatencySample> AttemptEvidence::latencySample(
    const balancing::Ticket& ticket, TimePoint now) const
{
    if (m_upstreamWasCold)
        return std::nullopt;
    const auto observed = static_cast<double>((now - ticket.sentAt).count());
    const auto expected = static_cast<double>(ticket.baselineTime.count());
    return quality::LatencySample { .ratio = (observed + TIME_OFFSET_MS) / (expected + TIME_OFFSET_MS),
        .weight = expected + TIME_OFFSET_MS };
}

}
