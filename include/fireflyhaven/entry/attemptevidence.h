#pragma once

#include "fireflyhaven/entry/requesttarget.h"

namespace fireflyhaven::entry {

// What the attempts of one request tell the roll-outs: which version serves the session, and how good and how fast the
// version's answers are. Does no I/O.
class AttemptEvidence {
public:
    AttemptEvidence(FlowContext& context, const CallerRequest& request, const RequestTarget& target)
        : m_context(context)
        , m_request(request)
        , m_target(target)
    {
    }

    // A request was sent to the upstream.
    void onSent(const catalog::UpstreamState& upstream, TimePoint now);
    void onFirstToken(
        const catalog::RouteName& route, const balancing::Ticket& ticket, const ResponseInfo& response, TimePoint now);
    // The upstream answered with an error.
    void onError(
        const catalog::RouteName& route, const balancing::Ticket& ticket, const ResponseInfo& response, TimePoint now);
    // The attempt was given up before its first token. Without a sample of it, the version would look fast just because
    // its slowest attempts are missing.
    void onGivenUp(const catalog::RouteName& route, const balancing::Ticket& ticket, TimePoint now);
    void recordSessionUse(TimePoint now);

private:
    std::optional<quality::LatencySample> latencySample(const balancing::Ticket& ticket, TimePoint now) const;
    rollout::AnswerSample sample(
        const catalog::RouteName& route, const balancing::Ticket& ticket, rollout::AnswerKind kind) const;

    FlowContext& m_context;
    const CallerRequest& m_request;
    const RequestTarget& m_target;
    // Of the upstream of the latest attempt.
    catalog::SoftwareVersion m_version;
    bool m_upstreamWasCold = false;
};

}
