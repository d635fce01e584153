#include "flowfixture.h"

#include "fireflyhaven/http/types/status.h"

using namespace fireflyhaven;
using namespace fireflyhaven::entry;
using namespace fireflyhaven::entry::test;

Test(admission, refusesWithRetryAfterWithoutConfiguration)
{
    Deployment it;
    it.catalog = catalog::Catalog();
    FlowUnderTest flow(it, Deployment::request("/idempotent/1"));
    cr_assert_eq(flow.actions.localStatus, STATUS_UNAVAILABLE);
    cr_assert(flow.actions.retryAfter.has_value());
}

Test(admission, rejectsUnknownRouteOrKeyOnlyWithCurrentCatalog)
{
    Deployment it;
    CallerRequest unknownKey = Deployment::request("/idempotent/1");
    unknownKey.key = "other";
    cr_assert_eq(FlowUnderTest(it, Deployment::request("/none/1")).actions.localStatus, STATUS_NOT_FOUND);
    cr_assert_eq(FlowUnderTest(it, unknownKey).actions.localStatus, STATUS_UNAUTHORIZED);
    it.host.catalogCurrent = false;
    cr_assert_eq(FlowUnderTest(it, Deployment::request("/none/1")).actions.localStatus, STATUS_UNAVAILABLE);
    cr_assert_eq(FlowUnderTest(it, unknownKey).actions.localStatus, STATUS_UNAVAILABLE);
}

Test(admission, refusesKeysWhileRevocationsMayBeMissed)
{
    Deployment it;
    it.host.keysAccepted = false;
    FlowUnderTest withKey(it, Deployment::request("/idempotent/1"));
    cr_assert_eq(withKey.actions.localStatus, STATUS_UNAVAILABLE);
    cr_assert(withKey.actions.attempts.empty());
    FlowUnderTest anonymous(it, Deployment::request("/anonymous/1"));
    cr_assert_eq(anonymous.actions.attempts.size(), 1, "an anonymous route is served");
}

// Guards against a request that is run by a route which may have been changed or dropped, at a host that has heard
// nothing for longer than its bound while others have.
Test(admission, refusesRequestsWhileConfigurationMayBeReplaced)
{
    Deployment it;
    it.host.behindOthers = true;
    for (const char* path : { "/idempotent/1", "/anonymous/1" }) {
        FlowUnderTest flow(it, Deployment::request(path));
        cr_assert_eq(flow.actions.localStatus, STATUS_UNAVAILABLE);
        cr_assert(flow.actions.retryAfter.has_value());
        cr_assert(flow.actions.attempts.empty());
    }
}

Test(admission, upstreamReceivesWorkspaceAndRemainingTime)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/idempotent/1"));
    const UpstreamDirectives& directives = flow.actions.attempts.front().directives;
    cr_assert(directives.workspace == WorkspaceId("w"));
    cr_assert(directives.deadline == Duration(800), "the route's timeout is shorter than the caller's deadline");
}

Test(admission, drainingHostRefusesWithImmediateRetry)
{
    Deployment it;
    it.host.acceptingRequests = false;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    cr_assert_eq(flow.actions.localStatus, STATUS_UNAVAILABLE);
    cr_assert(flow.actions.retryAfter == Duration(0));
    cr_assert(flow.actions.attempts.empty());
}

Test(responses, completeResponseIsForwarded)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    flow.receiveResponse(successResponse(), "hello");
    cr_assert(flow.flow.isDone() && flow.actions.finished);
    cr_assert_str_eq(flow.actions.sentBytes.c_str(), "hello");
}

Test(responses, errorOfNonIdempotentRequestIsForwarded)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    flow.receiveResponse(errorResponse(), "broken");
    cr_assert_eq(flow.actions.headStatus, 500);
    cr_assert_str_eq(flow.actions.sentBytes.c_str(), "broken");
    cr_assert_eq(flow.actions.attempts.size(), 1);
}

Test(responses, errorOfIdempotentRequestIsRetriedElsewhere)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/idempotent/1"));
    flow.receiveResponse(errorResponse());
    cr_assert_eq(flow.actions.attempts.size(), 2);
    cr_assert(flow.actions.attempts[0].directives.upstream != flow.actions.attempts[1].directives.upstream);
    flow.receiveResponse(successResponse());
    cr_assert_eq(flow.actions.headStatus, 200);
}

