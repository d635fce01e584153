#include "flowfixture.h"

#include "fireflyhaven/http/types/status.h"

// What attempts tell the roll-outs of the version that served them.
using namespace fireflyhaven;
using namespace fireflyhaven::entry;
using namespace fireflyhaven::entry::test;

namespace {

// Number of response times that count for the versions that are not on trial.
double baselineSamples(Deployment& it, const ServiceName& service)
{
    it.rollouts.onOrder(
        { .service = service, .target = catalog::SoftwareVersion("v2"), .duration = Duration(60'000) }, START);
    fleet::HostReport report;
    it.rollouts.fillReport(report, START);
    double samples = 0;
    for (const fleet::RouteTimes& route : report.baselineTimes.items)
        samples += route.times.effectiveSamples();
    return samples;
}

}

// Guards against a slow version that looks sound because its slowest attempts are given up before they answer.
Test(versionTimes, overdueAttemptsCountWhoeverGivesThemUp)
{
    const ServiceName service("plain");
    {
        Deployment it;
        FlowUnderTest replaced(it, Deployment::request("/idempotent/1"));
        replaced.flow.onTimer(replaced.actions.timerAt);
        cr_assert_eq(replaced.actions.attempts.size(), 2);
        cr_assert_gt(baselineSamples(it, service), 0);
    }
    {
        Deployment it;
        FlowUnderTest left(it, Deployment::request("/non-idempotent/1"));
        left.flow.onCallerGone(START + Duration(500));
        cr_assert_gt(baselineSamples(it, service), 0);
    }
    {
        Deployment it;
        FlowUnderTest expired(it, Deployment::request("/non-idempotent/1"));
        expired.flow.onTimer(START + Duration(800));
        cr_assert_eq(expired.actions.localStatus, STATUS_GATEWAY_TIMEOUT);
        cr_assert_gt(baselineSamples(it, service), 0);
    }
    Deployment it;
    FlowUnderTest soon(it, Deployment::request("/non-idempotent/1"));
    soon.flow.onCallerGone(START + Duration(1));
    cr_assert_eq(baselineSamples(it, service), 0, "an attempt that is not overdue tells nothing");
}
