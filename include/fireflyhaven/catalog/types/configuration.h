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

// What may be done with a request of a route more than once.
enum class RouteKind {
    Idempotent,
    // Runs at most once for each attempt of the caller.
    NonIdempotent,
    // Answered by a stream of events; runs once unless the route is resumable.
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
    // Time to the answer, or to the first event of a stream, that earns full credit.
    Duration targetLatency { 1000 };
    // Longest pause between two events of a stream that is in time.
    Duration targetGap { 1000 };
    // 0 is the most urgent.
    int priority = 5;
    std::vector<WeightedService> services;
    // Models that may answer, smallest first; empty where the caller names the model.
    std::vector<ModelName> models;
    int maxAttempts = 1;
    // Needs no key.
    bool anonymous = false;
    bool sessionAffinity = false;
    bool resumable = false;

    // Whether one attempt of the caller may run more than once.
    bool mayRepeat() const { return kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && resumable); }
};

struct ModelPrice {
    ModelName model;
    // Cost of 1,000 generated tokens; prompt tokens count a quarter.
    double costPerThousandTokens = 0;
};

// Model engines behind a service.
struct EngineProfile {
    int batchSlots = 1;
    std::uint64_t cacheTokens = 0;
    std::vector<ModelPrice> models;
};

struct Service {
    ServiceName name;
    // Connections that one upstream accepts from all hosts together.
    int maxConnections = 100;
    // Requests a second that an upstream in cold start bears; 0 where it has no cold start.
    double warmupPerSecond = 0;
    std::optional<EngineProfile> engine;
};

struct Workspace {
    WorkspaceId id;
    std::vector<std::string> keys;
    // Goes before the route's priority where set.
    std::optional<int> priority;
};

// What callers may send, and how long they may take.
struct CallerBounds {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout { 3000 };
    Duration idleTimeout { 15'000 };
};

// Everything that the operator configures, at one version.
struct Configuration {
    ConfigurationVersion version;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Workspace> workspaces;
    CallerBounds callerBounds;
};

// The operator's wish to move a service to another version of its software.
struct RolloutOrder {
    ServiceName service;
    SoftwareVersion target;
    Duration duration {};
};

}