Test(responses, attemptsAreLimitedByRoute)
{
    Deployment it(2);
    FlowUnderTest flow(it, Deployment::request("/idempotent/1"));
    flow.receiveResponse(errorResponse());
    flow.receiveResponse(errorResponse(), "last");
    cr_assert_eq(flow.actions.attempts.size(), 2);
    cr_assert_str_eq(flow.actions.sentBytes.c_str(), "last");
}

Test(responses, retriesAreLimitedByBudget)
{
    Deployment it;
    it.retries = dispatch::RetryBudgets({ .ratio = 0, .slack = 0, .maxAttempts = 100 });
    FlowUnderTest flow(it, Deployment::request("/idempotent/1"));
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START);
    cr_assert_eq(flow.actions.attempts.size(), 1);
    cr_assert_eq(flow.actions.localStatus, STATUS_BAD_GATEWAY);
}

Test(executionSafety, nonIdempotentIsNotRetriedAfterPossibleRun)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START);
    cr_assert_eq(flow.actions.attempts.size(), 1);
    cr_assert_eq(flow.actions.localStatus, STATUS_BAD_GATEWAY, "502 does not state that the request has not run");
}

Test(executionSafety, nonIdempotentIsRetriedIfNotRun)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    flow.flow.onAttemptFailed(http::SendState::NothingSent, "refused", START);
    cr_assert_eq(flow.actions.attempts.size(), 2);
    flow.receiveResponse(notExecutedResponse());
    cr_assert_eq(flow.actions.attempts.size(), 3);
}

Test(executionSafety, refusalAfterPossibleRunIsReportedAsFailure)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/idempotent/1"));
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START);
    flow.receiveResponse(notExecutedResponse());
    flow.receiveResponse(notExecutedResponse());
    cr_assert(flow.flow.isDone());
    cr_assert_eq(flow.actions.localStatus, STATUS_BAD_GATEWAY);
}

Test(executionSafety, truncatedResponseIsNotForwarded)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    flow.receiveHead(successResponse());
    flow.flow.onAttemptData("half", START);
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "cut", START);
    cr_assert_eq(flow.actions.localStatus, STATUS_BAD_GATEWAY);
    cr_assert(flow.actions.sentBytes.empty());
}

Test(executionSafety, nonIdempotentLimitsIdleTimeOfReusedConnection)
{
    Deployment it;
    cr_assert(FlowUnderTest(it, Deployment::request("/non-idempotent/1"))
                  .actions.attempts.front()
                  .maxReuseIdleTime.has_value());
    cr_assert_not(
        FlowUnderTest(it, Deployment::request("/idempotent/1")).actions.attempts.front().maxReuseIdleTime.has_value());
}

Test(responseValidation, responseToOtherAttemptIsSkipped)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    ResponseInfo other = successResponse();
    other.attempt = AttemptId("b");
    cr_assert(flow.receiveHead(other) == http::HeadVerdict::Skip);
    flow.receiveResponse(successResponse(), "mine");
    cr_assert_str_eq(flow.actions.sentBytes.c_str(), "mine");
}

Test(responseValidation, unsignedResponseIsNotForwarded)
{
    Deployment it;
    ResponseInfo unsignedResponse = successResponse();
    unsignedResponse.isSigned = false;
    FlowUnderTest nonIdempotent(it, Deployment::request("/non-idempotent/1"));
    nonIdempotent.receiveResponse(unsignedResponse);
    cr_assert_eq(nonIdempotent.actions.localStatus, STATUS_BAD_GATEWAY);
    FlowUnderTest idempotent(it, Deployment::request("/idempotent/1"));
    idempotent.receiveHead(unsignedResponse);
    cr_assert_eq(idempotent.actions.attempts.size(), 2);
    cr_assert_eq(idempotent.actions.cancelled, 1);
}

Test(modelSelection, smallestModelFirstAndConfidentResponseForwarded)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    cr_assert(flow.actions.attempts.front().directives.model == catalog::ModelName("s"));
    flow.receiveHead(streamResponse(90));
    flow.receiveEvents(1, 3);
    flow.flow.onAttemptEnd(START + Duration(40));
    cr_assert(flow.actions.finished);
    cr_assert_eq(flow.actions.attempts.size(), 1);
}

