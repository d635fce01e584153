#include "flowfixture.h"

#include "fireflyhaven/http/types/status.h"

#include <criterion/criterion.h>

// Bytes that arrive where the response to a request is due, and belong to no request or to another one.
using namespace fireflyhaven;
using namespace fireflyhaven::entry;
using namespace fireflyhaven::entry::test;

namespace {

// What a faulty upstream sends behind a complete response: a refusal that names no attempt.
ResponseInfo additionalRefusal(int status, bool notExecuted)
{
    return { .status = status, .notExecuted = notExecuted };
}

}

// Guards against an order that runs twice, because additional bytes count as its refusal while it runs (review/6).
Test(foreign_answers, refusalThatNamesNoAttemptIsSkipped)
{
    const ResponseInfo refusals[] = { additionalRefusal(STATUS_UNAVAILABLE, true),
        additionalRefusal(STATUS_TOO_MANY_REQUESTS, true), additionalRefusal(STATUS_MISDIRECTED, false) };
    for (const ResponseInfo& refusal : refusals) {
        Deployment it;
        FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
        cr_assert(flow.receiveHead(refusal) == http::HeadVerdict::Skip);
        cr_assert_eq(flow.actions.attempts.size(), 1, "the request runs, and is not sent again");
        cr_assert_not(flow.flow.isDone());
        flow.receiveResponse(successResponse(), "mine");
        cr_assert_str_eq(flow.actions.sentBytes.c_str(), "mine");
    }
}

// Callers need not name an attempt; upstreams then have none to repeat.
Test(foreign_answers, refusalOfRequestWithoutAttemptIsTaken)
{
    Deployment it;
    CallerRequest request = Deployment::request("/non-idempotent/1");
    request.attempt = AttemptId();
    FlowUnderTest flow(it, request);
    cr_assert(flow.receiveHead(additionalRefusal(STATUS_UNAVAILABLE, true)) == http::HeadVerdict::Accept);
}

// Bytes that are no refusal fail the attempt as before: the request may have run, and is not sent again.
Test(foreign_answers, unsignedResponseThatNamesNoAttemptFails)
{
    Deployment it;
    FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
    flow.receiveHead({ .status = STATUS_BAD_REQUEST });
    cr_assert_eq(flow.actions.attempts.size(), 1);
    cr_assert_eq(flow.actions.localStatus, STATUS_BAD_GATEWAY);
}

// Guards against a success without a signature that is trusted because it says that the request has not run.
Test(foreign_answers, unsignedSuccessThatClaimsNotToHaveRunIsNotForwarded)
{
    for (const bool hasContentCoding : { false, true }) {
        Deployment it;
        FlowUnderTest flow(it, Deployment::request("/non-idempotent/1"));
        ResponseInfo response = successResponse();
        response.notExecuted = true;
        response.isSigned = hasContentCoding;
        response.hasContentCoding = hasContentCoding;
        flow.receiveHead(response);
        cr_assert_eq(flow.actions.localStatus, STATUS_BAD_GATEWAY);
        cr_assert(flow.actions.cancelled == 1 && flow.flow.isDone());
    }
}
