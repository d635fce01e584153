#include "fireflyhaven/entry/permitwait.h"

#include <algorithm>

namespace fireflyhaven::entry {

namespace {
// Time for which an upstream is left alone after a refusal, at least.
constexpr Duration MIN_REFUSAL { 20 };
// Refusals after which a request goes to an upstream without a limit, or waits for a permit if there is none.
constexpr int MAX_REFUSALS = 3;
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
    if (isRefusedRepeatedly())
        m_need->maxWait = m_need->longestWait;
    m_answerDueAt = now + m_context.options.permitTimeout;
    m_context.balancer.onPermitRequested(need.upstream);
    m_context.limitLink.requestPermit(m_request, *m_need);
}

void PermitWait::end()
{
    if (isUndecided())
        m_context.balancer.onPermitClosed(m_need->upstream);
    m_need.reset();
    m_validAt.reset();
}

bool PermitWait::isRefusedRepeatedly() const { return m_refusals >= MAX_REFUSALS; }

void PermitWait::onGranted(Duration wait, TimePoint now)
{
    m_context.balancer.onPermitClosed(m_need->upstream);
    m_validAt = now + wait;
}

void PermitWait::onRefused(const ratelimit::PermitDecision& decision, TimePoint now)
{
    ++m_refusals;
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
