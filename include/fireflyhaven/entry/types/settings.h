#pragma once

#include "fireflyhaven/balancing/types/promptdivision.h"
#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"
#include "fireflyhaven/http/types/endpoint.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fireflyhaven::entry {

// Service-level bounds: maximum reaction times, and limits on exposure to bad versions, retries and cold-start load.
struct ServiceBounds {
    // Time without connection faults after which a host counts as reachable.
    Duration reachableAfter { 3000 };
    // Maximum time until a reachable host applies a new configuration.
    Duration configurationApply { 2000 };
    // Maximum time until a draining upstream receives no new requests.
    Duration upstreamDrain { 2000 };
    // Maximum time until an evacuated data centre receives no new requests.
    Duration evacuation { 5000 };
    // Maximum time until a revoked key is rejected; with `strictRevocation` this includes hosts that cannot reach the
    // store.
    Duration revocation { 5000 };
    bool strictRevocation = true;
    // Time between SIGTERM and SIGKILL.
    Duration shutdownGrace { 8000 };
    // Maximum time from the 50th bad answer of a bad version until its last request.
    Duration rollback { 5000 };
    // Limit on the requests that a version found to be bad may receive: a share of the service's requests, and a number
    // of requests beyond it.
    double exposureRatio = 0.15;
    double exposureSlack = 30;
    // Retry budget: retries as a ratio of first attempts within the window, and a number of retries beyond it.
    double retryRatio = 0.9;
    double retrySlack = 50;
    Duration retryWindow { 10'000 };
    // Limit on the request rate of an upstream in cold start: a factor of the rate that it can serve while cold, and a
    // number of requests per second beyond it.
    double warmupOvershoot = 1.5;
    double warmupSlack = 5;
    // Maximum gap between consecutive requests of one session; after a longer gap the session counts as ended.
    Duration sessionWindow { 5000 };
    // Time within which reuse of a cached part of a prompt is worthwhile.
    Duration promptReuseWindow { 10'000 };
    // Maximum TTL of a directory answer that callers honour.
    Duration maxDirectoryTtl { 5000 };
};

// Resource limits of one process.
struct ResourceLimits {
    std::size_t memoryBytes = 256UL * 1024 * 1024;
    std::size_t maxFileDescriptors = 1024;
    std::uint16_t cpuMillicores = 250;
    // Part of the memory that requests and answers of all callers may hold together.
    int callerMemoryPercent = 40;

    std::size_t callerMemoryBytes() const { return memoryBytes / 100 * static_cast<std::size_t>(callerMemoryPercent); }
};

struct StoreSettings {
    http::Endpoint address;
    double writesPerSecond = 100;
    double readsPerSecond = 1000;
};

// Settings of an entry host process.
struct EntrySettings {
    HostId host;
    DataCentreId dataCentre;
    RegionId region;
    std::map<DataCentreId, RegionId> regions;
    // Listen address for callers' requests.
    http::Endpoint frontend;
    // Listen address of the readiness probe.
    http::Endpoint readiness;
    // Listen address of the directory, which resolves the addresses of entry hosts for callers.
    http::Endpoint directory;
    // Listen address of the metrics and the state dump; no value if they are not served.
    std::optional<http::Endpoint> metrics;
    // Inclusive range of ports reserved for traffic between hosts.
    std::uint16_t firstPeerPort = 0;
    std::uint16_t lastPeerPort = 0;
    // Interval at which upstreams renew their registrations.
    Duration registrationInterval { 1200 };
    StoreSettings store;
    ResourceLimits limits;
    ServiceBounds bounds;
    // IP addresses of hosts used to discover the others; some may be outdated.
    std::vector<std::string> seedIps;
    // Time from the start of the process during which requests wait for the configuration to be loaded; zero if they
    // are refused at once.
    Duration startupWait { 1500 };
    // The whole system starts for the first time, all hosts at once.
    bool bootstrap = false;
    // Full-mesh report exchange without aggregators, regardless of the number of hosts; a baseline for measurements.
    bool flatExchange = false;
    // Whether the upstreams of a service are divided between long and short prompts.
    balancing::PromptDivision promptDivision = balancing::PromptDivision::WhereConfigured;
    // Random choice among the ready upstreams, and always the largest model; a baseline for measurements.
    bool naivePolicy = false;
};

}
