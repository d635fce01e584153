#include "flowfixture.h"

#include "fireflyhaven/http/types/status.h"

// Requests that arrive at a host before it has loaded the configuration and the upstreams.
using namespace fireflyhaven;
using namespace fireflyhaven::entry;
using namespace fireflyhaven::entry::test;

namespace {

// What the host knows once it has loaded everything.
struct StartingHost {
    StartingHost()
        : loaded(it.catalog)
    {
        it.catalog = catalog::Catalog();
        it.host.catalogLoaded = false;
    }
    void load()
    {
        it.catalog = loaded;
        it.host.catalogLoaded = true;
    }

    Deployment it;
    const catalog::Catalog loaded;
};

constexpr TimePoint LOADED_AT = START + Duration(300);

}

// Guards against callers that are refused moments before the host can serve them.
Test(requestsAtStartup, requestIsSentOnceTheConfigurationIsLoaded)
{
    StartingHost starting;
    FlowUnderTest flow(starting.it, Deployment::request("/non-idempotent/1"));
    cr_assert_eq(flow.actions.localStatus, 0);
    cr_assert_eq(starting.it.startupQueue.size(), 1);
    starting.load();
    flow.flow.onCatalogLoaded(LOADED_AT);
    cr_assert_eq(flow.actions.attempts.size(), 1);
    cr_assert(flow.actions.attempts.front().directives.deadline == Duration(500), "the time that is left");
    cr_assert_eq(starting.it.startupQueue.size(), 0);
    flow.receiveResponse(successResponse(), "body", LOADED_AT + Duration(20));
    cr_assert(flow.actions.finished);
}

Test(requestsAtStartup, requestIsRefusedAsNotRunIfNothingIsLoaded)
{
    StartingHost starting;
    FlowUnderTest flow(starting.it, Deployment::request("/idempotent/1"));
    flow.flow.onTimer(flow.actions.timerAt);
    cr_assert_eq(flow.actions.localStatus, STATUS_UNAVAILABLE);
    cr_assert(flow.actions.retryAfter.has_value());
    cr_assert(flow.flow.isDone() && flow.actions.attempts.empty());
    cr_assert_eq(starting.it.startupQueue.size(), 0);
}

Test(requestsAtStartup, requestIsRefusedAtOnceWhereNoneMayWait)
{
    StartingHost starting;
    FlowUnderTest late(starting.it, Deployment::request("/idempotent/1"), START + Duration(60'000));
    cr_assert_eq(late.actions.localStatus, STATUS_UNAVAILABLE);
}

// Guards against a wait that gets around what is checked when a request arrives.
Test(requestsAtStartup, routeKeyAndItsConfirmationAreCheckedAfterTheWait)
{
    StartingHost starting;
    CallerRequest unknownKey = Deployment::request("/idempotent/1");
    unknownKey.key = "revoked";
    FlowUnderTest revoked(starting.it, unknownKey);
    FlowUnderTest removedRoute(starting.it, Deployment::request("/removed/1"));
    FlowUnderTest unconfirmed(starting.it, Deployment::request("/idempotent/1"));
    starting.load();
    revoked.flow.onCatalogLoaded(LOADED_AT);
    removedRoute.flow.onCatalogLoaded(LOADED_AT);
    starting.it.host.keysAccepted = false;
    unconfirmed.flow.onCatalogLoaded(LOADED_AT);
    cr_assert_eq(revoked.actions.localStatus, STATUS_UNAUTHORIZED);
    cr_assert_eq(removedRoute.actions.localStatus, STATUS_NOT_FOUND);
    cr_assert_eq(unconfirmed.actions.localStatus, STATUS_UNAVAILABLE);
    for (const FlowUnderTest* flow : { &revoked, &removedRoute, &unconfirmed })
        cr_assert(flow->actions.attempts.empty());
}

Test(requestsAtStartup, nothingIsSentForACallerThatHasLeftOrWhoseTimeIsOver)
{
    StartingHost starting;
    FlowUnderTest left(starting.it, Deployment::request("/idempotent/1"));
    FlowUnderTest late(starting.it, Deployment::request("/idempotent/1"));
    FlowUnderTest gone(starting.it, Deployment::request("/idempotent/1"));
    left.actions.callerLeft = true;
    gone.flow.onCallerGone(START + Duration(10));
    starting.load();
    left.flow.onCatalogLoaded(LOADED_AT);
    late.flow.onCatalogLoaded(START + Duration(900));
    cr_assert(left.actions.attempts.empty() && left.flow.isDone());
    cr_assert(late.actions.attempts.empty() && late.actions.localStatus == STATUS_UNAVAILABLE);
    cr_assert(gone.flow.isDone() && starting.it.startupQueue.size() == 0);
}

Test(requestsAtStartup, waitingRequestIsAnsweredBeforeTheProcessExits)
{
    StartingHost starting;
    FlowUnderTest flow(starting.it, Deployment::request("/idempotent/1"));
    flow.flow.onHostStops(START + Duration(50));
    cr_assert_eq(flow.actions.localStatus, STATUS_UNAVAILABLE);
    cr_assert_eq(starting.it.startupQueue.size(), 0);
}

Test(requestsAtStartup, urgencyIsKnownOnceTheConfigurationIsLoaded)
{
    StartingHost starting;
    FlowUnderTest ordinary(starting.it, Deployment::request("/idempotent/1"));
    FlowUnderTest urgent(starting.it, Deployment::request("/urgent/1"));
    starting.load();
    cr_assert_lt(urgent.flow.priority(), ordinary.flow.priority());
}
