#include "flowfixture.h"

// Request flows whose API key passes to another workspace.
using namespace fireflyhaven;
using namespace fireflyhaven::entry;
using namespace fireflyhaven::entry::test;

namespace {

// The key of the first workspace passes to another one.
void passKeyOn(Deployment& it)
{
    catalog::Configuration next = it.catalog.configuration();
    next.version = catalog::ConfigurationVersion(2);
    catalog::Workspace successor = next.workspaces.front();
    successor.id = WorkspaceId("successor");
    next.workspaces = { successor };
    it.catalog.onConfiguration(next);
}

}

// Two workspaces are joined while a request waits. Guards against running it for the one that no longer holds its key
// (review/5).
Test(waiting, queuedRequestFollowsItsKeyToAnotherWorkspace)
{
    Deployment it;
    std::vector<std::unique_ptr<FlowUnderTest>> busy;
    do
        busy.push_back(std::make_unique<FlowUnderTest>(it, Deployment::request("/non-idempotent/1")));
    while (!busy.back()->actions.attempts.empty());
    passKeyOn(it);
    busy.front()->receiveResponse(successResponse());
    it.serviceQueues.popNext(ServiceName("plain"), START + Duration(10));
    cr_assert(busy.back()->flow.onDequeued(START + Duration(10)));
    cr_assert_eq(busy.back()->actions.attempts.size(), 1);
    cr_assert(busy.back()->actions.attempts.front().directives.workspace == WorkspaceId("successor"));
}

// Guards against continuing for one workspace what has begun for another.
Test(callers, startedRequestIsNotRepeatedForAnotherWorkspace)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/idempotent/1"));
    cr_assert_eq(flow.actions.attempts.size(), 1);
    passKeyOn(it);
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START + Duration(10));
    cr_assert_eq(flow.actions.attempts.size(), 1);
    cr_assert(flow.flow.isDone());
}
