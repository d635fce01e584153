#include "flowfixture.h"

#include "fireflyhaven/http/types/status.h"

// Requests with a part in their prompts that crashes upstreams.
using namespace fireflyhaven;
using namespace fireflyhaven::entry;
using namespace fireflyhaven::entry::test;

namespace {

const PromptPartId FIRST(1);
const PromptPartId DEADLY(0xdead);

CallerRequest requestWith(std::vector<PromptPartId> parts, const std::string& path = "/idempotent/1")
{
    CallerRequest it = Deployment::request(path);
    for (const PromptPartId part : parts)
        it.promptParts.push_back({ .id = part, .tokens = 10 });
    return it;
}

fleet::PoisonNotices verdict()
{
    fleet::PoisonNotices notices;
    notices.verdicts.items.push_back({ .part = DEADLY, .convictedBy = HostId("other"), .crashAgeMs = 100 });
    return notices;
}

void convict(Deployment& it, TimePoint now)
{
    it.poisonGuard.onPoisonNotices(verdict(), fleet::NoticeSource::OwnDataCentre, now);
}

}

// Guards against waiting, and against a status that says the request is malformed.
Test(poisonParts, requestWithConvictedPartIsRefusedAtOnce)
{
    Deployment it;
    convict(it, START);
    FlowUnderTest flow(it, requestWith({ FIRST, DEADLY, PromptPartId(9) }));
    cr_assert(flow.flow.isDone());
    cr_assert(flow.actions.attempts.empty());
    cr_assert_eq(flow.actions.localStatus, STATUS_UNAVAILABLE);
    cr_assert(flow.actions.retryAfter && *flow.actions.retryAfter >= Duration(55'000));
    cr_assert(it.steps.recorded(FlowStep::Refused));
}

Test(poisonParts, onlyRequestsThatHoldThePartAreRefused)
{
    Deployment it;
    convict(it, START);
    cr_assert_eq(FlowUnderTest(it, requestWith({ FIRST, PromptPartId(9) })).actions.attempts.size(), 1);
    cr_assert_eq(FlowUnderTest(it, requestWith({})).actions.attempts.size(), 1);
    // The last part belongs to the request itself.
    cr_assert_eq(FlowUnderTest(it, requestWith({ FIRST, DEADLY })).actions.attempts.size(), 1);
    cr_assert(FlowUnderTest(it, requestWith({ DEADLY, PromptPartId(9) })).actions.attempts.empty());
}

// Guards against a repeat that crashes the next upstream although the part is convicted meanwhile.
Test(poisonParts, requestIsNotRepeatedOnceItsPartIsConvicted)
{
    Deployment it;
    FlowUnderTest flow(it, requestWith({ FIRST, DEADLY, PromptPartId(9) }));
    convict(it, START + Duration(20));
    flow.flow.onAttemptFailed(http::SendState::MaybeReceived, "reset", START + Duration(40));
    cr_assert_eq(flow.actions.attempts.size(), 1);
    cr_assert_eq(flow.actions.localStatus, STATUS_BAD_GATEWAY, "502 does not state that the request has not run");
}

// Guards against a larger model's upstream being crashed after the smaller one's.
Test(poisonParts, requestDoesNotEscalateOnceItsPartIsConvicted)
{
    Deployment it;
    FlowUnderTest flow(it, requestWith({ FIRST, DEADLY, PromptPartId(9) }, "/stream/1"));
    convict(it, START + Duration(10));
    flow.receiveHead(streamResponse(5));
    cr_assert_eq(flow.actions.attempts.size(), 1);
    cr_assert(flow.flow.isDone());
}

// Guards against versions on trial being condemned for crashes that a part of a prompt causes.
Test(poisonParts, crashTellsNothingOfTheVersion)
{
    Deployment it;
    const ServiceName service("plain");
    it.rollouts.onOrder({ .service = service, .target = catalog::SoftwareVersion("v1"), .duration = Duration(600'000) },
        START - Duration(10'000));
    std::size_t crashes = 0;
    for (int n = 0; n < 400; ++n) {
        CallerRequest request = requestWith({ FIRST, DEADLY, PromptPartId(100) });
        request.session = SessionId("session-" + std::to_string(n));
        FlowUnderTest flow(it, std::move(request), START + Duration(1000) * n);
        const std::size_t sent = flow.actions.attempts.size();
        if (sent == 1)
            flow.flow.onAttemptFailed(
                http::SendState::MaybeReceived, "reset", START + Duration(1000) * n + Duration(40));
        crashes += sent;
    }
    cr_log_info("%zu crashes", crashes);
    cr_assert_geq(crashes, 3);
    fleet::HostReport report;
    it.rollouts.fillReport(report, START + Duration(400'000));
    for (const fleet::TrialCounters& counters : report.trials.items)
        cr_assert(counters.failed == 0 && counters.badUpstreams == 0);
    for (const fleet::RolloutView& view : report.rollouts.items)
        cr_assert(!view.rejected);
}

// Guards against crashes that go unnoticed because the stream has no framing, so that its end is no error.
Test(poisonParts, streamThatEndsInsideAnEventMayBeACrash)
{
    Deployment it;
    FlowUnderTest flow(it, requestWith({ FIRST, DEADLY, PromptPartId(9) }, "/stream/1"));
    flow.receiveHead(streamResponse());
    flow.flow.onAttemptData("id: 1\nda", START + Duration(30));
    flow.flow.onAttemptEnd(START + Duration(40));
    cr_assert_eq(it.poisonGuard.takeUnconfirmedCrashes().size(), 1);
}
