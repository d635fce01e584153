#include "limitnotice.h"

#include "fireflyhaven/http/types/status.h"

namespace fireflyhaven::entry {

std::optional<FlowStep> applyLimitNotice(
    FlowContext& context, const balancing::Ticket& ticket, const ResponseInfo& response, TimePoint now)
{
    // A misdirected request was answered by another upstream.
    if (response.status == STATUS_MISDIRECTED)
        return std::nullopt;
    if (response.requestLimitUnreadable)
        return FlowStep::LimitUnreadable;
    // Errors may come from a part of the upstream that does not know the limit, so they do not end it.
    if (!response.requestLimit && !isSuccess(response.status))
        return std::nullopt;
    const ratelimit::LimitAnswer answer {
        .upstream = ratelimit::incarnationOf(ticket.upstream, ticket.upstreamStartedAtMs),
        .limit = response.requestLimit,
        .sentAt = ticket.sentAt,
    };
    const ratelimit::LimitChange change = context.limits.onAnswer(answer, now);
    if (change == ratelimit::LimitChange::None)
        return std::nullopt;
    context.limitLink.announceLimits();
    return change == ratelimit::LimitChange::Named ? FlowStep::LimitNamed : FlowStep::LimitEnded;
}

}
