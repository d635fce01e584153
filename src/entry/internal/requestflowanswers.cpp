#include "fireflyhaven/entry/requestflow.h"

#include "fireflyhaven/http/types/status.h"
#include "limitnotice.h"

#include <algorithm>

// The part of the request flow that handles the responses of upstreams.
namespace fireflyhaven::entry {

using balancing::SendOutcome;

namespace {

constexpr std::size_t MAX_BUFFERED_BYTES = 1024 * 1024;

// Whether the upstream states that it did not run the request, and another upstream may be able to.
bool wasRefusedUnexecuted(const ResponseInfo& info)
{
    if (info.status == STATUS_MISDIRECTED)
        return true;
    return info.notExecuted && (info.status == STATUS_UNAVAILABLE || info.status == STATUS_TOO_MANY_REQUESTS);
}

// Whether the response is the upstream's own word. A success that says that the request has not run contradicts itself.
bool isTrusted(const ResponseInfo& info)
{
    if (info.isSigned && !info.hasContentCoding)
        return true;
    return wasRefusedUnexecuted(info) || (info.notExecuted && !isSuccess(info.status));
}

// Whether the response may be the one to this attempt. Upstreams name the attempt in all responses, so that a refusal
// which names none may be bytes behind the response to an earlier request on the same connection.
bool belongsTo(const ResponseInfo& info, const AttemptId& attempt)
{
    if (info.attempt.empty())
        return attempt.empty() || !wasRefusedUnexecuted(info);
    return info.attempt == attempt;
}

}

http::HeadVerdict RequestFlow::onAttemptHead(const ResponseInfo& info, const http::ResponseHead& head, TimePoint now)
{
    if (!belongsTo(info, m_request.attempt))
        return http::HeadVerdict::Skip;
    if (!isTrusted(info)) {
        m_actions.cancelAttempt();
        onAttemptUnusable(SendOutcome::Failed, "response unsigned or with a content coding", now);
        return http::HeadVerdict::Accept;
    }
    m_responseInfo = info;
    m_headAt = now;
    m_context.reach.onAnswered(now);
    if (!info.notExecuted && !wasRefusedUnexecuted(info))
        m_context.poisonGuard.onAnswerBegun(poison::AttemptNumber(m_ticket->number), now);
    // The attempt makes progress, so that its replacement is no longer wanted.
    m_permit.end();
    applyUpstreamNotices(now);
    const bool success = isSuccess(info.status);
    if (success) {
        m_mayHaveRun = true;
        m_context.balancer.onFirstToken(*m_ticket, now);
        FlowEvent firstToken = event(FlowStep::FirstToken);
        firstToken.expected = m_ticket->expectedTimeToFirstToken();
        firstToken.observed = now - m_ticket->sentAt;
        report(firstToken, now);
        m_evidence.onFirstToken(m_route->name, *m_ticket, m_responseInfo, now);
        if (m_target.selectsModel() && info.confidence)
            m_context.escalationPolicy.onConfidence(m_target.service(), m_target.modelName(), *info.confidence);
    }
    if (!m_headSent)
        m_head = head;
    if (!success || !escalate(now))
        beginAnswer(now);
    return http::HeadVerdict::Accept;
}

void RequestFlow::beginAnswer(TimePoint now)
{
    const bool isStream = m_route->kind == catalog::RouteKind::Streaming && isSuccess(m_responseInfo.status)
        && m_responseInfo.isEventStream;
    m_stage = isStream ? Stage::Streaming : Stage::Buffering;
    onProgress(now);
    armTimer();
}

void RequestFlow::releaseHeldAnswer(TimePoint now)
{
    const std::string bytes = std::exchange(m_heldBytes, {});
    const bool ended = std::exchange(m_heldAnswerEnded, false);
    beginAnswer(now);
    onAttemptData(bytes, now);
    if (ended && m_stage != Stage::Done)
        onAttemptEnd(now);
}

void RequestFlow::applyUpstreamNotices(TimePoint now)
{
    if (m_responseInfo.isDraining)
        m_context.balancer.onDraining(*m_ticket, now);
    if (m_responseInfo.status == STATUS_UNAVAILABLE && m_responseInfo.retryAfter)
        m_context.balancer.onBackoff(*m_ticket, *m_responseInfo.retryAfter, now);
    if (const auto step = applyLimitNotice(m_context, *m_ticket, m_responseInfo, now)) {
        FlowEvent notice = event(*step);
        notice.limit = m_responseInfo.requestLimit;
        report(notice, now);
    }
    if (!m_responseInfo.load || m_responseInfo.status == STATUS_MISDIRECTED)
        return;
    m_context.balancer.onLoadReport(*m_ticket, *m_responseInfo.load, now);
    if (m_responseInfo.load->hasUnreadableFigure)
        report(event(FlowStep::LoadUnreadable), now);
}

TimePoint RequestFlow::nextEventDeadline(TimePoint now) const
{
    const double gapMs = static_cast<double>(m_route->targetGap.count()) * m_context.options.eventGapFactor;
    // Prefill of other prompts at the upstream delays the events of running streams.
    return now + Duration(static_cast<Duration::rep>(gapMs))
        + m_context.balancer.pendingPrefill(m_ticket->upstream, now);
}

void RequestFlow::recordGivenUpAttempt(TimePoint now)
{
    if (m_stage == Stage::AwaitingHead && m_ticket)
        m_evidence.onGivenUp(m_route->name, *m_ticket, now);
}

bool RequestFlow::escalate(TimePoint now)
{
    if (!m_target.selectsModel() || m_headSent || !m_responseInfo.confidence || !mayRetry(true, now))
        return false;
    const auto escalation
        = chooseEscalation(m_context, m_target, *m_route, *m_responseInfo.confidence, m_receivedAt, now);
    if (!escalation)
        return false;
    auto need = m_context.balancer.neededPermit(
        m_target.requirements(escalation->model, now), m_context.host.sendingHostCount(now), now);
    if (need && m_permit.isRefusedRepeatedly())
        return false;
    if (need) {
        // The answer is kept until the permit is granted, because the larger model may not be had.
        need->maxWait = std::min(need->maxWait, escalation->slack);
        m_escalation = *escalation;
        m_stage = Stage::HoldingAnswer;
        m_attemptDeadline.reset();
        m_permit.begin(*need, now);
        armTimer();
        return true;
    }
    return escalateTo(*escalation, std::nullopt, now);
}

bool RequestFlow::escalateTo(const Escalation& escalation, const std::optional<UpstreamId>& permitted, TimePoint now)
{
    if (!isAwaited(now) || failIfItCrashesUpstreams(now))
        return true;
    auto ticket = pickBeside(m_target.requirements(escalation.model, now), permitted, now);
    if (!ticket)
        return false;
    FlowEvent escalated = event(FlowStep::Escalated);
    escalated.confidence = m_responseInfo.confidence;
    escalated.expected = escalation.expected;
    report(escalated, now);
    dropAnswer(now);
    m_target.setModelIndex(escalation.model);
    send(std::move(*ticket), now);
    armTimer();
    return true;
}

void RequestFlow::dropAnswer(TimePoint now)
{
    m_actions.cancelAttempt();
    m_context.poisonGuard.onEnded(poison::AttemptNumber(m_ticket->number), poison::AttemptEnd::Abandoned);
    closeAttempt(SendOutcome::Succeeded, now);
    m_heldBytes.clear();
    m_heldAnswerEnded = false;
}

void RequestFlow::onAttemptData(std::string_view bytes, TimePoint now)
{
    if (m_stage == Stage::HoldingAnswer) {
        m_heldBytes += bytes;
        if (m_heldBytes.size() > MAX_BUFFERED_BYTES) {
            m_permit.end();
            releaseHeldAnswer(now);
        }
        return;
    }
    if (m_stage == Stage::Streaming) {
        // Only complete events count as progress: a stalled upstream may keep sending single bytes.
        bool anyCompleteEvent = false;
        m_splitter.feed(bytes, [&](const StreamEvent& it) {
            anyCompleteEvent = true;
            forwardEvent(it);
        });
        if (anyCompleteEvent && m_ticket)
            onProgress(now);
        if (m_splitter.incompleteEvent().size() > MAX_BUFFERED_BYTES) {
            m_actions.cancelAttempt();
            onAttemptUnusable(SendOutcome::Failed, "event exceeds 1 MiB", now);
        }
        return;
    }
    if (m_stage != Stage::Buffering)
        return;
    m_body += bytes;
    onProgress(now);
    if (m_body.size() > MAX_BUFFERED_BYTES) {
        m_actions.cancelAttempt();
        onAttemptUnusable(SendOutcome::Failed, "response exceeds 1 MiB", now);
    }
}

void RequestFlow::onProgress(TimePoint now)
{
    m_permit.end();
    m_isSilent = false;
    if (m_route->mayRepeat())
        m_attemptDeadline = m_stage == Stage::Streaming ? nextEventDeadline(now) : now + m_attemptTimeout;
}

void RequestFlow::forwardEvent(const StreamEvent& it)
{
    const bool alreadyForwarded = it.id && m_lastEventId && *it.id <= *m_lastEventId;
    if (alreadyForwarded)
        return;
    if (it.id)
        m_lastEventId = it.id;
    if (!m_headSent) {
        m_headSent = true;
        m_actions.sendHead(m_head);
    }
    m_actions.sendData(it.bytes);
}

void RequestFlow::onAttemptEnd(TimePoint now)
{
    if (m_stage == Stage::HoldingAnswer) {
        m_heldAnswerEnded = true;
        return;
    }
    if (m_stage != Stage::Streaming)
        return onBufferedResponse(now);
    if (!m_splitter.incompleteEvent().empty()) {
        // Without framing, the end of a crashed upstream's connection looks like the end of its stream.
        reportConnectionLost(now);
        return onAttemptUnusable(SendOutcome::Failed, "stream ended inside an event", now);
    }
    FlowEvent answered = event(FlowStep::Answered);
    answered.status = m_head.status;
    answered.confidence = m_responseInfo.confidence;
    closeAttempt(SendOutcome::Succeeded, now);
    if (!m_headSent)
        m_actions.sendHead(m_head);
    m_actions.finish();
    report(answered, now);
    end();
}

void RequestFlow::onBufferedResponse(TimePoint now)
{
    if (m_responseInfo.status == STATUS_MISDIRECTED)
        return onAttemptUnusable(SendOutcome::Misdirected, "address belongs to another upstream", now);
    if (wasRefusedUnexecuted(m_responseInfo))
        return onAttemptUnusable(SendOutcome::Refused, "upstream refused the request without running it", now);
    const bool failed = m_responseInfo.status >= STATUS_SERVER_ERROR;
    if (failed) {
        m_mayHaveRun = true;
        m_evidence.onError(m_route->name, *m_ticket, m_responseInfo, now);
    }
    if (failed && mayRetry(true, now))
        return onAttemptUnusable(SendOutcome::Failed, "upstream returned a server error", now);
    if (m_headSent)
        return onAttemptUnusable(SendOutcome::Failed, "stream could not be resumed", now);
    FlowEvent answered = event(FlowStep::Answered);
    answered.status = m_responseInfo.status;
    closeAttempt(failed ? SendOutcome::Failed : SendOutcome::Succeeded, now);
    m_actions.forwardResponse(m_head, m_body);
    report(answered, now);
    end();
}

}
