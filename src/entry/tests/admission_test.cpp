#include "flowfixture.h"

#include "fireflyhaven/http/types/status.h"

#include <functional>

// Which requests the configuration in force admits.
using namespace fireflyhaven;
using namespace fireflyhaven::entry;
using namespace fireflyhaven::entry::test;

namespace {

void setConfiguration(Deployment& it, const std::function<void(catalog::Configuration&)>& change)
{
    catalog::Configuration next = it.catalog.configuration();
    next.version = catalog::ConfigurationVersion(next.version.value() + 1);
    change(next);
    it.catalog.onConfiguration(next);
}

CallerRequest requestWithoutKey(const std::string& path)
{
    CallerRequest it = Deployment::request(path);
    it.key.reset();
    return it;
}

}

// A request without a key waits while keys are not asked for. Guards against sending it once they are.
Test(admission, waitingRequestNeedsAKeyOnceKeysAreAskedFor)
{
    Deployment it;
    setConfiguration(it, [](catalog::Configuration& next) { next.requiresApiKeys = false; });
    std::vector<std::unique_ptr<FlowUnderTest>> flows;
    do
        flows.push_back(std::make_unique<FlowUnderTest>(it, requestWithoutKey("/non-idempotent/1")));
    while (!flows.back()->actions.attempts.empty());
    setConfiguration(it, [](catalog::Configuration& next) { next.requiresApiKeys = true; });
    flows.front()->receiveResponse(successResponse());
    it.serviceQueues.popNext(ServiceName("plain"), START + Duration(10));
    flows.back()->flow.onDequeued(START + Duration(10));
    cr_assert(flows.back()->actions.attempts.empty());
    cr_assert_eq(flows.back()->actions.localStatus, STATUS_UNAUTHORIZED);
}

// Guards against callers that choose any model where the list of permitted ones cannot be read.
Test(admission, routeWhoseModelListIsEmptyPermitsNoModel)
{
    Deployment it;
    setConfiguration(it, [](catalog::Configuration& next) { next.routes.front().models.clear(); });
    CallerRequest request = Deployment::request("/stream/1");
    request.model = "l";
    FlowUnderTest flow(it, request);
    cr_assert(flow.actions.attempts.empty());
    cr_assert_eq(flow.actions.localStatus, STATUS_UNAVAILABLE);
}
