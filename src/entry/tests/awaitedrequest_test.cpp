#include "flowfixture.h"

#include "fireflyhaven/http/types/status.h"

// Requests that nobody waits for any more when what they waited for comes, as after a freeze: their own timer and the
// end of the caller's connection have not been handled yet.
using namespace fireflyhaven;
using namespace fireflyhaven::entry;
using namespace fireflyhaven::entry::test;

namespace {

constexpr TimePoint LATER = START + Duration(10);
// After the time-out of the routes without models.
constexpr TimePoint TOO_LATE = START + Duration(900);

void limitPlainUpstream(Deployment& it)
{
    keepOnePlainUpstream(it);
    it.limits.onAnswer(
        { .upstream = ratelimit::incarnationOf(UpstreamId("p0"), 0), .limit = RequestRate(1.8), .sentAt = START },
        START);
}

}

// Guards against running a queued request that nobody waits for (review/4).
Test(awaited, queuedRequestOfCallerThatLeftIsNotSent)
{
    Deployment it;
    std::vector<std::unique_ptr<FlowUnderTest>> busy;
    do
        busy.push_back(std::make_unique<FlowUnderTest>(it, Deployment::request("/non-idempotent/1")));
    while (!busy.back()->actions.attempts.empty());
    FlowUnderTest& queued = *busy.back();
    busy.front()->receiveResponse(successResponse());
    it.serviceQueues.popNext(ServiceName("plain"), LATER);
    queued.actions.callerLeft = true;
    cr_assert(queued.flow.onDequeued(LATER), "the next request may be taken from the queue");
    cr_assert(queued.actions.attempts.empty());
    cr_assert(queued.flow.isDone());
    cr_assert(it.steps.recorded(FlowStep::CallerLeft));
}

// Guards against running a request that waited for its permit and that nobody waits for (review/4).
Test(awaited, permittedRequestOfCallerThatLeftIsNotSent)
{
    Deployment it;
    limitPlainUpstream(it);
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    cr_assert_eq(it.limitLink.requested.size(), 1);
    flow.actions.callerLeft = true;
    flow.flow.onPermitDecision({ .granted = true }, LATER);
    cr_assert(flow.actions.attempts.empty() && flow.flow.isDone());
}

// Guards against running a request whose time was over before its permit came (review/4).
Test(awaited, permittedRequestWhoseTimeIsOverIsNotSent)
{
    Deployment it;
    limitPlainUpstream(it);
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    cr_assert_eq(it.limitLink.requested.size(), 1);
    flow.flow.onPermitDecision({ .granted = true }, TOO_LATE);
    cr_assert(flow.actions.attempts.empty() && flow.flow.isDone());
    cr_assert_eq(flow.actions.localStatus, STATUS_UNAVAILABLE, "no upstream has run it");
}

// Guards against repeating what nobody waits for.
Test(awaited, failedAttemptIsNotRepeatedForCallerThatLeft)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/idempotent/1"));
    flow.actions.callerLeft = true;
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", LATER);
    cr_assert_eq(flow.actions.attempts.size(), 1);
    cr_assert(flow.flow.isDone());
}

// Guards against going on with a larger model for nobody.
Test(awaited, uncertainAnswerIsNotEscalatedForCallerThatLeft)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    cr_assert_eq(flow.actions.attempts.size(), 1);
    flow.actions.callerLeft = true;
    flow.receiveHead(streamResponse(5), LATER);
    cr_assert_eq(flow.actions.attempts.size(), 1);
    cr_assert(flow.flow.isDone());
}