Test(modelSelection, lowConfidenceResponseEscalatesBeforeFirstByte)
{
    Deployment it;
    for (int n = 0; n < 200; ++n)
        it.escalationPolicy.onConfidence(ServiceName("engines"), catalog::ModelName("s"), n % 2 ? 90 : 10);
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.receiveHead(streamResponse(20));
    cr_assert_eq(flow.actions.cancelled, 1);
    cr_assert_eq(flow.actions.attempts.size(), 2);
    cr_assert(flow.actions.attempts.back().directives.model == catalog::ModelName("l"));
    flow.receiveHead(streamResponse(30));
    flow.receiveEvents(1, 2);
    cr_assert_eq(flow.actions.headStatus, 200, "the largest model's response is forwarded at any confidence");
}

Test(modelSelection, lowConfidenceResponseForwardedWithoutAttemptsLeft)
{
    Deployment it(1);
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.receiveHead(streamResponse(20));
    flow.receiveEvents(1, 1);
    cr_assert_eq(flow.actions.headStatus, 200);
    cr_assert_eq(flow.actions.attempts.size(), 1);
}

Test(streams, resumeAfterLastForwardedEvent)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.receiveHead(streamResponse());
    flow.receiveEvents(1, 3);
    flow.flow.onAttemptData("id: 4\nda", START + Duration(50));
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START + Duration(50));
    cr_assert_eq(flow.actions.attempts.size(), 2);
    cr_assert_eq(*flow.actions.attempts.back().directives.lastEventId, 3);
    flow.receiveHead(streamResponse());
    flow.receiveEvents(4, 5);
    flow.flow.onAttemptEnd(START + Duration(60));
    cr_assert(flow.actions.finished);
    std::string expected;
    for (int n = 1; n <= 5; ++n)
        expected += "id: " + std::to_string(n) + "\ndata: x\n\n";
    cr_assert_str_eq(flow.actions.sentBytes.c_str(), expected.c_str());
}

Test(streams, repeatedEventIsForwardedOnce)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.receiveHead(streamResponse());
    flow.receiveEvents(1, 3);
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START + Duration(50));
    flow.receiveHead(streamResponse());
    flow.receiveEvents(2, 4);
    std::string expected;
    for (int n = 1; n <= 4; ++n)
        expected += "id: " + std::to_string(n) + "\ndata: x\n\n";
    cr_assert_str_eq(flow.actions.sentBytes.c_str(), expected.c_str());
}

Test(streams, abortedIfNotResumable)
{
    Deployment it(1);
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.receiveHead(streamResponse());
    flow.receiveEvents(1, 3);
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START + Duration(50));
    cr_assert(flow.actions.aborted);
    cr_assert_not(flow.actions.finished);
}

Test(streams, endInsideEventIsNotCompletion)
{
    Deployment it(1);
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.receiveHead(streamResponse());
    flow.receiveEvents(1, 1);
    flow.flow.onAttemptData("id: 2\ndata", START + Duration(50));
    flow.flow.onAttemptEnd(START + Duration(50));
    cr_assert(flow.actions.aborted);
}

// An upstream stops sending in the middle of a stream without closing the connection.
Test(streams, silentUpstreamIsReplacedAfterEventGap)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.receiveHead(streamResponse());
    flow.receiveEvents(1, 1);
    flow.flow.onTimer(START + Duration(500));
    cr_assert_eq(flow.actions.attempts.size(), 1, "a gap within the target does not replace the upstream");
    flow.flow.onTimer(START + Duration(5000));
    cr_assert_eq(flow.actions.attempts.size(), 2);
    cr_assert_eq(flow.actions.cancelled, 1);
}

// Guards against a stalled upstream that keeps its connection busy with single bytes of an event that never ends: only
// complete events may extend the deadline of the attempt.
Test(streams, bytesWithoutCompleteEventAreNoProgress)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.receiveHead(streamResponse());
    flow.receiveEvents(1, 2, START + Duration(30));
    for (Duration after { 100 }; after < Duration(10'000) && flow.actions.attempts.size() == 1;
         after += Duration(100)) {
        flow.flow.onAttemptData("x", START + after);
        if (START + after >= flow.actions.timerAt)
            flow.flow.onTimer(START + after);
    }
    cr_assert_eq(flow.actions.attempts.size(), 2);
    cr_assert(
        flow.actions.attempts.back().directives.lastEventId == 2, "the stream resumes after the last complete event");
}

