#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/crypto.h"
#include "fireflyhaven/common/types/ids.h"

#include <optional>

namespace fireflyhaven::node {

// What an entry host does with work that the lists govern while its lists may be old.
enum class StalePolicy { Refuse, Serve };

// Settings of the daemon.
struct NodeSettings {
    HostId host;
    DataCentreId dataCentre;
    RegionId region;
    std::string ip;
    std::uint16_t httpPort = 0;
    std::uint16_t peerPort = 0;
    // "IP:port" of the platform's log, host list and rating service.
    std::string platform;
    SecretKey clusterKey;
    SecretKey sessionKey;
    std::optional<SecretKey> previousSessionKey;
    std::string operatorKeyDigest;
    Duration staleConfigLimit { 10'000 };
    StalePolicy onStaleConfig = StalePolicy::Refuse;
    Duration sessionLifetime { std::chrono::hours(1) };
    // Records after which the folded state is written to the log again.
    std::uint64_t snapshotEvery = 5000;
    std::size_t maxBodyBytes = 1024 * 1024;
    unsigned maxConnections = 2048;
    std::chrono::seconds idleTimeout { 60 };
    Duration shutdownLimit { 60'000 };
    // Routes each request by itself: least-loaded upstream, one model, no cascade. The measured baseline.
    bool naivePolicy = false;
};

}
