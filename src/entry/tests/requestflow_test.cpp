#include "flowfixture.h"

#include "fireflyhaven/http/types/status.h"

using namespace fireflyhaven;
using namespace fireflyhaven::entry;
using namespace fireflyhaven::entry::test;

Test(admission, withoutAConfigurationEverythingIsToComeBack)
{
    Deployment it;
    it.catalog = catalog::Catalog();
    FlowUnderTest flow(it, Deployment::request("/many/1"));
    cr_assert_eq(flow.actions.ownStatus, STATUS_UNAVAILABLE);
    cr_assert(flow.actions.retryAfter.has_value());
}

Test(admission, unknownRoutesAndKeysAreRejectedOnlyWhereThatIsCertain)
{
    Deployment it;
    CallerRequest stranger = Deployment::request("/many/1");
    stranger.key = "other";
    cr_assert_eq(FlowUnderTest(it, Deployment::request("/none/1")).actions.ownStatus, STATUS_NOT_FOUND);
    cr_assert_eq(FlowUnderTest(it, stranger).actions.ownStatus, STATUS_UNAUTHORIZED);
    it.host.certain = false;
    cr_assert_eq(FlowUnderTest(it, Deployment::request("/none/1")).actions.ownStatus, STATUS_UNAVAILABLE);
    cr_assert_eq(FlowUnderTest(it, stranger).actions.ownStatus, STATUS_UNAVAILABLE);
}

Test(admission, aKeyIsNotUsedWhileItMayHaveBeenTakenAway)
{
    Deployment it;
    it.host.keysUsable = false;
    FlowUnderTest keyed(it, Deployment::request("/many/1"));
    cr_assert_eq(keyed.actions.ownStatus, STATUS_UNAVAILABLE);
    cr_assert(keyed.actions.attempts.empty());
    FlowUnderTest open(it, Deployment::request("/open/1"));
    cr_assert_eq(open.actions.attempts.size(), 1, "a route without keys is served");
}

Test(admission, theUpstreamLearnsTheWorkspaceAndWhatIsLeftOfTheTime)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/many/1"));
    const UpstreamOrder& order = flow.actions.attempts.front().order;
    cr_assert(order.workspace == WorkspaceId("w"));
    cr_assert(order.deadline == Duration(800), "the route's timeout is shorter than the caller's deadline");
}

Test(admission, aHostThatLeavesSendsCallersElsewhereAtOnce)
{
    Deployment it;
    it.host.taking = false;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    cr_assert_eq(flow.actions.ownStatus, STATUS_UNAVAILABLE);
    cr_assert(flow.actions.retryAfter == Duration(0));
    cr_assert(flow.actions.attempts.empty());
}

Test(answers, aWholeAnswerIsPassedOn)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/once/1"));
    flow.answer(good(), "hello");
    cr_assert(flow.flow.isDone() && flow.actions.finished);
    cr_assert_str_eq(flow.actions.sent.c_str(), "hello");
}

Test(answers, anErrorOfARequestThatMayRunOnceIsPassedOnUnchanged)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/once/1"));
    flow.answer(error(), "broken");
    cr_assert_eq(flow.actions.headStatus, 500);
    cr_assert_str_eq(flow.actions.sent.c_str(), "broken");
    cr_assert_eq(flow.actions.attempts.size(), 1);
}

Test(answers, anErrorOfARequestThatMayBeRepeatedIsTriedAtAnotherUpstream)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/many/1"));
    flow.answer(error());
    cr_assert_eq(flow.actions.attempts.size(), 2);
    cr_assert(flow.actions.attempts[0].order.upstream != flow.actions.attempts[1].order.upstream);
    flow.answer(good());
    cr_assert_eq(flow.actions.headStatus, 200);
}

Test(answers, attemptsStayWithinTheRoutesLimit)
{
    Deployment it(2);
    FlowUnderTest flow(it, Deployment::request("/many/1"));
    flow.answer(error());
    flow.answer(error(), "last");
    cr_assert_eq(flow.actions.attempts.size(), 2);
    cr_assert_str_eq(flow.actions.sent.c_str(), "last");
}

Test(answers, retriesStayWithinTheBudget)
{
    Deployment it;
    it.retries = dispatch::RetryBudgets({ .ratio = 0, .slack = 0, .maxAttempts = 100 });
    FlowUnderTest flow(it, Deployment::request("/many/1"));
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START);
    cr_assert_eq(flow.actions.attempts.size(), 1);
    cr_assert_eq(flow.actions.ownStatus, STATUS_BAD_GATEWAY);
}