// A healthy upstream is slow and sends its events in parts, but completes each one before the event gap limit.
Test(streams, slowStreamWithSplitEventsIsKept)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.receiveHead(streamResponse());
    flow.receiveEvents(1, 1, START + Duration(30));
    for (std::uint64_t n = 2; n < 12; ++n) {
        const TimePoint begin = START + Duration(30) + Duration(500) * static_cast<int>(n);
        flow.flow.onAttemptData("id: " + std::to_string(n) + "\nda", begin);
        if (begin >= flow.actions.timerAt)
            flow.flow.onTimer(begin);
        flow.flow.onAttemptData("ta: x\n\n", begin + Duration(100));
    }
    cr_assert_eq(flow.actions.attempts.size(), 1);
    cr_assert_eq(flow.actions.cancelled, 0);
}

// Guards against cutting streams by checking the retry budget only after the attempt was cancelled; 34 streams were cut
// that way in one run.
Test(streams, silentUpstreamIsKeptWithoutRetryBudget)
{
    Deployment it;
    it.retries = dispatch::RetryBudgets({ .ratio = 0, .slack = 0, .maxAttempts = 100 });
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.receiveHead(streamResponse());
    flow.receiveEvents(1, 1);
    flow.flow.onTimer(START + Duration(5000));
    cr_assert_eq(flow.actions.cancelled, 0);
    cr_assert_not(flow.actions.aborted);
    flow.receiveEvents(2, 2);
    cr_assert_not(flow.flow.isDone());
}

Test(deadline, sentRequestEndsWithGatewayTimeout)
{
    Deployment it;
    FlowUnderTest sent(it, Deployment::request("/non-idempotent/1"));
    sent.flow.onTimer(START + Duration(800));
    cr_assert_eq(sent.actions.localStatus, STATUS_GATEWAY_TIMEOUT);
    cr_assert_eq(sent.actions.cancelled, 1);
}

Test(waiting, queuedRequestIsSentWhenSlotFrees)
{
    Deployment it;
    std::vector<std::unique_ptr<FlowUnderTest>> busy;
    while (true) {
        busy.push_back(std::make_unique<FlowUnderTest>(it, Deployment::request("/non-idempotent/1")));
        if (busy.back()->actions.attempts.empty())
            break;
        cr_assert_lt(busy.size(), 100);
    }
    FlowUnderTest& last = *busy.back();
    cr_assert(it.steps.recorded(FlowStep::Queued));
    cr_assert_not(last.flow.onDequeued(START + Duration(5)), "all upstreams are still at capacity");
    busy.front()->receiveResponse(successResponse());
    cr_assert(it.serviceQueues.popNext(ServiceName("plain"), START + Duration(10)) == last.flow.waitingTicket());
    cr_assert(last.flow.onDequeued(START + Duration(10)));
    cr_assert_eq(last.actions.attempts.size(), 1);
}

// The service queue is full of less urgent requests. The displaced one must be refused at once instead of waiting for
// its deadline.
Test(waiting, displacedRequestIsRefusedImmediately)
{
    Deployment it(3, 1);
    std::vector<std::unique_ptr<FlowUnderTest>> running;
    while (!it.steps.recorded(FlowStep::Queued))
        running.push_back(std::make_unique<FlowUnderTest>(it, Deployment::request("/idempotent/x")));
    FlowUnderTest& waiting = *running.back();
    CallerRequest urgent = Deployment::request("/urgent/x");
    const FlowUnderTest second(it, urgent);
    cr_assert(it.context.shedTickets == std::vector { waiting.flow.waitingTicket() });
    waiting.flow.onShed(START + Duration(1));
    cr_assert(waiting.flow.isDone());
    cr_assert(waiting.actions.localStatus == 503 && waiting.actions.retryAfter.has_value());
}

Test(waiting, refusedImmediatelyWithoutEligibleUpstream)
{
    Deployment it;
    it.catalog.onEvacuation(DataCentreId("dc"));
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    cr_assert_eq(flow.actions.localStatus, STATUS_UNAVAILABLE);
    cr_assert(flow.actions.retryAfter.has_value());
}

