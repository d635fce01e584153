#include "flowfixture.h"

#include "fireflyhaven/http/types/status.h"

// Request flows at upstreams that name a request limit.
using namespace fireflyhaven;
using namespace fireflyhaven::entry;
using namespace fireflyhaven::entry::test;

namespace {

constexpr RequestRate LIMIT { 1.8 };

ResponseInfo responseWithLimit(std::optional<RequestRate> limit)
{
    ResponseInfo it = successResponse();
    it.requestLimit = limit;
    return it;
}

std::optional<RequestRate> knownLimit(const Deployment& it, const UpstreamId& upstream)
{
    return it.limits.limitOf(ratelimit::incarnationOf(upstream, 0));
}

}

Test(upstreamLimits, namedLimitIsKnownUntilAnAnswerNamesNone)
{
    Deployment it;
    keepOnePlainUpstream(it);
    FlowUnderTest first(it, Deployment::request("/idempotent/1"));
    first.receiveResponse(responseWithLimit(LIMIT));
    cr_assert(knownLimit(it, UpstreamId("p0")) == LIMIT);
    cr_assert(it.steps.recorded(FlowStep::LimitNamed));
    it.limits.onAnswer({ .upstream = ratelimit::incarnationOf(UpstreamId("p0"), 0), .sentAt = START + Duration(30) },
        START + Duration(40));
    cr_assert_not(knownLimit(it, UpstreamId("p0")).has_value());
}

Test(upstreamLimits, onlyTheUpstreamItselfChangesItsLimit)
{
    Deployment it;
    keepOnePlainUpstream(it);
    ResponseInfo misdirected = responseWithLimit(LIMIT);
    misdirected.status = STATUS_MISDIRECTED;
    FlowUnderTest first(it, Deployment::request("/non-idempotent/1"));
    first.receiveResponse(misdirected);
    cr_assert_not(knownLimit(it, UpstreamId("p0")).has_value(), "another upstream has answered");
    ResponseInfo unsignedResponse = responseWithLimit(LIMIT);
    unsignedResponse.isSigned = false;
    FlowUnderTest second(it, Deployment::request("/non-idempotent/1"));
    second.receiveResponse(unsignedResponse);
    cr_assert_not(knownLimit(it, UpstreamId("p0")).has_value(), "an unsigned response is not the upstream's");
}

Test(upstreamLimits, unreadableLimitKeepsTheKnownOne)
{
    Deployment it;
    keepOnePlainUpstream(it);
    FlowUnderTest first(it, Deployment::request("/idempotent/1"));
    first.receiveResponse(responseWithLimit(LIMIT));
    ResponseInfo unreadable = successResponse();
    unreadable.requestLimitUnreadable = true;
    FlowUnderTest second(it, Deployment::request("/idempotent/1"));
    second.flow.onPermitDecision({ .granted = true }, START);
    second.receiveResponse(unreadable);
    cr_assert(knownLimit(it, UpstreamId("p0")) == LIMIT);
    cr_assert(it.steps.recorded(FlowStep::LimitUnreadable));
}

namespace {

void limitUpstream(Deployment& it, const std::string& upstream)
{
    it.limits.onAnswer(
        { .upstream = ratelimit::incarnationOf(UpstreamId(upstream), 0), .limit = LIMIT, .sentAt = START }, START);
}

void limitPlainUpstreams(Deployment& it)
{
    for (const std::string upstream : { "p0", "p1", "p2" })
        limitUpstream(it, upstream);
}

void limitEngines(Deployment& it)
{
    for (const std::string upstream : { "e0", "e1", "e2" })
        limitUpstream(it, upstream);
}

constexpr ratelimit::PermitDecision GRANTED { .granted = true };

ratelimit::PermitDecision refusedFor(Duration wait) { return { .wait = wait, .retryAfter = wait }; }

}