Test(once, nothingIsSentAgainAfterItMayHaveRun)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/once/1"));
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START);
    cr_assert_eq(flow.actions.attempts.size(), 1);
    cr_assert_eq(flow.actions.ownStatus, STATUS_BAD_GATEWAY, "502 promises nothing");
}

Test(once, whatSurelyDidNotRunIsSentElsewhere)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/once/1"));
    flow.flow.onAttemptFailed(http::SendState::NothingSent, "refused", START);
    cr_assert_eq(flow.actions.attempts.size(), 2);
    flow.answer(turnedAway());
    cr_assert_eq(flow.actions.attempts.size(), 3);
}

Test(once, aRefusalAfterAPossibleRunIsNeverCalledNotRun)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/many/1"));
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START);
    flow.answer(turnedAway());
    flow.answer(turnedAway());
    cr_assert(flow.flow.isDone());
    cr_assert_eq(flow.actions.ownStatus, STATUS_BAD_GATEWAY);
}

Test(once, aTruncatedAnswerIsNotPassedOn)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/once/1"));
    flow.head(good());
    flow.flow.onAttemptPiece("half", START);
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "cut", START);
    cr_assert_eq(flow.actions.ownStatus, STATUS_BAD_GATEWAY);
    cr_assert(flow.actions.sent.empty());
}

Test(once, aConnectionThatWasIdleForLongIsNotUsed)
{
    Deployment it;
    cr_assert(FlowUnderTest(it, Deployment::request("/once/1")).actions.attempts.front().freshFor.has_value());
    cr_assert_not(FlowUnderTest(it, Deployment::request("/many/1")).actions.attempts.front().freshFor.has_value());
}

Test(foreign, answersToOtherRequestsAreSkipped)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/once/1"));
    AnswerFacts other = good();
    other.attempt = AttemptId("b");
    cr_assert(flow.head(other) == http::HeadVerdict::Skip);
    flow.answer(good(), "mine");
    cr_assert_str_eq(flow.actions.sent.c_str(), "mine");
}

Test(foreign, anAnswerWithoutSignatureIsNotPassedOn)
{
    Deployment it;
    AnswerFacts unsignedAnswer = good();
    unsignedAnswer.isSigned = false;
    FlowUnderTest once(it, Deployment::request("/once/1"));
    once.answer(unsignedAnswer);
    cr_assert_eq(once.actions.ownStatus, STATUS_BAD_GATEWAY);
    FlowUnderTest many(it, Deployment::request("/many/1"));
    many.head(unsignedAnswer);
    cr_assert_eq(many.actions.attempts.size(), 2);
    cr_assert_eq(many.actions.cancelled, 1);
}

Test(models, theSmallestIsAskedFirstAndItsConfidentAnswerPasses)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    cr_assert(flow.actions.attempts.front().order.model == catalog::ModelName("s"));
    flow.head(stream(90));
    flow.events(1, 3);
    flow.flow.onAttemptEnd(START + Duration(40));
    cr_assert(flow.actions.finished);
    cr_assert_eq(flow.actions.attempts.size(), 1);
}

Test(models, anAnswerOfLowConfidenceIsDroppedBeforeItsFirstByte)
{
    Deployment it;
    for (int n = 0; n < 200; ++n)
        it.ladder.onConfidence(ServiceName("engines"), catalog::ModelName("s"), n % 2 ? 90 : 10);
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.head(stream(20));
    cr_assert_eq(flow.actions.cancelled, 1);
    cr_assert_eq(flow.actions.attempts.size(), 2);
    cr_assert(flow.actions.attempts.back().order.model == catalog::ModelName("l"));
    flow.head(stream(30));
    flow.events(1, 2);
    cr_assert_eq(flow.actions.headStatus, 200, "the largest model's answer passes whatever its confidence");
}

Test(models, withoutAnAttemptLeftTheAnswerPasses)
{
    Deployment it(1);
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.head(stream(20));
    flow.events(1, 1);
    cr_assert_eq(flow.actions.headStatus, 200);
    cr_assert_eq(flow.actions.attempts.size(), 1);
}

