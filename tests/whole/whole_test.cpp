#include "localcluster.h"

#include <algorithm>
#include <thread>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::tests;

namespace {

using nlohmann::json;

std::string contentOf(const http::CallOutcome& outcome)
{
    return LocalCluster::jsonBody(outcome)["choices"][0]["message"]["content"].get<std::string>();
}

// Text of a streamed answer, with "[DONE]" and errors inserted where they occur.
std::string streamedText(const std::string& body)
{
    std::string text;
    std::size_t at = 0;
    while ((at = body.find("data: ", at)) != std::string::npos) {
        const std::size_t end = body.find("\n\n", at);
        const std::string line = body.substr(at + 6, end - at - 6);
        at = end;
        const json event = json::parse(line, nullptr, false);
        if (event.is_discarded())
            text += line;
        else if (event.contains("error"))
            text += "error " + event["error"].dump();
        else
            text += event["choices"][0]["delta"].value("content", "");
    }
    return text;
}

void assertText(const std::string& actual, const std::string& expected)
{
    cr_assert(actual == expected, "got %s, expected %s", actual.c_str(), expected.c_str());
}

void assertRefusal(const http::CallOutcome& outcome, int status, const std::string& code, const std::string& runState)
{
    cr_assert_eq(outcome.response.status, status, "%s", outcome.response.body.c_str());
    const json body = LocalCluster::jsonBody(outcome);
    assertText(body["code"], code);
    assertText(body["run"], runState);
}

}

Test(whole, invalidRequestsAreRefusedBeforeReachingUpstreams)
{
    LocalCluster cluster(1);
    const std::vector<json> bodies { "", "{", "[]", "null", "{\"model\":1}", "{\"model\":\"auto\"}",
        "{\"model\":\"auto\",\"messages\":[]}", "{\"model\":\"auto\",\"messages\":[1]}",
        "{\"model\":\"auto\",\"messages\":[{\"role\":\"user\"}]}",
        "{\"model\":\"auto\",\"messages\":[{\"role\":\"user\",\"content\":5}]}",
        "{\"model\":\"auto\",\"max_tokens\":-1,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
        "{\"model\":\"auto\",\"max_tokens\":1e99,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
        "{\"model\":\"auto\",\"stream\":\"yes\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}" };
    for (const json& body : bodies)
        assertRefusal(cluster.chat(0, body), 400, "bad_request", "not_run");
    std::string validBody = LocalCluster::chatBody().dump();
    for (std::size_t n = 0; n + 1 < validBody.size(); n += 5)
        assertRefusal(cluster.chat(0, validBody.substr(0, n)), 400, "bad_request", "not_run");
    assertRefusal(cluster.chat(0, LocalCluster::chatBody(), { { "Authorization", "Bearer wrong" } }), 401,
        "unauthenticated", "not_run");
    assertRefusal(
        cluster.chat(0, LocalCluster::chatBody(), { { "X-Deadline-Ms", "soon" } }), 400, "bad_request", "not_run");
    assertRefusal(cluster.chat(0, LocalCluster::chatBody(), { { "X-Request-Id", std::string(500, 'x') } }), 400,
        "bad_request", "not_run");
    assertRefusal(
        cluster.chat(0, LocalCluster::chatBody(), { { "X-Task", "unknown" } }), 403, "not_allowed", "not_run");
    assertRefusal(cluster.chat(0, LocalCluster::chatBody(), { { "X-Session", "forged" } }), 401,
        "session_unauthenticated", "not_run");
    json forbidden = LocalCluster::chatBody();
    forbidden["model"] = "small";
    assertRefusal(cluster.chat(0, forbidden), 403, "not_allowed", "not_run");
    json oversized = LocalCluster::chatBody();
    oversized["messages"][0]["content"] = std::string(2 * 1024 * 1024, 'x');
    assertRefusal(cluster.chat(0, oversized), 413, "too_large", "not_run");
    assertRefusal(cluster.callService(0, "renewal/charge", ""), 400, "idempotency_key_required", "not_run");
    assertRefusal(cluster.callService(0, "renewal/charge", "k"), 400, "idempotency_key_required", "not_run");
    assertRefusal(
        cluster.callService(0, "other/charge", LocalCluster::freshIdempotencyKey("k")), 403, "not_allowed", "not_run");
    assertRefusal(cluster.callService(0, "renewal/charge", "1500000000000-k"), 410, "expired", "unknown");
    cr_assert_eq(cluster.totalUpstreamRequests(), 0);
    cr_assert_eq(cluster.chat(0, LocalCluster::chatBody()).response.status, 200);
    cr_assert_eq(cluster.totalUpstreamRequests(), 1, "upstreams count requests that reach them");
}

