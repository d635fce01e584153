#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"
#include "fireflyhaven/http/types/endpoint.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fireflyhaven::entry {

// Bounds within which the system has to react, and shares that it may use.
struct ServiceBounds {
    // A host counts as reachable after this time without a fault.
    Duration contact { 3000 };
    // A new configuration is in force on a reachable host.
    Duration configurationApply { 2000 };
    // A leaving upstream gets no new request.
    Duration upstreamDrain { 2000 };
    // A data centre taken out of service gets no new request.
    Duration evacuate { 5000 };
    // A key that was taken away opens nothing any more; holds for unreachable hosts too where `strictRevocation`.
    Duration revocation { 5000 };
    bool strictRevocation = true;
    // From SIGTERM to SIGKILL.
    Duration shutdownGrace { 8000 };
    // From a bad version's 50th bad answer to its last request.
    Duration rollback { 5000 };
    // Part of a service's requests that a version that turns out bad may get, and a number beyond it.
    double exposureRatio = 0.15;
    double exposureSlack = 30;
    // Repeated sends over first sends within the window, and a number beyond it.
    double retryRatio = 0.9;
    double retrySlack = 50;
    Duration retryWindow { 10'000 };
    // Requests a second to an upstream in cold start over what it bears, as a factor and a number beyond it.
    double warmupOvershoot = 1.5;
    double warmupSlack = 5;
    // Requests of one session that follow each other within this time belong together.
    Duration session { 5000 };
    // Time within which a prompt part that was read stays worth using again.
    Duration promptReuse { 10'000 };
    // Longest lifetime of an answer of the directory that callers heed.
    Duration directoryLifetime { 5000 };
};

// What one process may use of its host.
struct ResourceLimits {
    std::size_t memoryBytes = 256UL * 1024 * 1024;
    std::size_t descriptors = 1024;
    std::uint16_t coreThousandths = 250;
};

struct StoreSettings {
    http::Endpoint address;
    double writesPerSecond = 100;
    double readsPerSecond = 1000;
};

// Settings of an entry host's process.
struct EntrySettings {
    HostId host;
    DataCentreId dataCentre;
    RegionId region;
    std::map<DataCentreId, RegionId> regions;
    // Callers' requests.
    http::Endpoint frontend;
    // Whether this host is to receive callers.
    http::Endpoint readiness;
    // Callers' questions for addresses.
    http::Endpoint directory;
    // Metrics and the state dump; no value where they are not served.
    std::optional<http::Endpoint> metrics;
    // First of the ports that are free for traffic between hosts, and the last one.
    std::uint16_t firstPeerPort = 0;
    std::uint16_t lastPeerPort = 0;
    // Interval at which upstreams renew their registration.
    Duration registrationInterval { 1200 };
    StoreSettings store;
    ResourceLimits limits;
    ServiceBounds bounds;
    // Addresses of a few hosts that may know the others; they may be old.
    std::vector<std::string> seedIps;
    // The whole system starts for the first time.
    bool firstStart = false;
    // All hosts report to all others, however many they are: the baseline for measurements.
    bool flatExchange = false;
    // Any ready upstream at random and always the largest model: the baseline for measurements.
    bool naivePolicy = false;
};

}
