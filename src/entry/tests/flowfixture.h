#pragma once

#include "fireflyhaven/entry/requestflow.h"

#include <criterion/criterion.h>

// Fakes of the interfaces around a request flow, and a small deployment to run it in.
namespace fireflyhaven::entry::test {

constexpr TimePoint START { Duration(1'000'000) };

// Records the actions that the flow requested.
class FakeActions final : public IFlowActions {
public:
    void startAttempt(const AttemptPlan& plan) override
    {
        attempts.push_back(plan);
        attemptOpen = true;
    }
    void cancelAttempt() override
    {
        ++cancelled;
        attemptOpen = false;
    }
    void sendHead(const http::ResponseHead& upstream) override { headStatus = upstream.status; }
    void sendData(std::string_view bytes) override { sentBytes += bytes; }
    void finish() override { finished = true; }
    void abort() override { aborted = true; }
    void forwardResponse(const http::ResponseHead& upstream, std::string_view body) override
    {
        headStatus = upstream.status;
        sentBytes = body;
        finished = true;
    }
    void sendLocalResponse(int status, std::optional<Duration> after) override
    {
        localStatus = status;
        retryAfter = after;
    }
    void scheduleTimer(TimePoint time) override { timerAt = time; }
    bool hasCallerLeft() const override { return callerLeft; }

    std::vector<AttemptPlan> attempts;
    bool attemptOpen = false;
    bool callerLeft = false;
    int cancelled = 0;
    int headStatus = 0;
    int localStatus = 0;
    std::optional<Duration> retryAfter;
    std::string sentBytes;
    bool finished = false;
    bool aborted = false;
    TimePoint timerAt {};
};

class FakeHost final : public IHostView {
public:
    bool isCatalogLoaded() const override { return catalogLoaded; }
    bool mayAcceptKeys(TimePoint) const override { return keysAccepted; }
    bool isCatalogCurrent(TimePoint) const override { return catalogCurrent; }
    bool isBehindOthers(TimePoint) const override { return behindOthers; }
    Duration configurationAge(TimePoint) const override { return Duration(0); }
    int sendingHostCount(TimePoint) const override { return hosts; }
    bool acceptsRequests(catalog::RouteKind, TimePoint) const override { return acceptingRequests; }

    int hosts = 1;
    bool catalogLoaded = true;
    bool keysAccepted = true;
    bool catalogCurrent = true;
    bool behindOthers = false;
    bool acceptingRequests = true;
};

// Records the permits that flows ask for.
class FakeLimitLink final : public ILimitLink {
public:
    void requestPermit(admission::TicketId request, const balancing::PermitNeed& need) override
    {
        requested.push_back(need);
        if (forwardTo)
            forwardTo->requestPermit(request, need);
    }
    void announceLimits() override
    {
        ++announcements;
        if (forwardTo)
            forwardTo->announceLimits();
    }

    // Receives all calls too, where set.
    ILimitLink* forwardTo = nullptr;
    std::vector<balancing::PermitNeed> requested;
    int announcements = 0;
};

class StepRecorder final : public IFlowObserver {
public:
    void onFlowEvent(const FlowEvent& event) override { steps.push_back(event.step); }
    bool recorded(FlowStep step) const { return std::find(steps.begin(), steps.end(), step) != steps.end(); }