Test(whole, engineFaultsNeverYieldIncompleteOrForeignAnswers)
{
    LocalCluster cluster(2);
    const std::string completeText = "w0 w1 w2 w3 w4 w5 w6 w7 ";
    for (const std::string engine : { "large0", "large1" })
        cluster.setUpstreamFault(engine, { { "cutAfter", 3 }, { "cutStreams", 1 } });
    const auto truncated = cluster.chat(0, LocalCluster::chatBody(true, 8));
    assertText(streamedText(truncated.response.body), completeText + "[DONE]");
    assertText(contentOf(cluster.chat(1, LocalCluster::chatBody(false, 8))), completeText);

    for (const std::string engine : { "large0", "large1" })
        cluster.setUpstreamFault(engine, { { "crossed", true }, { "cutAfter", 0 } });
    const auto crossed = cluster.chat(0, LocalCluster::chatBody(true, 8));
    cr_assert_eq(
        streamedText(crossed.response.body).find("w0"), std::string::npos, "no text of another request is delivered");
    cr_assert_eq(crossed.response.body.find("[DONE]"), std::string::npos);

    for (const std::string engine : { "large0", "large1" })
        cluster.setUpstreamFault(engine, { { "crossed", false }, { "wrongVersion", "large@7" } });
    cr_assert_gt(cluster.chat(0, LocalCluster::chatBody(false, 8)).response.status, 499);
    const auto mislabelled = cluster.chat(0, LocalCluster::chatBody(true, 8));
    cr_assert_eq(
        mislabelled.response.body.find("[DONE]"), std::string::npos, "an incomplete stream is not marked as done");
    cr_assert_neq(mislabelled.response.body.find("\"error\""), std::string::npos);
}

Test(whole, retiredAndWithdrawnVersionsGetNoNewRequests)
{
    LocalCluster cluster(2);
    const http::Headers tag { { "X-Task", "tag" } };
    const auto first = cluster.chat(0, LocalCluster::chatBody(), tag);
    assertText(first.response.headers.at("x-model-version"), "small@1");
    const http::Headers session { { "X-Task", "tag" }, { "X-Session", first.response.headers.at("x-session") } };
    cluster.applyAction(0, "retire", "versions", "small@1");
    const auto pinned = cluster.chat(1, LocalCluster::chatBody(), session);
    assertText(pinned.response.headers.at("x-model-version"), "small@1");
    const auto unpinned = cluster.chat(1, LocalCluster::chatBody(), tag);
    assertText(unpinned.response.headers.at("x-model-version"), "large@1");
    cluster.applyAction(1, "withdraw", "versions", "small@1");
    const std::uint64_t before = cluster.upstreamStats("small0")["requests"].get<std::uint64_t>()
        + cluster.upstreamStats("small1")["requests"].get<std::uint64_t>();
    assertRefusal(cluster.chat(0, LocalCluster::chatBody(), session), 409, "version_withdrawn", "not_run");
    for (int n = 0; n < 10; ++n)
        cr_assert_eq(cluster.chat(n % 2, LocalCluster::chatBody(), tag).response.status, 200);
    const std::uint64_t after = cluster.upstreamStats("small0")["requests"].get<std::uint64_t>()
        + cluster.upstreamStats("small1")["requests"].get<std::uint64_t>();
    cr_assert_eq(before, after);
}

Test(whole, badVersionIsSuspendedOnAllHosts)
{
    LocalCluster cluster(2);
    for (const std::string engine : { "small0", "small1" })
        cluster.setUpstreamFault(engine, { { "badShare", { { "small@1", 1.0 } } } });
    const http::Headers tag { { "X-Task", "tag" } };
    const auto isSuspended = [&](int host) {
        json body = LocalCluster::chatBody();
        body["model"] = "small";
        return cluster.chat(host, body, tag).response.status == 409;
    };
    cr_assert(LocalCluster::waitUntil([&] { return isSuspended(0); }));
    cr_assert(LocalCluster::waitUntil([&] { return isSuspended(1); }, Duration(5000)));
    cluster.applyAction(1, "reinstate", "versions", "small@1");
    cr_assert_not(isSuspended(0));
}