Test(waiting, revokedKeyStopsQueuedRequest)
{
    Deployment it;
    std::vector<std::unique_ptr<FlowUnderTest>> busy;
    do
        busy.push_back(std::make_unique<FlowUnderTest>(it, Deployment::request("/non-idempotent/1")));
    while (!busy.back()->actions.attempts.empty());
    catalog::Configuration next = it.catalog.configuration();
    next.version = catalog::ConfigurationVersion(2);
    next.workspaces.front().keys = { "another" };
    it.catalog.onConfiguration(next);
    busy.front()->receiveResponse(successResponse());
    it.serviceQueues.popNext(ServiceName("plain"), START + Duration(10));
    cr_assert(busy.back()->flow.onDequeued(START + Duration(10)));
    cr_assert(busy.back()->actions.attempts.empty());
    cr_assert_eq(busy.back()->actions.localStatus, STATUS_UNAVAILABLE);
}

// Guards against closing the connections of waiting requests without an answer at the exit (review/3).
Test(waiting, hostThatStopsRefusesWaitingRequestAsNotRun)
{
    Deployment it;
    std::vector<std::unique_ptr<FlowUnderTest>> busy;
    do
        busy.push_back(std::make_unique<FlowUnderTest>(it, Deployment::request("/non-idempotent/1")));
    while (!busy.back()->actions.attempts.empty());
    busy.back()->flow.onHostStops(START + Duration(10));
    cr_assert_eq(busy.back()->actions.localStatus, STATUS_UNAVAILABLE);
    busy.front()->flow.onHostStops(START + Duration(10));
    cr_assert_eq(busy.front()->actions.localStatus, STATUS_BAD_GATEWAY);
    cr_assert(busy.back()->flow.isDone() && busy.front()->flow.isDone());
}

// Guards against a host whose links hang and that finds itself cut off only when its attempts have failed.
Test(attempts, overdueAttemptsRaiseTheSuspicionOfACut)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/idempotent/1"));
    const TimePoint firstOverdue = flow.actions.timerAt;
    flow.flow.onTimer(firstOverdue);
    cr_assert_eq(flow.actions.attempts.size(), 2, "the attempt is replaced");
    cr_assert_eq(it.reach.probesDue(firstOverdue), 0);
    const TimePoint secondOverdue = flow.actions.timerAt;
    flow.flow.onTimer(secondOverdue);
    cr_assert_gt(it.reach.probesDue(secondOverdue), 0);
}

Test(callers, disconnectCancelsAttempt)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.flow.onCallerGone(START + Duration(10));
    cr_assert_eq(flow.actions.cancelled, 1);
    cr_assert(flow.flow.isDone());
    cr_assert_eq(it.balancer.inFlight(flow.actions.attempts.front().directives.upstream), 0);
}

Test(callers, sessionKeepsServiceOfSplitRoute)
{
    Deployment it;
    catalog::Configuration split = it.catalog.configuration();
    split.version = catalog::ConfigurationVersion(2);
    split.routes[2].services
        = { { .service = ServiceName("plain"), .weight = 70 }, { .service = ServiceName("engines"), .weight = 30 } };
    it.catalog.onConfiguration(split);
    int sessionsOnPlain = 0;
    for (int n = 0; n < 400; ++n) {
        CallerRequest request = Deployment::request("/idempotent/1");
        request.session = SessionId("s" + std::to_string(n));
        std::string first;
        for (int repeat = 0; repeat < 2; ++repeat) {
            FlowUnderTest flow(it, request);
            const std::string prefix = flow.actions.attempts.front().directives.upstream.value().substr(0, 1);
            cr_assert(first.empty() || first == prefix);
            first = prefix;
        }
        sessionsOnPlain += first == "p" ? 1 : 0;
    }
    cr_assert_float_eq(sessionsOnPlain / 400.0, 0.7, 0.08);
}

namespace {

ResponseInfo notExecutedWithRetryAfter(Duration wait)
{
    ResponseInfo it = notExecutedResponse();
    it.retryAfter = wait;
    return it;
}

}

Test(upstreamNotices, drainingUpstreamReceivesNoMoreRequests)
{
    Deployment it;
    keepOnePlainUpstream(it);
    FlowUnderTest first(it, Deployment::request("/idempotent/1"));
    ResponseInfo draining = successResponse();
    draining.isDraining = true;
    first.receiveResponse(draining);
    cr_assert_eq(first.actions.headStatus, 200, "its response is forwarded");
    FlowUnderTest second(it, Deployment::request("/idempotent/1"));
    cr_assert(second.actions.attempts.empty());
    cr_assert_eq(
        second.actions.localStatus, STATUS_UNAVAILABLE, "refused at once, because no other upstream serves it");
}