    std::vector<FlowStep> steps;
};

// One service of three model engines with three models, one service of three upstreams without models, and routes to
// both.
class Deployment {
public:
    explicit Deployment(int maxAttempts = 3, std::size_t queueCapacity = 512)
        : serviceQueues({ .capacity = queueCapacity })
    {
        using namespace catalog;
        const ServiceName engineServiceName("engines");
        const ServiceName plainServiceName("plain");
        Service engineService { .name = engineServiceName, .maxConnections = 100 };
        engineService.engine = EngineProfile { .batchSlots = 64 };
        for (const auto& [name, cost] :
            std::vector<std::pair<std::string, double>> { { "s", 0.02 }, { "m", 0.18 }, { "l", 0.36 } })
            engineService.engine->models.push_back({ .model = ModelName(name), .costPerThousandTokens = cost });
        const std::vector<ModelName> modelNames { ModelName("s"), ModelName("m"), ModelName("l") };
        Route stream {
            .name = RouteName("stream"), .host = "h", .pathPrefix = "/stream/", .kind = RouteKind::Streaming
        };
        stream.services = { { .service = engineServiceName } };
        stream.hasModelList = true;
        stream.models = modelNames;
        stream.maxAttempts = maxAttempts;
        stream.resumable = true;
        stream.timeout = Duration(20'000);
        Route nonIdempotent { .name = RouteName("non-idempotent"),
            .host = "h",
            .pathPrefix = "/non-idempotent/",
            .kind = RouteKind::NonIdempotent };
        nonIdempotent.services = { { .service = plainServiceName } };
        nonIdempotent.maxAttempts = maxAttempts;
        nonIdempotent.timeout = Duration(800);
        Route idempotent = nonIdempotent;
        idempotent.name = RouteName("idempotent");
        idempotent.pathPrefix = "/idempotent/";
        idempotent.kind = RouteKind::Idempotent;
        Route urgent = idempotent;
        urgent.name = RouteName("urgent");
        urgent.pathPrefix = "/urgent/";
        urgent.priority = 0;
        Route anonymousRoute = idempotent;
        anonymousRoute.name = RouteName("anonymous");
        anonymousRoute.pathPrefix = "/anonymous/";
        anonymousRoute.anonymous = true;
        catalog.onConfiguration({ .version = ConfigurationVersion(1),
            .routes = { stream, nonIdempotent, idempotent, urgent, anonymousRoute },
            .services = { engineService, { .name = plainServiceName, .maxConnections = 100 } },
            .requiresApiKeys = true,
            .workspaces = { { .id = WorkspaceId("w"), .keys = { "key" } } } });
        for (int n = 0; n < 3; ++n) {
            add("e" + std::to_string(n), engineServiceName, 64);
            add("p" + std::to_string(n), plainServiceName, 6);
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
    ratelimit::LimitTable limits;
    FakeLimitLink limitLink;
    poison::PoisonGuard poisonGuard { HostId("host") };
    balancing::Balancer balancer { catalog, peers, limits, { .ownDataCentre = DataCentreId("dc"), .seed = 1 } };
    routing::EscalationPolicy escalationPolicy;
    rollout::RolloutController rollouts;
    dispatch::RetryBudgets retries { { .ratio = 1, .slack = 100, .maxAttempts = 100 } };
    admission::ServiceQueues serviceQueues;
    admission::StartupQueue startupQueue { {}, START };
    balancing::UpstreamReach reach;
    FakeHost host;
    StepRecorder steps;
    FlowContext context { .catalog = catalog,
        .balancer = balancer,
        .escalationPolicy = escalationPolicy,
        .rollouts = rollouts,
        .retries = retries,
        .serviceQueues = serviceQueues,
        .startupQueue = startupQueue,
        .limits = limits,
        .limitLink = limitLink,
        .poisonGuard = poisonGuard,
        .reach = reach,
        .host = host,
        .observer = steps };
};

// Leaves one upstream of the service without models.
inline void keepOnePlainUpstream(Deployment& it)
{
    it.catalog.onUpstreamGone(UpstreamId("p1"), std::nullopt);
    it.catalog.onUpstreamGone(UpstreamId("p2"), std::nullopt);
}

// The flow of one request in a deployment, with helpers that deliver responses to it.
class FlowUnderTest {
public:
    explicit FlowUnderTest(Deployment& deployment, CallerRequest request, TimePoint begin = START)
        : flow(deployment.context, actions, std::move(request))
    {
        flow.begin(begin);
    }

    http::HeadVerdict receiveHead(const ResponseInfo& info, TimePoint now = START + Duration(20))
    {
        return flow.onAttemptHead(info, { .status = info.status }, now);
    }
    // Delivers a complete response.
    void receiveResponse(const ResponseInfo& info, std::string_view body = "body", TimePoint now = START + Duration(20))
    {
        receiveHead(info, now);
        flow.onAttemptData(body, now);
        flow.onAttemptEnd(now);
    }
    void receiveEvents(std::uint64_t first, std::uint64_t last, TimePoint now = START + Duration(30))
    {
        for (std::uint64_t id = first; id <= last; ++id)
            flow.onAttemptData("id: " + std::to_string(id) + "\ndata: x\n\n", now);
    }

    FakeActions actions;
    RequestFlow flow;
};

inline ResponseInfo successResponse() { return { .status = 200, .attempt = AttemptId("a"), .isSigned = true }; }
inline ResponseInfo streamResponse(int confidence = 100)
{
    ResponseInfo it = successResponse();
    it.isEventStream = true;
    it.confidence = confidence;
    return it;
}
inline ResponseInfo errorResponse() { return { .status = 500, .attempt = AttemptId("a"), .isSigned = true }; }
inline ResponseInfo notExecutedResponse() { return { .status = 503, .notExecuted = true, .attempt = AttemptId("a") }; }

}