Test(whole, cascadeReplacesBadAnswerBeforeDelivery)
{
    LocalCluster cluster(1);
    json versions = LocalCluster::jsonBody(cluster.admin(0, "GET", "/admin/v1/config/versions"));
    versions["small@1"]["assumed_quality"] = 0.7;
    cluster.admin(0, "PUT", "/admin/v1/config/versions", versions);
    const http::Headers tag { { "X-Task", "tag" } };
    assertText(cluster.chat(0, LocalCluster::chatBody(), tag).response.headers.at("x-model-version"), "small@1");
    cluster.setUpstreamFault("small0", { { "badShare", { { "small@1", 1.0 } } } });
    const auto replaced = cluster.chat(0, LocalCluster::chatBody(), tag);
    assertText(replaced.response.headers.at("x-model-version"), "large@1");
    cr_assert_eq(contentOf(replaced).find("[bad]"), std::string::npos);
    cluster.setPlatformFault({ { "ratingsPerSecond", 1 } });
    for (int n = 0; n < 5; ++n)
        cr_assert_eq(contentOf(cluster.chat(0, LocalCluster::chatBody(), tag)).find("[bad]"), std::string::npos);
}

Test(whole, nonRepeatableCallRunsAtMostOnce)
{
    LocalCluster cluster(2);
    const std::string key = LocalCluster::freshIdempotencyKey("march");
    std::vector<std::thread> callerThreads;
    std::vector<http::CallOutcome> outcomes(8);
    for (std::size_t n = 0; n < outcomes.size(); ++n)
        callerThreads.emplace_back(
            [&, n] { outcomes[n] = cluster.callService(static_cast<int>(n % 2), "renewal/charge", key); });
    for (std::thread& it : callerThreads)
        it.join();
    for (const http::CallOutcome& it : outcomes) {
        cr_assert_eq(it.response.status, 200, "%s", it.response.body.c_str());
        cr_assert_eq(LocalCluster::jsonBody(it)["ran"].get<int>(), 1);
    }
    assertRefusal(cluster.callService(0, "renewal/charge", key, "{\"other\":1}"), 422, "key_reused", "not_run");

    const std::string lostAnswerKey = LocalCluster::freshIdempotencyKey("lost");
    for (const std::string service : { "renewal0", "renewal1" })
        cluster.setUpstreamFault(service, { { "loseAnswers", 1 } });
    assertRefusal(cluster.callService(0, "renewal/charge", lostAnswerKey), 409, "outcome_unknown", "unknown");
    for (const std::string service : { "renewal0", "renewal1" })
        cluster.setUpstreamFault(service, { { "loseAnswers", 0 } });
    assertRefusal(cluster.callService(1, "renewal/charge", lostAnswerKey), 409, "outcome_unknown", "unknown");

    const std::string lostAppendAnswerKey = LocalCluster::freshIdempotencyKey("unanswered");
    cluster.setPlatformFault({ { "loseAnswers", 2 } });
    cr_assert_eq(cluster.callService(0, "renewal/charge", lostAppendAnswerKey).response.status, 200,
        "the claim is found in the log after its append answer was lost");
    cr_assert_eq(
        LocalCluster::jsonBody(cluster.callService(1, "renewal/charge", lostAppendAnswerKey))["ran"].get<int>(), 1);

    const std::string logOutageKey = LocalCluster::freshIdempotencyKey("unclaimed");
    cluster.setPlatformFault({ { "down", true } });
    assertRefusal(cluster.callService(0, "renewal/charge", logOutageKey), 503, "log_unavailable", "not_run");
    cluster.setPlatformFault({ { "down", false } });
    cr_assert(LocalCluster::waitUntil([&] { return cluster.state(0)["log"]["reachable"].get<bool>(); }));
    cr_assert(LocalCluster::waitUntil(
        [&] { return cluster.callService(1, "renewal/charge", logOutageKey).response.status == 200; }));
    cr_assert_eq(LocalCluster::jsonBody(cluster.callService(0, "renewal/charge", logOutageKey))["ran"].get<int>(), 1);
}