Test(streams, goOnAfterTheLastEventThatTheCallerHas)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.head(stream());
    flow.events(1, 3);
    flow.flow.onAttemptPiece("id: 4\nda", START + Duration(50));
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START + Duration(50));
    cr_assert_eq(flow.actions.attempts.size(), 2);
    cr_assert_eq(*flow.actions.attempts.back().order.lastEventId, 3);
    flow.head(stream());
    flow.events(4, 5);
    flow.flow.onAttemptEnd(START + Duration(60));
    cr_assert(flow.actions.finished);
    std::string expected;
    for (int n = 1; n <= 5; ++n)
        expected += "id: " + std::to_string(n) + "\ndata: x\n\n";
    cr_assert_str_eq(flow.actions.sent.c_str(), expected.c_str());
}

Test(streams, anEventThatComesTwiceIsPassedOnce)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.head(stream());
    flow.events(1, 3);
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START + Duration(50));
    flow.head(stream());
    flow.events(2, 4);
    std::string expected;
    for (int n = 1; n <= 4; ++n)
        expected += "id: " + std::to_string(n) + "\ndata: x\n\n";
    cr_assert_str_eq(flow.actions.sent.c_str(), expected.c_str());
}

Test(streams, thatCantGoOnAreBrokenOffVisibly)
{
    Deployment it(1);
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.head(stream());
    flow.events(1, 3);
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START + Duration(50));
    cr_assert(flow.actions.aborted);
    cr_assert_not(flow.actions.finished);
}

Test(streams, thatEndWithinAnEventAreNotComplete)
{
    Deployment it(1);
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.head(stream());
    flow.events(1, 1);
    flow.flow.onAttemptPiece("id: 2\ndata", START + Duration(50));
    flow.flow.onAttemptEnd(START + Duration(50));
    cr_assert(flow.actions.aborted);
}

// Pattern: an upstream that falls silent in the middle of its streams (dark).
Test(streams, aSilentUpstreamIsLeftAfterAPause)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.head(stream());
    flow.events(1, 1);
    flow.flow.onTimer(START + Duration(500));
    cr_assert_eq(flow.actions.attempts.size(), 1, "a pause within the target is no reason");
    flow.flow.onTimer(START + Duration(5000));
    cr_assert_eq(flow.actions.attempts.size(), 2);
    cr_assert_eq(flow.actions.cancelled, 1);
}

// Urna Viva, quiet-1: 34 streams were cut because the budget was asked only after the attempt had been cancelled.
// Pattern: a stalled upstream keeps its connection busy with single bytes of an event that never ends.
Test(streams, anUpstreamThatDripsBytesWithoutAnEventIsLeftLikeASilentOne)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.head(stream());
    flow.events(1, 2, START + Duration(30));
    for (Duration after { 100 }; after < Duration(10'000) && flow.actions.attempts.size() == 1;
         after += Duration(100)) {
        flow.flow.onAttemptPiece("x", START + after);
        if (START + after >= flow.actions.wake)
            flow.flow.onTimer(START + after);
    }
    cr_assert_eq(flow.actions.attempts.size(), 2);
    cr_assert(flow.actions.attempts.back().order.lastEventId == 2, "it goes on after the last whole event");
}

// Pattern: a sound upstream is slow, but each event comes whole before its limit.
Test(streams, aSlowStreamWhoseEventsComeInPiecesIsNotLeft)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.head(stream());
    flow.events(1, 1, START + Duration(30));
    for (std::uint64_t n = 2; n < 12; ++n) {
        const TimePoint begin = START + Duration(30) + Duration(500) * static_cast<int>(n);
        flow.flow.onAttemptPiece("id: " + std::to_string(n) + "\nda", begin);
        if (begin >= flow.actions.wake)
            flow.flow.onTimer(begin);
        flow.flow.onAttemptPiece("ta: x\n\n", begin + Duration(100));
    }
    cr_assert_eq(flow.actions.attempts.size(), 1);
    cr_assert_eq(flow.actions.cancelled, 0);
}

Test(streams, aSilentUpstreamIsKeptWhereNoOtherAttemptMayFollow)
{
    Deployment it;
    it.retries = dispatch::RetryBudgets({ .ratio = 0, .slack = 0, .maxAttempts = 100 });
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.head(stream());
    flow.events(1, 1);
    flow.flow.onTimer(START + Duration(5000));
    cr_assert_eq(flow.actions.cancelled, 0);
    cr_assert_not(flow.actions.aborted);
    flow.events(2, 2);
    cr_assert_not(flow.flow.isDone());
}

