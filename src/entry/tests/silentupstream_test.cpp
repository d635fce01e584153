#include "flowfixture.h"

#include "fireflyhaven/http/types/status.h"

#include <functional>

// Request flows whose upstream falls silent without closing the connection. A sound upstream may do so for a while.
using namespace fireflyhaven;
using namespace fireflyhaven::entry;
using namespace fireflyhaven::entry::test;

namespace {

constexpr Duration STEP { 50 };
constexpr TimePoint SILENT_FROM = START + Duration(30);
// Longer than the times after which a silent upstream is replaced, where one can be.
constexpr Duration SILENCE { 2500 };
constexpr Duration SERVICE_SILENCE { 600 };
// Within the first ejection of an upstream that was silent.
constexpr Duration SUSPECTED_AFTER { 1600 };

// Runs the flow's timer until that time.
void passUntil(FlowUnderTest& flow, TimePoint from, TimePoint end)
{
    for (TimePoint now = from;; now = std::min(now + STEP, end)) {
        if (!flow.flow.isDone() && now >= flow.actions.timerAt)
            flow.flow.onTimer(now);
        if (now >= end)
            return;
    }
}

const std::vector<std::string>& services()
{
    static const std::vector<std::string> NAMES { "e", "p" };
    return NAMES;
}

// Does something for each upstream but the one that the flow is at.
void forOthers(FlowUnderTest& flow, const std::function<void(const UpstreamId&)>& action)
{
    const UpstreamId present = flow.actions.attempts.front().directives.upstream;
    for (const std::string& service : services()) {
        for (int n = 0; n < 3; ++n) {
            const UpstreamId id(service + std::to_string(n));
            if (id != present)
                action(id);
        }
    }
}

catalog::Upstream reportOf(const Deployment& it, const UpstreamId& id) { return it.catalog.upstream(id)->upstream; }

// What keeps the request from going to any other upstream.
struct Obstacle {
    std::string name;
    std::function<void(Deployment&, FlowUnderTest&)> apply;
    // No value where the obstacle stays.
    std::function<void(Deployment&, FlowUnderTest&)> remove;
};

void moveOthersTo(Deployment& it, FlowUnderTest& flow, const DataCentreId& dataCentre)
{
    forOthers(flow, [&](const UpstreamId& id) {
        catalog::Upstream report = reportOf(it, id);
        report.dataCentre = dataCentre;
        it.catalog.onUpstream(report, START);
    });
}

void setPhaseOfOthers(Deployment& it, FlowUnderTest& flow, catalog::UpstreamPhase phase)
{
    forOthers(flow, [&](const UpstreamId& id) {
        catalog::Upstream report = reportOf(it, id);
        report.phase = phase;
        it.catalog.onUpstream(report, START);
    });
}

balancing::Ticket ticketAt(const Deployment& it, const UpstreamId& id)
{
    const catalog::Upstream report = reportOf(it, id);
    return { .upstream = id, .upstreamStartedAtMs = report.startedAtMs, .service = report.service };
}

const DataCentreId OTHER_DATA_CENTRE("dc-2");

const std::vector<Obstacle>& obstacles()
{
    static const std::vector<Obstacle> ALL {
        { .name = "only one upstream",
            .apply =
                [](Deployment& it, FlowUnderTest& flow) {
                    forOthers(flow, [&](const UpstreamId& id) { it.catalog.onUpstreamGone(id, std::nullopt); });
                } },
        { .name = "data centre evacuated",
            .apply =
                [](Deployment& it, FlowUnderTest& flow) {
                    moveOthersTo(it, flow, OTHER_DATA_CENTRE);
                    it.catalog.onEvacuation(OTHER_DATA_CENTRE);
                },
            .remove = [](Deployment& it, FlowUnderTest&) { it.catalog.onEvacuationEnded(OTHER_DATA_CENTRE); } },
        { .name = "others drain",
            .apply
            = [](Deployment& it, FlowUnderTest& flow) { setPhaseOfOthers(it, flow, catalog::UpstreamPhase::Draining); },
            .remove
            = [](Deployment& it, FlowUnderTest& flow) { setPhaseOfOthers(it, flow, catalog::UpstreamPhase::Ready); } },
        { .name = "others are full",
            .apply =
                [](Deployment& it, FlowUnderTest& flow) {
                    fleet::HostReport report { .host = HostId("peer") };
                    forOthers(flow, [&](const UpstreamId& id) {
                        report.upstreams.items.push_back({ .upstream = fleet::shortHashOf(id), .inFlight = 500 });
                    });
                    it.peers.onReport(report, true);
                } },
        { .name = "others have asked for a pause",
            .apply =
                [](Deployment& it, FlowUnderTest& flow) {
                    forOthers(flow, [&](const UpstreamId& id) {
                        it.balancer.onBackoff(ticketAt(it, id), Duration(60'000), START);
                    });
                } },
        { .name = "others are ejected",
            .apply =
                [](Deployment& it, FlowUnderTest& flow) {
                    forOthers(flow, [&](const UpstreamId& id) {
                        // At the end of each ejection, which is twice as long as the one before.
                        for (const Duration after : { Duration(0), Duration(1000), Duration(3000) })
                            it.balancer.onEnded(ticketAt(it, id), balancing::SendOutcome::Unreachable, START + after);
                    });
                } },
        { .name = "no retry budget",
            .apply =
                [](Deployment& it, FlowUnderTest&) {
                    it.retries = dispatch::RetryBudgets({ .ratio = 0, .slack = 0, .maxAttempts = 100 });
                },
            .remove =
                [](Deployment& it, FlowUnderTest&) {
                    it.retries = dispatch::RetryBudgets({ .ratio = 1, .slack = 100, .maxAttempts = 100 });
                } },
        { .name = "keys not confirmed for a while",
            .apply = [](Deployment& it, FlowUnderTest&) { it.host.keysAccepted = false; },
            .remove = [](Deployment& it, FlowUnderTest&) { it.host.keysAccepted = true; } },
        { .name = "key revoked",
            .apply =
                [](Deployment& it, FlowUnderTest&) {
                    catalog::Configuration next = it.catalog.configuration();
                    next.version = catalog::ConfigurationVersion(2);
                    next.workspaces.clear();
                    it.catalog.onConfiguration(next);
                } },
    };
    return ALL;
}

// A request and the part of its answer that has arrived before the silence.
struct Beginning {
    std::string name;
    std::string path;
    bool hasHead = false;
    bool isStream = false;
};

const std::vector<Beginning>& beginnings()
{
    static const std::vector<Beginning> ALL {
        { .name = "stream, some events", .path = "/stream/1", .hasHead = true, .isStream = true },
        { .name = "stream, no head", .path = "/stream/1", .isStream = true },
        { .name = "answer, no head", .path = "/idempotent/1" },
        { .name = "answer, part of the body", .path = "/idempotent/1", .hasHead = true },
    };
    return ALL;
}

std::unique_ptr<FlowUnderTest> begin(Deployment& it, const Beginning& beginning)
{
    auto flow = std::make_unique<FlowUnderTest>(it, Deployment::request(beginning.path));
    if (!beginning.hasHead)
        return flow;
    flow->receiveHead(beginning.isStream ? streamResponse() : successResponse());
    if (beginning.isStream)
        flow->receiveEvents(1, 2, SILENT_FROM);
    else
        flow->flow.onAttemptData("first ", SILENT_FROM);
    return flow;
}

void finish(FlowUnderTest& flow, const Beginning& beginning, TimePoint now)
{
    if (!beginning.hasHead)
        flow.receiveHead(beginning.isStream ? streamResponse() : successResponse(), now);
    if (beginning.isStream)
        flow.receiveEvents(beginning.hasHead ? 3 : 1, 4, now);
    else
        flow.flow.onAttemptData("last", now);
    flow.flow.onAttemptEnd(now);
}

}

// Guards against giving up a silent upstream for one that cannot take the request (review/14).
Test(silent_upstream, attemptIsKeptWhereNoOtherCanBegin)
{
    for (const Beginning& beginning : beginnings()) {
        for (const Obstacle& obstacle : obstacles()) {
            Deployment it;
            const auto flow = begin(it, beginning);
            obstacle.apply(it, *flow);
            const TimePoint end = SILENT_FROM + (beginning.isStream ? SILENCE : SERVICE_SILENCE);
            passUntil(*flow, SILENT_FROM, end);
            cr_expect_eq(flow->actions.cancelled, 0, "%s, %s: given up", beginning.name.c_str(), obstacle.name.c_str());
            finish(*flow, beginning, end);
            cr_expect(flow->actions.finished && !flow->actions.aborted, "%s, %s: not whole", beginning.name.c_str(),
                obstacle.name.c_str());
            cr_expect_eq(flow->actions.attempts.size(), 1, "%s, %s", beginning.name.c_str(), obstacle.name.c_str());
        }
    }
}

// The silence lasts. Guards against waiting for an upstream that is gone for good while another one is free.
Test(silent_upstream, attemptIsReplacedOnceAnotherCanBegin)
{
    for (const Beginning& beginning : beginnings()) {
        for (const Obstacle& obstacle : obstacles()) {
            if (!obstacle.remove)
                continue;
            Deployment it;
            const auto flow = begin(it, beginning);
            obstacle.apply(it, *flow);
            const TimePoint freeAt = SILENT_FROM + (beginning.isStream ? SILENCE : SERVICE_SILENCE / 2);
            passUntil(*flow, SILENT_FROM, freeAt);
            obstacle.remove(it, *flow);
            passUntil(*flow, freeAt, freeAt + SERVICE_SILENCE / 2);
            cr_expect_eq(flow->actions.attempts.size(), 2, "%s, %s", beginning.name.c_str(), obstacle.name.c_str());
        }
    }
}

// Guards against a silent upstream that keeps its requests though another one is free from the start.
Test(silent_upstream, attemptIsReplacedWhereAnotherIsFree)
{
    for (const Beginning& beginning : beginnings()) {
        Deployment it;
        const auto flow = begin(it, beginning);
        passUntil(*flow, SILENT_FROM, SILENT_FROM + (beginning.isStream ? SILENCE : SERVICE_SILENCE));
        cr_assert_geq(flow->actions.attempts.size(), 2, "%s", beginning.name.c_str());
        cr_expect(flow->actions.attempts[0].directives.upstream != flow->actions.attempts[1].directives.upstream);
    }
}

// The upstream is gone for good and no other can take the request. Guards against a request that never ends, and
// against an upstream that is not suspected because its attempts are kept.
Test(silent_upstream, requestEndsAtItsTimeAndUpstreamIsSuspected)
{
    for (const Beginning& beginning : beginnings()) {
        Deployment it;
        const std::string service = beginning.isStream ? "e" : "p";
        const UpstreamId silent(service + "0");
        begin(it, beginning);
        for (int n = 0; n < 20; ++n)
            it.balancer.onEnded(ticketAt(it, UpstreamId(service + "1")), balancing::SendOutcome::Succeeded, START);
        for (const char* other : { "1", "2" })
            it.catalog.onUpstreamGone(UpstreamId(service + other), std::nullopt);
        std::vector<std::unique_ptr<FlowUnderTest>> flows;
        for (int n = 0; n < 3; ++n)
            flows.push_back(begin(it, beginning));
        const TimePoint suspectedAt = SILENT_FROM + (beginning.isStream ? SUSPECTED_AFTER : SERVICE_SILENCE);
        const TimePoint deadline = START + Duration(beginning.isStream ? 10'000 : 800);
        for (const auto& flow : flows) {
            passUntil(*flow, SILENT_FROM, suspectedAt);
            cr_expect_not(flow->flow.isDone(), "%s", beginning.name.c_str());
        }
        cr_expect_not(it.balancer.isUsable(silent, suspectedAt), "%s: not suspected", beginning.name.c_str());
        for (const auto& flow : flows) {
            passUntil(*flow, suspectedAt, deadline);
            cr_expect(flow->flow.isDone(), "%s", beginning.name.c_str());
            const bool headSent = beginning.isStream && beginning.hasHead;
            cr_expect_eq(flow->actions.aborted, headSent, "%s", beginning.name.c_str());
            cr_expect_eq(
                flow->actions.localStatus, headSent ? 0 : STATUS_GATEWAY_TIMEOUT, "%s", beginning.name.c_str());
        }
    }
}

// Guards against losing an answer because the upstream that replaces a silent one turns out to be down.
Test(silent_upstream, requestReturnsToTheSilentUpstreamWhereTheOthersAreDown)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    flow.receiveHead(streamResponse());
    flow.receiveEvents(1, 2, SILENT_FROM);
    const auto first = flow.actions.attempts.front().directives.upstream;
    TimePoint now = SILENT_FROM + SILENCE;
    passUntil(flow, SILENT_FROM, now);
    while (flow.actions.attempts.back().directives.upstream != first) {
        cr_assert_leq(flow.actions.attempts.size(), 3);
        now += Duration(5);
        flow.flow.onAttemptFailed(http::SendState::NothingSent, "connection refused", now);
        cr_assert_not(flow.flow.isDone());
    }
    cr_assert(flow.actions.attempts.back().directives.lastEventId == 2);
    flow.receiveHead(streamResponse(), now + Duration(20));
    flow.receiveEvents(3, 4, now + Duration(20));
    flow.flow.onAttemptEnd(now + Duration(30));
    cr_assert(flow.actions.finished && !flow.actions.aborted);
}

// Guards against counting the time of a whole body as silence while its pieces arrive.
Test(silent_upstream, bodyThatArrivesInPiecesIsKept)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/idempotent/1"));
    flow.receiveHead(successResponse());
    for (Duration after { 50 }; after < Duration(700); after += STEP) {
        flow.flow.onAttemptData("x", START + after);
        passUntil(flow, START + after, START + after);
    }
    cr_assert_eq(flow.actions.cancelled, 0);
    flow.flow.onAttemptEnd(START + Duration(700));
    cr_assert(flow.actions.finished);
}

// Guards against dropping an answer of low confidence for a larger model that cannot begin after all.
Test(silent_upstream, answerOfLowConfidenceIsUsedWhereTheLargerModelCannotBegin)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/stream/1"));
    it.retries = dispatch::RetryBudgets({ .ratio = 0, .slack = 0, .maxAttempts = 100 });
    flow.receiveHead(streamResponse(5));
    flow.receiveEvents(1, 2);
    flow.flow.onAttemptEnd(START + Duration(40));
    cr_assert(flow.actions.finished);
    cr_assert_eq(flow.actions.attempts.size(), 1);
}