Test(whole, requestsAreBilledOnceAcrossLogOutageAndHostDeath)
{
    LocalCluster cluster(3);
    const http::Headers sameRequestId { { "X-Request-Id", "request-1" } };
    cluster.chat(0, LocalCluster::chatBody(), sameRequestId);
    cluster.chat(1, LocalCluster::chatBody(), sameRequestId);
    cr_assert(LocalCluster::waitUntil([&] { return cluster.bills(2)["repeats_ignored"] == 1; }));
    cr_assert_eq(cluster.bills(2)["requests"].get<int>(), 1);

    cluster.setPlatformFault({ { "down", true } });
    for (int n = 0; n < 5; ++n) {
        const auto answer
            = cluster.chat(0, LocalCluster::chatBody(), { { "X-Request-Id", "outage-" + std::to_string(n) } });
        cr_assert_eq(answer.response.status, 200, "chat requests are answered during the log outage: %s",
            answer.response.body.c_str());
    }
    cr_assert_eq(cluster.state(0)["counters"].value("bills_released_unsafe", 0), 0);
    cluster.killHost(0);
    cluster.setPlatformFault({ { "down", false } });
    cr_assert(LocalCluster::waitUntil([&] { return cluster.bills(2)["requests"] == 6; }),
        "peers append the bills that they hold for the dead host");
}

Test(whole, drainRedirectsCallersAndShutdownCompletesStreams)
{
    LocalCluster cluster(3);
    cluster.applyAction(0, "drain", "data_centres", "dc1");
    const auto redirected = cluster.chat(1, LocalCluster::chatBody());
    cr_assert_eq(redirected.response.status, 307);
    cr_assert_neq(redirected.response.headers.at("location").find("/v1/chat/completions"), std::string::npos);
    cr_assert_eq(LocalCluster::jsonBody(cluster.get(0, "/v1/addresses"))["addresses"].size(), 2);
    const std::uint64_t before = cluster.upstreamStats("large1")["requests"].get<std::uint64_t>();
    for (int n = 0; n < 20; ++n)
        cr_assert_eq(cluster.chat(n % 2 * 2, LocalCluster::chatBody()).response.status, 200);
    cr_assert_eq(cluster.upstreamStats("large1")["requests"].get<std::uint64_t>(), before);
    cluster.applyAction(2, "restore", "data_centres", "dc1");
    cr_assert_eq(cluster.chat(1, LocalCluster::chatBody()).response.status, 200);

    std::vector<std::string> bodies(6);
    std::vector<std::thread> callerThreads;
    for (std::size_t n = 0; n < bodies.size(); ++n)
        callerThreads.emplace_back(
            [&, n] { bodies[n] = cluster.chat(0, LocalCluster::chatBody(true, 1500)).response.body; });
    cr_assert(LocalCluster::waitUntil([&] { return cluster.state(0)["host"]["callers"] == 6; }));
    cluster.shutDownHost(0);
    for (std::thread& it : callerThreads)
        it.join();
    for (const std::string& body : bodies)
        cr_assert(streamedText(body).ends_with("w1499 [DONE]"), "%zu bytes", body.size());
    cr_assert(LocalCluster::waitUntil([&] { return cluster.state(1)["membership"]["members"].size() == 2; }));
    cr_assert(
        LocalCluster::waitUntil([&] { return cluster.chat(2, LocalCluster::chatBody()).response.status == 200; }));
}