Test(upstreamNotices, drainNoticeInStreamHeadAppliesImmediately)
{
    Deployment it;
    FlowUnderTest first(it, Deployment::request("/stream/1"));
    ResponseInfo draining = streamResponse();
    draining.isDraining = true;
    first.receiveHead(draining);
    first.receiveEvents(1, 2);
    const UpstreamId drainingUpstream = first.actions.attempts.front().directives.upstream;
    for (int n = 0; n < 20; ++n) {
        FlowUnderTest later(it, Deployment::request("/stream/1"));
        cr_assert(later.actions.attempts.front().directives.upstream != drainingUpstream);
    }
    first.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START + Duration(40));
    cr_assert_eq(first.actions.attempts.size(), 2);
    cr_assert(first.actions.attempts.back().directives.upstream != drainingUpstream);
}

Test(upstreamNotices, queuedRequestIsNotSentToDrainingUpstream)
{
    Deployment it;
    keepOnePlainUpstream(it);
    std::vector<std::unique_ptr<FlowUnderTest>> busy;
    while (it.serviceQueues.size() == 0)
        busy.push_back(std::make_unique<FlowUnderTest>(it, Deployment::request("/idempotent/1")));
    ResponseInfo draining = successResponse();
    draining.isDraining = true;
    busy.front()->receiveResponse(draining);
    FlowUnderTest& waiting = *busy.back();
    cr_assert(it.serviceQueues.popNext(ServiceName("plain"), START + Duration(30)).has_value());
    waiting.flow.onDequeued(START + Duration(30));
    cr_assert(waiting.actions.attempts.empty());
}

Test(upstreamNotices, retryAfterSuspendsUpstream)
{
    Deployment it;
    FlowUnderTest first(it, Deployment::request("/idempotent/1"));
    const UpstreamId suspended = first.actions.attempts.front().directives.upstream;
    first.receiveResponse(notExecutedWithRetryAfter(Duration(1500)));
    cr_assert(first.actions.attempts.back().directives.upstream != suspended, "retried at another upstream");
    for (int n = 0; n < 20; ++n) {
        FlowUnderTest later(it, Deployment::request("/idempotent/1"));
        cr_assert(later.actions.attempts.front().directives.upstream != suspended);
    }
}

Test(upstreamNotices, refusedImmediatelyIfRetryAfterExceedsDeadline)
{
    Deployment it;
    keepOnePlainUpstream(it);
    FlowUnderTest first(it, Deployment::request("/non-idempotent/1"));
    first.receiveResponse(notExecutedWithRetryAfter(Duration(1500)));
    FlowUnderTest later(it, Deployment::request("/non-idempotent/1"));
    cr_assert(later.actions.attempts.empty());
    cr_assert_eq(later.actions.localStatus, STATUS_UNAVAILABLE);
    cr_assert(later.actions.retryAfter.has_value());
}

namespace {

constexpr std::size_t MANY_BYTES = 8 * 1024 * 1024;

// Delivers bytes without end until the flow cancels the attempt; returns how many it took.
std::size_t feedUntilCancelled(FlowUnderTest& flow, const std::string& piece)
{
    std::size_t fed = 0;
    while (fed < MANY_BYTES && flow.actions.cancelled == 0) {
        flow.flow.onAttemptData(piece, START + Duration(30));
        fed += piece.size();
    }
    return fed;
}

}

// Guards against memory that grows with what a broken upstream sends.
Test(endlessBytes, bodyWithoutEndIsGivenUp)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    flow.receiveHead(successResponse());
    cr_assert_lt(feedUntilCancelled(flow, std::string(10'000, 'a')), MANY_BYTES);
    cr_assert_eq(flow.actions.localStatus, STATUS_BAD_GATEWAY);
}

Test(endlessBytes, eventWithoutEndIsGivenUp)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.receiveHead(streamResponse());
    flow.receiveEvents(1, 2);
    cr_assert_lt(feedUntilCancelled(flow, std::string(10'000, 'a')), MANY_BYTES);
    cr_assert_eq(flow.actions.attempts.size(), 2, "the stream is resumed elsewhere");
    cr_assert(flow.actions.attempts.back().directives.lastEventId == 2);
}
