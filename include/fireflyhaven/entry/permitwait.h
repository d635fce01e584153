#pragma once

#include "fireflyhaven/entry/flowcontext.h"

namespace fireflyhaven::entry {

// One request's wait for a permit to be sent to a limited upstream: until its issuer decides, and then until the permit
// becomes valid. Does no I/O.
class PermitWait {
public:
    // `request` identifies the flow that waits.
    PermitWait(FlowContext& context, admission::TicketId request);
    ~PermitWait();
    PermitWait(const PermitWait&) = delete;
    PermitWait& operator=(const PermitWait&) = delete;

    // Asks for a permit. At most one wait is open at a time.
    void begin(const balancing::PermitNeed& need, TimePoint now);
    // The request was sent, so that refusals of the past no longer count.
    void onSent() { m_refusals = 0; }
    // Whether so many permits were refused to the request that it asks for another one only if it can wait for it.
    bool isRefusedRepeatedly() const;
    // Ends the wait, whatever its state.
    void end();

    bool isOpen() const { return m_need.has_value(); }
    // Whether the issuer's decision is still to come.
    bool isUndecided() const { return m_need && !m_validAt; }
    // The upstream that the open wait is for.
    const UpstreamId& upstream() const { return m_need->upstream; }
    void onGranted(Duration wait, TimePoint now);
    // Marks the upstream as having no permits for a while, and ends the wait.
    void onRefused(const ratelimit::PermitDecision& decision, TimePoint now);
    // The same for an issuer that has not answered in time.
    void onUnanswered(TimePoint now);

    // When the wait changes its state without a message.
    TimePoint timerAt() const { return m_validAt.value_or(m_answerDueAt); }
    // Whether the granted permit may be used.
    bool isValid(TimePoint now) const;
    // What the latest refusal said of the time to return; zero if there was none.
    Duration retryAfter() const { return m_retryAfter; }

private:
    FlowContext& m_context;
    const admission::TicketId m_request;
    // No value while no wait is open.
    std::optional<balancing::PermitNeed> m_need;
    TimePoint m_answerDueAt {};
    // No value until the permit is granted.
    std::optional<TimePoint> m_validAt;
    Duration m_retryAfter {};
    int m_refusals = 0;
};

}