Test(whole, configChangesAreValidatedAndInForceOnAllHosts)
{
    LocalCluster cluster(2);
    cr_assert_eq(cluster.get(0, "/admin/v1/state").response.status, 401);
    json lists = LocalCluster::jsonBody(cluster.admin(0, "GET", "/admin/v1/config"));
    json invalidLists = lists;
    invalidLists["plans"]["p"]["quality_target"] = 7;
    invalidLists["upstreams"]["large0"]["limit"] = -1;
    const auto refused = cluster.admin(0, "PUT", "/admin/v1/config", invalidLists);
    cr_assert_eq(refused.response.status, 422);
    cr_assert_eq(LocalCluster::jsonBody(refused)["faults"].size(), 2);

    // Concurrent changes through two hosts: both hosts end with the same configuration.
    std::vector<std::thread> operatorThreads;
    std::atomic<int> accepted { 0 };
    for (int n = 0; n < 6; ++n) {
        operatorThreads.emplace_back([&, n] {
            json proposed = lists;
            proposed["plans"]["p"]["weight"] = n + 2;
            accepted += cluster.admin(n % 2, "PUT", "/admin/v1/config/plans?wait=in_force", proposed["plans"])
                            .response.status
                == 200;
        });
    }
    for (std::thread& it : operatorThreads)
        it.join();
    cr_assert_geq(accepted.load(), 1);
    const json listsAtHost0 = LocalCluster::jsonBody(cluster.admin(0, "GET", "/admin/v1/config"));
    const json listsAtHost1 = LocalCluster::jsonBody(cluster.admin(1, "GET", "/admin/v1/config"));
    cr_assert(listsAtHost0 == listsAtHost1);
    cr_assert_neq(listsAtHost0["plans"]["p"]["weight"].get<int>(), 1);

    cluster.setPlatformFault({ { "down", true } });
    lists["plans"]["p"]["weight"] = 77;
    cr_assert_gt(cluster.admin(0, "PUT", "/admin/v1/config/plans", lists["plans"]).response.status, 499);
    cr_assert(LocalCluster::jsonBody(cluster.admin(1, "GET", "/admin/v1/config")) == listsAtHost0,
        "no configuration change is accepted without the log");
}

Test(whole, ownerRevalidatesRequestBeforeSending)
{
    LocalCluster cluster(2);
    dispatch::RunRequest request { .workspace = WorkspaceId("ws"),
        .request = RequestId("r"),
        .attempt = 1,
        .upstream = UpstreamId("large1"),
        .version = { "large", "1" },
        .task = TaskName("chat"),
        .prompt = "x",
        .maxTokens = 2,
        .priority = 5,
        .startWithinMs = 5000,
        .answerWithinMs = 5000 };
    const auto resultCode = [&](const dispatch::RunRequest& it, int host = 1) {
        const dispatch::RunEvent last = cluster.runOnHost(host, it);
        return last.kind == dispatch::RunEventKind::Done ? std::string("done") : last.code;
    };
    assertText(resultCode(request), "done");
    assertText(resultCode(request, 0), "not_owner");
    dispatch::RunRequest forbidden = request;
    forbidden.upstream = UpstreamId("small1");
    forbidden.version = { "small", "1" };
    assertText(resultCode(forbidden), "not_allowed");
    forbidden.task = TaskName("tag");
    assertText(resultCode(forbidden), "done");
    dispatch::RunRequest unknownWorkspace = request;
    unknownWorkspace.workspace = WorkspaceId("nobody");
    assertText(resultCode(unknownWorkspace), "not_allowed");
    dispatch::RunRequest unservedVersion = forbidden;
    unservedVersion.upstream = UpstreamId("large1");
    assertText(resultCode(unservedVersion), "version_not_served");
    cluster.applyAction(0, "drain", "upstreams", "large1");
    assertText(resultCode(request), "upstream_out_of_service");
    cluster.applyAction(0, "restore", "upstreams", "large1");
    cluster.applyAction(0, "drain", "data_centres", "dc1");
    assertText(resultCode(request), "upstream_out_of_service");
    cluster.applyAction(0, "restore", "data_centres", "dc1");
    cluster.applyAction(0, "withdraw", "versions", "large@1");
    assertText(resultCode(request), "version_withdrawn");
    cr_assert_eq(cluster.totalUpstreamRequests(), 2, "refused requests do not reach an upstream");
}

Test(whole, engineErrorIsReportedAsOutcomeUnknown)
{
    LocalCluster cluster(1);
    cluster.setUpstreamFault("large0", { { "failStatus", 500 } });
    assertRefusal(cluster.chat(0, LocalCluster::chatBody()), 502, "upstream_error", "unknown");
    cr_assert_gt(cluster.totalUpstreamRequests(), 0, "the engine ran the request");
    cluster.setUpstreamFault("large0", { { "failStatus", 0 }, { "down", true } });
    const auto refused = LocalCluster::jsonBody(cluster.chat(0, LocalCluster::chatBody()));
    assertText(refused["run"], "not_run");
}
