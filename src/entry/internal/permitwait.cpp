#include "fireflyhaven/entry/permitwait.h"

#include <algorithm>

namespace fireflyhaven::entry {

namespace {
// Time for which an upstream is left alone after a refusal, at least.
constexpr Duration MIN_REFUSAL { 20 };
}

PermitWait::PermitWait(FlowContext& context, admission::TicketId request)
    : m_context(context)
    , m_request(request)
{
}

PermitWait::~PermitWait() { end(); }

void PermitWait::begin(const balancing::PermitNeed& need, TimePoint now)
{
    end();
    m_need = need;
    m_answerDueAt = now + m_context.options.permitTimeout;
    m_context.balancer.onPermitRequested(need.upstream);
    m_context.limitLink.requestPermit(m_request, need);
}

void PermitWait::end()
{
    if (isUndecided())
        m_context.balancer.onPermitClosed(m_need->upstream);
    m_need.reset();
    m_validAt.reset();
}

void PermitWait::onGranted(Duration wait, TimePoint now)
{
    m_context.balancer.onPermitClosed(m_need->upstream);
    m_validAt = now + wait;
}

void PermitWait::onRefused(const ratelimit::PermitDecision& decision, TimePoint now)
{
    m_retryAfter = decision.retryAfter;
    m_context.balancer.onPermitRefused(m_need->upstream, now + std::max(decision.wait, MIN_REFUSAL));
    end();
}

void PermitWait::onUnanswered(TimePoint now)
{
    const Duration pause = m_context.options.unansweredPermitPause;
    onRefused({ .wait = pause, .retryAfter = pause }, now);
}

bool PermitWait::isValid(TimePoint now) const
{
    return m_validAt && now >= *m_validAt && now - *m_validAt <= m_context.options.maxPermitAge;
}

}