Test(upstreamLimits, limitedUpstreamGetsARequestOnlyWithAPermit)
{
    Deployment it;
    limitPlainUpstreams(it);
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    cr_assert(flow.actions.attempts.empty());
    cr_assert_eq(it.limitLink.requested.size(), 1);
    flow.flow.onPermitDecision(GRANTED, START + Duration(2));
    cr_assert_eq(flow.actions.attempts.size(), 1);
    cr_assert(flow.actions.attempts.front().directives.upstream == it.limitLink.requested.front().upstream);
    flow.flow.onPermitDecision(GRANTED, START + Duration(3));
    cr_assert_eq(flow.actions.attempts.size(), 1, "a second decision changes nothing");
}

Test(upstreamLimits, refusedPermitSendsTheRequestElsewhere)
{
    Deployment it;
    limitUpstream(it, "p0");
    limitUpstream(it, "p1");
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    while (!it.limitLink.requested.empty() && flow.actions.attempts.empty()) {
        cr_assert(it.limitLink.requested.back().maxWait == Duration(0), "an unlimited upstream need not be waited for");
        flow.flow.onPermitDecision(refusedFor(Duration(400)), START + Duration(2));
    }
    cr_assert_eq(flow.actions.attempts.size(), 1);
    cr_assert(flow.actions.attempts.front().directives.upstream == UpstreamId("p2"));
}

Test(upstreamLimits, unansweredRequestForAPermitSendsTheRequestElsewhere)
{
    Deployment it;
    limitUpstream(it, "p0");
    limitUpstream(it, "p1");
    for (int n = 0; n < 4; ++n) {
        FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
        TimePoint now = START;
        for (int asked = 0; asked < 2 && flow.actions.attempts.empty(); ++asked) {
            now = flow.actions.timerAt;
            flow.flow.onTimer(now);
        }
        cr_assert(flow.actions.attempts.front().directives.upstream == UpstreamId("p2"));
        cr_assert_leq(now - START, Duration(120));
        flow.flow.onPermitDecision(GRANTED, now);
        cr_assert_eq(flow.actions.attempts.size(), 1, "a late permit is not used");
    }
}

Test(upstreamLimits, requestWaitsForAPermitIfNoOtherUpstreamIsFree)
{
    Deployment it;
    keepOnePlainUpstream(it);
    limitUpstream(it, "p0");
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    cr_assert(it.limitLink.requested.front().maxWait > Duration(0));
    flow.flow.onPermitDecision({ .granted = true, .wait = Duration(300) }, START + Duration(2));
    cr_assert(flow.actions.attempts.empty());
    cr_assert(flow.actions.timerAt == START + Duration(302));
    flow.flow.onTimer(START + Duration(302));
    cr_assert_eq(flow.actions.attempts.size(), 1);
}

// Guards against a host that was paused and sends with a permit whose time is long over.
Test(upstreamLimits, permitThatIsTooOldIsAskedForAnew)
{
    Deployment it;
    keepOnePlainUpstream(it);
    limitUpstream(it, "p0");
    FlowUnderTest flow(it, Deployment::request("/idempotent/1"));
    flow.flow.onPermitDecision({ .granted = true, .wait = Duration(100) }, START + Duration(2));
    flow.flow.onTimer(START + Duration(600));
    cr_assert(flow.actions.attempts.empty());
    cr_assert_eq(it.limitLink.requested.size(), 2);
}

