#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"

#include <optional>
#include <vector>

namespace fireflyhaven::catalog {

using RouteName = StrongId<struct RouteTag>;
using ModelName = StrongId<struct ModelTag>;
using SoftwareVersion = StrongId<struct SoftwareVersionTag>;
using ConfigurationVersion = StrongNumber<struct ConfigurationVersionTag>;

// Whether requests of a route may be executed more than once.
enum class RouteKind {
    Idempotent,
    // Executed at most once for each attempt of the caller.
    NonIdempotent,
    // Answered by a stream of events; executed once unless the route is resumable.
    Streaming,
};

struct WeightedService {
    ServiceName service;
    double weight = 1;
};

struct Route {
    RouteName name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    Duration timeout { 10'000 };
    // Target for the time to the answer, or to the first event of a stream. An answer that arrives within it is as good
    // as an earlier one.
    Duration targetLatency { 1000 };
    // Longest pause between two events of a stream that still meets the target.
    Duration targetGap { 1000 };
    // 0 is the most urgent.
    int priority = 5;
    std::vector<WeightedService> services;
    // Whether this router names the model, out of `models`; otherwise the caller does.
    bool hasModelList = false;
    // Models that may serve the request, smallest first. None may where the list has no readable entry.
    std::vector<ModelName> models;
    int maxAttempts = 1;
    // Requests need no API key.
    bool anonymous = false;
    bool sessionAffinity = false;
    bool resumable = false;

    // Whether one attempt of the caller may be executed more than once.
    bool mayRepeat() const { return kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && resumable); }
};

struct ModelPrice {
    ModelName model;
    // Cost of 1,000 generated tokens; a prompt token costs a quarter of a generated one.
    double costPerThousandTokens = 0;
};

// Capacity and models of the inference engine behind a service.
struct EngineProfile {
    int batchSlots = 1;
    std::uint64_t cacheTokens = 0;
    std::vector<ModelPrice> models;
};

struct Service {
    ServiceName name;
    // Connections that one upstream accepts from all hosts together.
    int maxConnections = 100;
    // Request rate that an upstream tolerates during its cold start; 0 where the service has no cold start.
    double warmupRequestsPerSecond = 0;
    std::optional<EngineProfile> engine;
};

struct Workspace {
    WorkspaceId id;
    std::vector<std::string> keys;
    // Overrides the priority of the route where set.
    std::optional<int> priority;
};

// Size limits and time-outs for the requests of callers.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout { 3000 };
    Duration idleTimeout { 15'000 };
};

// One version of the operator's configuration record.
struct Configuration {
    ConfigurationVersion version;
    std::vector<Route> routes;
    std::vector<Service> services;
    // Whether requests need an API key, however many workspaces are listed and readable.
    bool requiresApiKeys = false;
    std::vector<Workspace> workspaces;
    CallerLimits callerLimits;
    // Whether some of the caller limits are defaults because they cannot be read.
    bool hasUnreadableLimits = false;
    // Paths of the entries that grant nothing because they cannot be read, for the log; without their values, which may
    // be keys.
    std::vector<std::string> unreadableEntries;
};

// The operator's order to move a service to another version of its software within the duration.
struct RolloutOrder {
    ServiceName service;
    SoftwareVersion target;
    Duration duration {};
};

}
