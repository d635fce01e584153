#pragma once

#include "fireflyhaven/entry/requestflow.h"

#include <criterion/criterion.h>

// Fakes at the edges of a request's flow, and a small deployment for it.
namespace fireflyhaven::entry::test {

constexpr TimePoint START { Duration(1'000'000) };

// Remembers what the flow asked for.
class FakeActions final : public IFlowActions {
public:
    void startAttempt(const AttemptPlan& plan) override
    {
        attempts.push_back(plan);
        open = true;
    }
    void cancelAttempt() override
    {
        ++cancelled;
        open = false;
    }
    void sendHead(const http::ResponseHead& upstream) override { headStatus = upstream.status; }
    void sendPiece(std::string_view bytes) override { sent += bytes; }
    void finish() override { finished = true; }
    void abort() override { aborted = true; }
    void answerWhole(const http::ResponseHead& upstream, std::string_view body) override
    {
        headStatus = upstream.status;
        sent = body;
        finished = true;
    }
    void answerOwn(int status, std::optional<Duration> after) override
    {
        ownStatus = status;
        retryAfter = after;
    }
    void wakeAt(TimePoint time) override { wake = time; }

    std::vector<AttemptPlan> attempts;
    bool open = false;
    int cancelled = 0;
    int headStatus = 0;
    int ownStatus = 0;
    std::optional<Duration> retryAfter;
    std::string sent;
    bool finished = false;
    bool aborted = false;
    TimePoint wake {};
};

class FakeHost final : public IHostView {
public:
    bool mayUseKeys(TimePoint) const override { return keysUsable; }
    bool knowsAll(TimePoint) const override { return certain; }
    Duration configurationAge(TimePoint) const override { return Duration(0); }
    int sharers(TimePoint) const override { return 1; }
    bool takesRequests(catalog::RouteKind, TimePoint) const override { return taking; }

    bool keysUsable = true;
    bool certain = true;
    bool taking = true;
};

class StepRecorder final : public IFlowObserver {
public:
    void onFlowEvent(const FlowEvent& event) override { steps.push_back(event.step); }
    bool saw(FlowStep step) const { return std::find(steps.begin(), steps.end(), step) != steps.end(); }

    std::vector<FlowStep> steps;
};

// Three engines behind one service with three models, three plain upstreams behind another, and their routes.
class Deployment {
public:
    explicit Deployment(int maxAttempts = 3, std::size_t waitingCapacity = 512)
        : waiting({ .capacity = waitingCapacity })
    {
        using namespace catalog;
        const ServiceName engines("engines");
        const ServiceName plain("plain");
        Service engineService { .name = engines, .maxConnections = 100 };
        engineService.engine = EngineProfile { .batchSlots = 64 };
        for (const auto& [name, cost] :
            std::vector<std::pair<std::string, double>> { { "s", 0.02 }, { "m", 0.18 }, { "l", 0.36 } })
            engineService.engine->models.push_back({ .model = ModelName(name), .costPerThousandTokens = cost });
        const std::vector<ModelName> models { ModelName("s"), ModelName("m"), ModelName("l") };
        Route stream {
            .name = RouteName("stream"), .host = "h", .pathPrefix = "/stream/", .kind = RouteKind::Streaming
        };
        stream.services = { { .service = engines } };
        stream.models = models;
        stream.maxAttempts = maxAttempts;
        stream.resumable = true;
        stream.timeout = Duration(20'000);
        Route once { .name = RouteName("once"), .host = "h", .pathPrefix = "/once/", .kind = RouteKind::NonIdempotent };
        once.services = { { .service = plain } };
        once.maxAttempts = maxAttempts;
        once.timeout = Duration(800);
        Route many = once;
        many.name = RouteName("many");
        many.pathPrefix = "/many/";
        many.kind = RouteKind::Idempotent;
        Route urgent = many;
        urgent.name = RouteName("urgent");
        urgent.pathPrefix = "/urgent/";
        urgent.priority = 0;
        Route open = many;
        open.name = RouteName("open");
        open.pathPrefix = "/open/";
        open.anonymous = true;
        catalog.onConfiguration({ .version = ConfigurationVersion(1),
            .routes = { stream, once, many, urgent, open },
            .services = { engineService, { .name = plain, .maxConnections = 100 } },
            .workspaces = { { .id = WorkspaceId("w"), .keys = { "key" } } } });
        for (int n = 0; n < 3; ++n) {
            add("e" + std::to_string(n), engines, 64);
            add("p" + std::to_string(n), plain, 6);
        }
    }

    void add(const std::string& id, const ServiceName& service, int slots)
    {
        catalog.onUpstream({ .id = UpstreamId(id),
                               .service = service,
                               .address = { .ip = "10.0.0.1", .port = 80 },
                               .dataCentre = DataCentreId("dc"),
                               .version = catalog::SoftwareVersion("v1"),
                               .slots = slots },
            START);
    }

    static CallerRequest request(const std::string& path)
    {
        CallerRequest it {
            .attempt = AttemptId("a"), .host = "h", .path = path, .deadline = Duration(10'000), .key = "key"
        };
        it.session = SessionId("session");
        it.promptTokens = 100;
        return it;
    }

    catalog::Catalog catalog;
    fleet::PeerLoad peers;
    balancing::Balancer balancer { catalog, peers, { .ownDataCentre = DataCentreId("dc"), .seed = 1 } };
    routing::EscalationPolicy ladder;
    rollout::RolloutBoard rollouts;
    dispatch::RetryBudgets retries { { .ratio = 1, .slack = 100, .maxAttempts = 100 } };
    admission::ServiceQueues waiting;
    FakeHost host;
    StepRecorder steps;
    FlowContext context { .catalog = catalog,
        .balancer = balancer,
        .ladder = ladder,
        .rollouts = rollouts,
        .retries = retries,
        .waiting = waiting,
        .host = host,
        .observer = steps };
};

// One request's flow in a deployment, and answers for it.
class FlowUnderTest {
public:
    explicit FlowUnderTest(Deployment& deployment, CallerRequest request)
        : flow(deployment.context, actions, std::move(request))
    {
        flow.begin(START);
    }

    http::HeadVerdict head(const AnswerFacts& facts, TimePoint now = START + Duration(20))
    {
        return flow.onAttemptHead(facts, { .status = facts.status }, now);
    }
    // A whole answer with this status.
    void answer(const AnswerFacts& facts, std::string_view body = "body", TimePoint now = START + Duration(20))
    {
        head(facts, now);
        flow.onAttemptPiece(body, now);
        flow.onAttemptEnd(now);
    }
    void events(std::uint64_t first, std::uint64_t last, TimePoint now = START + Duration(30))
    {
        for (std::uint64_t n = first; n <= last; ++n)
            flow.onAttemptPiece("id: " + std::to_string(n) + "\ndata: x\n\n", now);
    }

    FakeActions actions;
    RequestFlow flow;
};

inline AnswerFacts good() { return { .status = 200, .attempt = AttemptId("a"), .isSigned = true }; }
inline AnswerFacts stream(int confidence = 100)
{
    AnswerFacts it = good();
    it.isEventStream = true;
    it.confidence = confidence;
    return it;
}
inline AnswerFacts error() { return { .status = 500, .attempt = AttemptId("a"), .isSigned = true }; }
inline AnswerFacts turnedAway() { return { .status = 503, .notExecuted = true }; }

}
