#include "flowfixture.h"

#include <functional>

// Every wait of a request against every change that may come meanwhile: what goes on after the wait is checked as if
// the request had just arrived.
using namespace fireflyhaven;
using namespace fireflyhaven::entry;
using namespace fireflyhaven::entry::test;

namespace {

constexpr TimePoint LATER = START + Duration(20);
constexpr RequestRate LIMIT { 1.8 };
const PromptPartId PART(7);

// A request that waits, and what ends its wait.
struct Wait {
    std::string name;
    // Brings a deployment to the point where the request waits; fills the flows, the waiting one last.
    std::function<void(Deployment&, std::vector<std::unique_ptr<FlowUnderTest>>&)> begin;
    std::function<void(Deployment&, std::vector<std::unique_ptr<FlowUnderTest>>&, TimePoint)> goOn;
    // Attempts before the wait.
    std::size_t sends = 0;
    // Longest time of the request.
    Duration timeout {};
};

// What comes meanwhile, after which the request must not be sent.
struct Change {
    std::string name;
    std::function<void(Deployment&, FlowUnderTest&)> apply;
    bool isTimeOver = false;
};

CallerRequest requestFor(const std::string& path)
{
    CallerRequest it = Deployment::request(path);
    it.promptParts = { { .id = PART, .tokens = 10 }, { .id = PromptPartId(8), .tokens = 10 } };
    return it;
}

void begin(Deployment& it, std::vector<std::unique_ptr<FlowUnderTest>>& flows, const std::string& path)
{
    flows.push_back(std::make_unique<FlowUnderTest>(it, requestFor(path)));
}

void limitAll(Deployment& it, const std::string& prefix)
{
    for (int n = 0; n < 3; ++n)
        it.limits.onAnswer({ .upstream = ratelimit::incarnationOf(UpstreamId(prefix + std::to_string(n)), 0),
                               .limit = LIMIT,
                               .sentAt = START },
            START);
}

const std::vector<Wait>& waits()
{
    using Flows = std::vector<std::unique_ptr<FlowUnderTest>>;
    static const std::vector<Wait> WAITS {
        { .name = "service queue",
            .begin =
                [](Deployment& it, Flows& flows) {
                    do
                        begin(it, flows, "/non-idempotent/1");
                    while (!flows.back()->actions.attempts.empty());
                },
            .goOn =
                [](Deployment& it, Flows& flows, TimePoint now) {
                    flows.front()->receiveResponse(successResponse());
                    if (it.serviceQueues.popNext(ServiceName("plain"), now))
                        flows.back()->flow.onDequeued(now);
                },
            .timeout = Duration(800) },
        { .name = "permit",
            .begin =
                [](Deployment& it, Flows& flows) {
                    limitAll(it, "p");
                    begin(it, flows, "/non-idempotent/1");
                },
            .goOn = [](Deployment&, Flows& flows,
                        TimePoint now) { flows.back()->flow.onPermitDecision({ .granted = true }, now); },
            .timeout = Duration(800) },
        { .name = "repeat",
            .begin = [](Deployment& it, Flows& flows) { begin(it, flows, "/idempotent/1"); },
            .goOn
            = [](Deployment&, Flows& flows,
                  TimePoint now) { flows.back()->flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", now); },
            .sends = 1,
            .timeout = Duration(800) },
        { .name = "resumed stream",
            .begin =
                [](Deployment& it, Flows& flows) {
                    begin(it, flows, "/stream/1");
                    flows.back()->receiveHead(streamResponse(), START + Duration(5));
                    flows.back()->receiveEvents(1, 3, START + Duration(6));
                },
            .goOn
            = [](Deployment&, Flows& flows,
                  TimePoint now) { flows.back()->flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", now); },
            .sends = 1,
            .timeout = Duration(10'000) },
        { .name = "escalation",
            .begin = [](Deployment& it, Flows& flows) { begin(it, flows, "/stream/1"); },
            .goOn = [](Deployment&, Flows& flows, TimePoint now) { flows.back()->receiveHead(streamResponse(5), now); },
            .sends = 1,
            .timeout = Duration(10'000) },
        { .name = "permit for an escalation",
            .begin =
                [](Deployment& it, Flows& flows) {
                    limitAll(it, "e");
                    begin(it, flows, "/stream/1");
                    flows.back()->flow.onPermitDecision({ .granted = true }, START);
                    ResponseInfo unsure = streamResponse(5);
                    unsure.requestLimit = LIMIT;
                    flows.back()->receiveHead(unsure, START + Duration(5));
                },
            .goOn = [](Deployment&, Flows& flows,
                        TimePoint now) { flows.back()->flow.onPermitDecision({ .granted = true }, now); },
            .sends = 1,
            .timeout = Duration(10'000) },
    };
    return WAITS;
}

void setConfiguration(Deployment& it, const std::function<void(catalog::Configuration&)>& change)
{
    catalog::Configuration next = it.catalog.configuration();
    next.version = catalog::ConfigurationVersion(2);
    change(next);
    it.catalog.onConfiguration(next);
}

const std::vector<Change>& changes()
{
    static const std::vector<Change> CHANGES {
        { .name = "key revoked",
            .apply =
                [](Deployment& it, FlowUnderTest&) {
                    setConfiguration(it, [](catalog::Configuration& next) { next.workspaces.clear(); });
                } },
        { .name = "keys no longer confirmed",
            .apply = [](Deployment& it, FlowUnderTest&) { it.host.keysAccepted = false; } },
        { .name = "part of the prompt refused",
            .apply =
                [](Deployment& it, FlowUnderTest&) {
                    fleet::PoisonNotices notices;
                    notices.verdicts.items.push_back({ .part = PART, .convictedBy = HostId("other"), .crashAgeMs = 1 });
                    it.poisonGuard.onPoisonNotices(notices, fleet::NoticeSource::OwnDataCentre, START);
                } },
        { .name = "data centre evacuated",
            .apply = [](Deployment& it, FlowUnderTest&) { it.catalog.onEvacuation(DataCentreId("dc")); } },
        { .name = "upstreams drain",
            .apply =
                [](Deployment& it, FlowUnderTest&) {
                    for (const auto& [id, state] : std::map(it.catalog.upstreams())) {
                        catalog::Upstream upstream = state.upstream;
                        upstream.phase = catalog::UpstreamPhase::Draining;
                        it.catalog.onUpstream(upstream, START);
                    }
                } },
        { .name = "upstreams gone",
            .apply =
                [](Deployment& it, FlowUnderTest&) {
                    for (const auto& [id, state] : std::map(it.catalog.upstreams()))
                        it.catalog.onUpstreamGone(id, std::nullopt);
                } },
        { .name = "version rolled back",
            .apply =
                [](Deployment& it, FlowUnderTest&) {
                    for (const char* service : { "plain", "engines" })
                        it.rollouts.onStatus({ .service = ServiceName(service),
                            .target = catalog::SoftwareVersion("v1"),
                            .phase = catalog::RolloutPhase::RolledBack });
                } },
        { .name = "caller left", .apply = [](Deployment&, FlowUnderTest& flow) { flow.actions.callerLeft = true; } },
        { .name = "time over", .apply = [](Deployment&, FlowUnderTest&) {}, .isTimeOver = true },
    };
    return CHANGES;
}

std::size_t attemptsAfter(const Wait& wait, const Change* change)
{
    Deployment it;
    std::vector<std::unique_ptr<FlowUnderTest>> flows;
    wait.begin(it, flows);
    FlowUnderTest& waiting = *flows.back();
    cr_assert_eq(waiting.actions.attempts.size(), wait.sends, "%s", wait.name.c_str());
    cr_assert_not(waiting.flow.isDone(), "%s", wait.name.c_str());
    if (change)
        change->apply(it, waiting);
    wait.goOn(it, flows, change && change->isTimeOver ? START + wait.timeout : LATER);
    return waiting.actions.attempts.size();
}

}

// Shows that the checks below can fail.
Test(waitingChecks, unchangedRequestIsSentAfterEachWait)
{
    for (const Wait& wait : waits())
        cr_expect_eq(attemptsAfter(wait, nullptr), wait.sends + 1, "%s", wait.name.c_str());
}

// Guards against a check that only the arrival makes: key, workspace, refused parts, evacuation, drain, caller, time.
Test(waitingChecks, changedRequestIsNotSentAfterAnyWait)
{
    for (const Wait& wait : waits()) {
        for (const Change& change : changes())
            cr_expect_eq(attemptsAfter(wait, &change), wait.sends, "%s: %s", wait.name.c_str(), change.name.c_str());
    }
}

// What was not sent yet follows its key; what was is not continued for another workspace.
Test(waitingChecks, keyOfAnotherWorkspaceEndsWhatHasBegun)
{
    const Change passedOn { .name = "key passed on", .apply = [](Deployment& it, FlowUnderTest&) {
                               setConfiguration(it, [](catalog::Configuration& next) {
                                   next.workspaces.front().id = WorkspaceId("successor");
                               });
                           } };
    for (const Wait& wait : waits())
        cr_expect_eq(attemptsAfter(wait, &passedOn), 1, "%s", wait.name.c_str());
}

// The users' rule binds requests that are sent after a change. The route of its arrival counts for one that waits.
Test(waitingChecks, waitingRequestKeepsTheRouteOfItsArrival)
{
    const Change routesTakenAway { .name = "routes taken away", .apply = [](Deployment& it, FlowUnderTest&) {
                                      setConfiguration(it, [](catalog::Configuration& next) { next.routes.clear(); });
                                  } };
    for (const Wait& wait : waits())
        cr_expect_eq(attemptsAfter(wait, &routesTakenAway), wait.sends + 1, "%s", wait.name.c_str());
}