// Guards against requests that wait until their deadline though it is known that no permit will be free for them.
Test(upstreamLimits, refusedAtOnceWithTheTimeToReturnIfAllLimitsAreUsedUp)
{
    Deployment it;
    limitPlainUpstreams(it);
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    for (int n = 0; n < 3; ++n)
        flow.flow.onPermitDecision({ .wait = Duration(700), .retryAfter = Duration(2'700) }, START + Duration(2 * n));
    cr_assert_eq(it.limitLink.requested.size(), 3, "each upstream is asked once");
    cr_assert_eq(flow.actions.localStatus, STATUS_UNAVAILABLE);
    cr_assert(*flow.actions.retryAfter >= Duration(2'700) && *flow.actions.retryAfter <= Duration(3'400));
    FlowUnderTest next(it, Deployment::request("/non-idempotent/2"));
    cr_assert_eq(next.actions.localStatus, STATUS_UNAVAILABLE);
    cr_assert(*next.actions.retryAfter >= Duration(690));
    cr_assert_eq(it.limitLink.requested.size(), 3, "it is known that there are no permits");
}

// Guards against requests that ask for permits without end while all upstreams refuse them for a moment only.
Test(upstreamLimits, requestAsksForFewPermitsAndThenWaits)
{
    Deployment it;
    limitPlainUpstreams(it);
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    TimePoint now = START;
    for (; it.limitLink.requested.back().maxWait == Duration(0); now += Duration(25))
        flow.flow.onPermitDecision(refusedFor(Duration(15)), now);
    cr_assert_leq(it.limitLink.requested.size(), 4);
    flow.flow.onPermitDecision({ .granted = true, .wait = Duration(15) }, now);
    flow.flow.onTimer(now + Duration(15));
    cr_assert_eq(flow.actions.attempts.size(), 1);
}

// Guards against answers that are thrown away for a larger model whose upstreams give no permits.
Test(upstreamLimits, answerIsKeptUntilThePermitForALargerModelIsGranted)
{
    for (const bool granted : { true, false }) {
        Deployment it;
        limitEngines(it);
        FlowUnderTest flow(it, Deployment::request("/stream/1"));
        flow.flow.onPermitDecision(GRANTED, START);
        ResponseInfo unsure = streamResponse(5);
        unsure.requestLimit = LIMIT;
        flow.receiveHead(unsure);
        flow.receiveEvents(1, 3);
        flow.flow.onAttemptEnd(START + Duration(30));
        cr_assert(flow.actions.sentBytes.empty() && !flow.flow.isDone());
        cr_assert_eq(flow.actions.cancelled, 0);
        const std::size_t asked = it.limitLink.requested.size();
        cr_assert_gt(asked, 1);
        if (granted) {
            flow.flow.onPermitDecision(GRANTED, START + Duration(32));
            cr_assert_eq(flow.actions.attempts.size(), 2);
            cr_assert(flow.actions.attempts.back().directives.model != catalog::ModelName("s"));
            cr_assert(flow.actions.sentBytes.empty());
            continue;
        }
        while (!flow.flow.isDone())
            flow.flow.onPermitDecision(refusedFor(Duration(900)), START + Duration(32));
        cr_assert_eq(flow.actions.attempts.size(), 1);
        cr_assert(flow.actions.finished && flow.actions.sentBytes.find("id: 3") != std::string::npos);
    }
}

// Guards against dropping an answer that is there while a larger model is waited for.
Test(upstreamLimits, heldAnswerIsDeliveredWhenItsTimeIsOverOrTheHostStops)
{
    for (const bool hostStops : { true, false }) {
        Deployment it;
        limitEngines(it);
        FlowUnderTest flow(it, Deployment::request("/stream/1"));
        flow.flow.onPermitDecision(GRANTED, START);
        ResponseInfo unsure = streamResponse(5);
        unsure.requestLimit = LIMIT;
        flow.receiveHead(unsure);
        flow.receiveEvents(1, 3);
        flow.flow.onAttemptEnd(START + Duration(30));
        cr_assert(flow.actions.sentBytes.empty() && !flow.flow.isDone());
        if (hostStops)
            flow.flow.onHostStops(START + Duration(40));
        else
            flow.flow.onTimer(START + Duration(20'000));
        cr_assert(flow.actions.finished && flow.actions.sentBytes.find("id: 3") != std::string::npos);
        cr_assert(flow.flow.isDone() && !flow.actions.aborted);
    }
}

// Guards against an answer that is joined from two runs: the first one fails while its events are held back.
Test(upstreamLimits, heldEventsOfAFailedAttemptAreDropped)
{
    Deployment it;
    limitEngines(it);
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.flow.onPermitDecision(GRANTED, START);
    ResponseInfo unsure = streamResponse(5);
    unsure.requestLimit = LIMIT;
    flow.receiveHead(unsure);
    flow.flow.onAttemptData("id: 1\ndata: first run\n\n", START + Duration(25));
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START + Duration(30));
    flow.flow.onPermitDecision(GRANTED, START + Duration(32));
    cr_assert_eq(flow.actions.attempts.size(), 2);
    flow.receiveHead(unsure, START + Duration(50));
    flow.flow.onAttemptData("id: 1\ndata: second run\n\n", START + Duration(55));
    flow.flow.onAttemptEnd(START + Duration(60));
    while (!flow.flow.isDone())
        flow.flow.onPermitDecision(refusedFor(Duration(900)), START + Duration(62));
    cr_assert_str_eq(flow.actions.sentBytes.c_str(), "id: 1\ndata: second run\n\n");
}

// Guards against a time-out of the refused permit that applies to the attempt at the larger model.
Test(upstreamLimits, escalationAfterARefusalHasItsOwnTimeout)
{
    Deployment it;
    limitUpstream(it, "e0");
    limitUpstream(it, "e1");
    int escalatedAfterRefusal = 0;
    for (int n = 0; n < 30; ++n) {
        FlowUnderTest flow(it, Deployment::request("/stream/" + std::to_string(n)));
        while (flow.actions.attempts.empty())
            flow.flow.onPermitDecision(GRANTED, START);
        ResponseInfo unsure = streamResponse(5);
        unsure.requestLimit = knownLimit(it, flow.actions.attempts.front().directives.upstream);
        const std::size_t asked = it.limitLink.requested.size();
        flow.receiveHead(unsure);
        const bool held = it.limitLink.requested.size() > asked;
        for (int refusals = 0; refusals < 4 && flow.actions.attempts.size() == 1; ++refusals)
            flow.flow.onPermitDecision(refusedFor(Duration(30)), START + Duration(20));
        if (!held || flow.actions.attempts.size() == 1)
            continue;
        ++escalatedAfterRefusal;
        cr_assert(flow.actions.timerAt >= START + Duration(20) + it.context.options.minStreamingTimeout);
    }
    cr_assert_gt(escalatedAfterRefusal, 0);
}

// Guards against hung attempts that are cancelled for a permit that is then refused.
Test(upstreamLimits, silentAttemptIsReplacedOnlyWithAPermit)
{
    Deployment it;
    limitPlainUpstreams(it);
    FlowUnderTest flow(it, Deployment::request("/idempotent/1"));
    flow.flow.onPermitDecision(GRANTED, START);
    TimePoint now = flow.actions.timerAt;
    flow.flow.onTimer(now);
    cr_assert_eq(it.limitLink.requested.size(), 2);
    cr_assert_eq(flow.actions.cancelled, 0);
    flow.flow.onPermitDecision(refusedFor(Duration(100)), now);
    cr_assert_eq(flow.actions.cancelled, 0, "the attempt goes on");
    now = flow.actions.timerAt;
    flow.flow.onTimer(now);
    flow.flow.onPermitDecision(GRANTED, now);
    cr_assert_eq(flow.actions.cancelled, 1);
    cr_assert_eq(flow.actions.attempts.size(), 2);
    cr_assert(flow.actions.attempts[0].directives.upstream != flow.actions.attempts[1].directives.upstream);
}

Test(upstreamLimits, retriesNeedPermits)
{
    Deployment it;
    limitPlainUpstreams(it);
    FlowUnderTest flow(it, Deployment::request("/idempotent/1"));
    flow.flow.onPermitDecision(GRANTED, START);
    flow.receiveResponse(errorResponse());
    cr_assert_eq(flow.actions.attempts.size(), 1);
    cr_assert_eq(it.limitLink.requested.size(), 2);
    flow.flow.onPermitDecision(GRANTED, START + Duration(30));
    cr_assert_eq(flow.actions.attempts.size(), 2);
}

// Guards against second models that go around the limits of their upstreams.
Test(upstreamLimits, escalatedRequestsNeedPermits)
{
    Deployment it;
    limitUpstream(it, "e0");
    limitUpstream(it, "e1");
    int askedByEscalations = 0;
    for (int n = 0; n < 20; ++n) {
        FlowUnderTest flow(it, Deployment::request("/stream/" + std::to_string(n)));
        while (flow.actions.attempts.empty())
            flow.flow.onPermitDecision(GRANTED, START);
        const std::size_t before = it.limitLink.requested.size();
        ResponseInfo unsure = streamResponse(5);
        unsure.requestLimit = knownLimit(it, flow.actions.attempts.front().directives.upstream);
        flow.receiveHead(unsure);
        askedByEscalations += it.limitLink.requested.size() > before ? 1 : 0;
        const bool sent = flow.actions.attempts.size() == 2;
        cr_assert(!sent || flow.actions.attempts.back().directives.upstream == UpstreamId("e2"));
    }
    cr_assert_gt(askedByEscalations, 0);
}

Test(upstreamLimits, queuedRequestsNeedPermits)
{
    Deployment it;
    keepOnePlainUpstream(it);
    std::vector<std::unique_ptr<FlowUnderTest>> busy;
    while (it.serviceQueues.size() == 0)
        busy.push_back(std::make_unique<FlowUnderTest>(it, Deployment::request("/idempotent/1")));
    limitUpstream(it, "p0");
    busy.front()->receiveResponse(responseWithLimit(LIMIT));
    FlowUnderTest& waiting = *busy.back();
    cr_assert(it.serviceQueues.popNext(ServiceName("plain"), START + Duration(30)).has_value());
    cr_assert(waiting.flow.onDequeued(START + Duration(30)));
    cr_assert(waiting.actions.attempts.empty());
    cr_assert_eq(it.limitLink.requested.size(), 1);
    waiting.flow.onPermitDecision(GRANTED, START + Duration(32));
    cr_assert_eq(waiting.actions.attempts.size(), 1);
}

Test(upstreamLimits, resumedStreamsNeedPermits)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.receiveHead(streamResponse());
    flow.receiveEvents(1, 2);
    limitEngines(it);
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START + Duration(40));
    cr_assert_eq(flow.actions.attempts.size(), 1);
    flow.flow.onPermitDecision(GRANTED, START + Duration(42));
    cr_assert_eq(flow.actions.attempts.size(), 2);
    cr_assert(flow.actions.attempts.back().directives.lastEventId == 2);
}

Test(upstreamLimits, revokedKeyStopsARequestThatWaitsForAPermit)
{
    Deployment it;
    limitPlainUpstreams(it);
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    it.host.keysAccepted = false;
    flow.flow.onPermitDecision(GRANTED, START + Duration(2));
    cr_assert(flow.actions.attempts.empty());
    cr_assert_eq(flow.actions.localStatus, STATUS_UNAVAILABLE);
}

Test(upstreamLimits, permitOfACallerThatLeftIsNotUsed)
{
    Deployment it;
    limitPlainUpstreams(it);
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    flow.flow.onCallerGone(START + Duration(1));
    flow.flow.onPermitDecision(GRANTED, START + Duration(2));
    cr_assert(flow.flow.isDone() && flow.actions.attempts.empty());
}

Test(upstreamLimits, changesAreAnnouncedToOtherHosts)
{
    Deployment it;
    keepOnePlainUpstream(it);
    FlowUnderTest first(it, Deployment::request("/idempotent/1"));
    first.receiveResponse(responseWithLimit(LIMIT));
    cr_assert_eq(it.limitLink.announcements, 1);
    FlowUnderTest second(it, Deployment::request("/idempotent/1"));
    second.flow.onPermitDecision(GRANTED, START + Duration(30));
    second.receiveResponse(responseWithLimit(LIMIT), "body", START + Duration(50));
    cr_assert_eq(it.limitLink.announcements, 1, "nothing new");
}