Test(deadline, whatNeverRanIsRefusedAndWhatMayHaveRunTimesOut)
{
    Deployment it;
    FlowUnderTest sent(it, Deployment::request("/once/1"));
    sent.flow.onTimer(START + Duration(800));
    cr_assert_eq(sent.actions.ownStatus, STATUS_GATEWAY_TIMEOUT);
    cr_assert_eq(sent.actions.cancelled, 1);
}

Test(waiting, aRequestWaitsForATurnAndIsSentThen)
{
    Deployment it;
    std::vector<std::unique_ptr<FlowUnderTest>> busy;
    while (true) {
        busy.push_back(std::make_unique<FlowUnderTest>(it, Deployment::request("/once/1")));
        if (busy.back()->actions.attempts.empty())
            break;
        cr_assert_lt(busy.size(), 100);
    }
    FlowUnderTest& last = *busy.back();
    cr_assert(it.steps.saw(FlowStep::Queued));
    cr_assert_not(last.flow.onTurn(START + Duration(5)), "all are still busy");
    busy.front()->answer(good());
    cr_assert(it.waiting.popNext(ServiceName("plain"), START + Duration(10)) == last.flow.waitingTicket());
    cr_assert(last.flow.onTurn(START + Duration(10)));
    cr_assert_eq(last.actions.attempts.size(), 1);
}

// Pattern: the waiting room is full of less urgent requests. The one that gives way must hear of it, not wait on.
Test(waiting, aRequestThatGivesWayIsAnsweredAtOnce)
{
    Deployment it(3, 1);
    std::vector<std::unique_ptr<FlowUnderTest>> running;
    while (!it.steps.saw(FlowStep::Queued))
        running.push_back(std::make_unique<FlowUnderTest>(it, Deployment::request("/many/x")));
    FlowUnderTest& waiting = *running.back();
    CallerRequest urgent = Deployment::request("/urgent/x");
    const FlowUnderTest second(it, urgent);
    cr_assert(it.context.shedTickets == std::vector { waiting.flow.waitingTicket() });
    waiting.flow.onShed(START + Duration(1));
    cr_assert(waiting.flow.isDone());
    cr_assert(waiting.actions.ownStatus == 503 && waiting.actions.retryAfter.has_value());
}

Test(waiting, withNoUpstreamInServiceARequestIsRefusedAtOnce)
{
    Deployment it;
    it.catalog.onEvacuation(DataCentreId("dc"));
    FlowUnderTest flow(it, Deployment::request("/once/1"));
    cr_assert_eq(flow.actions.ownStatus, STATUS_UNAVAILABLE);
    cr_assert(flow.actions.retryAfter.has_value());
}

Test(waiting, aRequestWhoseKeyIsTakenAwayMeanwhileIsNotSent)
{
    Deployment it;
    std::vector<std::unique_ptr<FlowUnderTest>> busy;
    do
        busy.push_back(std::make_unique<FlowUnderTest>(it, Deployment::request("/once/1")));
    while (!busy.back()->actions.attempts.empty());
    catalog::Configuration next = it.catalog.configuration();
    next.version = catalog::ConfigurationVersion(2);
    next.workspaces.front().keys = { "another" };
    it.catalog.onConfiguration(next);
    busy.front()->answer(good());
    it.waiting.popNext(ServiceName("plain"), START + Duration(10));
    cr_assert(busy.back()->flow.onTurn(START + Duration(10)));
    cr_assert(busy.back()->actions.attempts.empty());
    cr_assert_eq(busy.back()->actions.ownStatus, STATUS_UNAVAILABLE);
}

Test(callers, thatLeaveEndTheWorkForThem)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.flow.onCallerGone(START + Duration(10));
    cr_assert_eq(flow.actions.cancelled, 1);
    cr_assert(flow.flow.isDone());
    cr_assert_eq(it.balancer.inFlight(flow.actions.attempts.front().order.upstream), 0);
}

Test(callers, sessionsKeepTheirServiceWhereARouteIsSplit)
{
    Deployment it;
    catalog::Configuration split = it.catalog.configuration();
    split.version = catalog::ConfigurationVersion(2);
    split.routes[2].services
        = { { .service = ServiceName("plain"), .weight = 70 }, { .service = ServiceName("engines"), .weight = 30 } };
    it.catalog.onConfiguration(split);
    int plain = 0;
    for (int n = 0; n < 400; ++n) {
        CallerRequest request = Deployment::request("/many/1");
        request.session = SessionId("s" + std::to_string(n));
        std::string first;
        for (int repeat = 0; repeat < 2; ++repeat) {
            FlowUnderTest flow(it, request);
            const std::string upstream = flow.actions.attempts.front().order.upstream.value().substr(0, 1);
            cr_assert(first.empty() || first == upstream);
            first = upstream;
        }
        plain += first == "p" ? 1 : 0;
    }
    cr_assert_float_eq(plain / 400.0, 0.7, 0.08);
}

namespace {

// The deployment with one plain upstream only.
void keepOnePlainUpstream(Deployment& it)
{
    it.catalog.onUpstreamGone(UpstreamId("p1"), std::nullopt);
    it.catalog.onUpstreamGone(UpstreamId("p2"), std::nullopt);
}

AnswerFacts turnedAwayFor(Duration wait)
{
    AnswerFacts it = turnedAway();
    it.retryAfter = wait;
    return it;
}

}

Test(notices, anUpstreamThatSaysInAnAnswerThatItLeavesGetsNothingMore)
{
    Deployment it;
    keepOnePlainUpstream(it);
    FlowUnderTest first(it, Deployment::request("/many/1"));
    AnswerFacts leaving = good();
    leaving.isLeaving = true;
    first.answer(leaving);
    cr_assert_eq(first.actions.headStatus, 200, "its answer is passed on");
    FlowUnderTest second(it, Deployment::request("/many/1"));
    cr_assert(second.actions.attempts.empty());
    cr_assert_eq(second.actions.ownStatus, STATUS_UNAVAILABLE, "refused at once, nothing else serves it");
}

Test(notices, theHeadOfAStreamIsEnoughForLaterStreamsAndForItsOwnResumption)
{
    Deployment it;
    FlowUnderTest first(it, Deployment::request("/stream/1"));
    AnswerFacts leaving = stream();
    leaving.isLeaving = true;
    first.head(leaving);
    first.events(1, 2);
    const UpstreamId gone = first.actions.attempts.front().order.upstream;
    for (int n = 0; n < 20; ++n) {
        FlowUnderTest later(it, Deployment::request("/stream/1"));
        cr_assert(later.actions.attempts.front().order.upstream != gone);
    }
    first.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START + Duration(40));
    cr_assert_eq(first.actions.attempts.size(), 2);
    cr_assert(first.actions.attempts.back().order.upstream != gone);
}

Test(notices, aRequestThatWaitsIsNotSentToAnUpstreamThatLeavesMeanwhile)
{
    Deployment it;
    keepOnePlainUpstream(it);
    std::vector<std::unique_ptr<FlowUnderTest>> busy;
    while (it.waiting.size() == 0)
        busy.push_back(std::make_unique<FlowUnderTest>(it, Deployment::request("/many/1")));
    AnswerFacts leaving = good();
    leaving.isLeaving = true;
    busy.front()->answer(leaving);
    FlowUnderTest& waiting = *busy.back();
    cr_assert(it.waiting.popNext(ServiceName("plain"), START + Duration(30)).has_value());
    waiting.flow.onTurn(START + Duration(30));
    cr_assert(waiting.actions.attempts.empty());
}

Test(notices, anUpstreamThatNamesAWaitIsLeftAloneForSoLong)
{
    Deployment it;
    FlowUnderTest first(it, Deployment::request("/many/1"));
    const UpstreamId busy = first.actions.attempts.front().order.upstream;
    first.answer(turnedAwayFor(Duration(1500)));
    cr_assert(first.actions.attempts.back().order.upstream != busy, "tried elsewhere");
    for (int n = 0; n < 20; ++n) {
        FlowUnderTest later(it, Deployment::request("/many/1"));
        cr_assert(later.actions.attempts.front().order.upstream != busy);
    }
}

Test(notices, whatNoUpstreamWantsBeforeTheDeadlineIsRefusedAtOnce)
{
    Deployment it;
    keepOnePlainUpstream(it);
    FlowUnderTest first(it, Deployment::request("/once/1"));
    first.answer(turnedAwayFor(Duration(1500)));
    FlowUnderTest later(it, Deployment::request("/once/1"));
    cr_assert(later.actions.attempts.empty());
    cr_assert_eq(later.actions.ownStatus, STATUS_UNAVAILABLE);
    cr_assert(later.actions.retryAfter.has_value());
}
