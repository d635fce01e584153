#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/crypto.h"
#include "fireflyhaven/common/types/ids.h"

#include <optional>

namespace fireflyhaven::node {

// Whether an entry host refuses or serves new requests while its configuration lists may be stale.
enum class StaleConfigPolicy { Refuse, Serve };

// Settings of the entry host daemon.
struct NodeSettings {
    HostId host;
    DataCentreId dataCentre;
    RegionId region;
    std::string ip;
    std::uint16_t httpPort = 0;
    std::uint16_t peerPort = 0;
    // "IP:port" of the platform, which provides the log, the host list and the rating service.
    std::string platformAddress;
    SecretKey clusterKey;
    SecretKey sessionKey;
    std::optional<SecretKey> previousSessionKey;
    std::string operatorKeyDigest;
    // Age beyond which the configuration lists are stale and `onStaleConfig` applies.
    Duration staleConfigLimit { 10'000 };
    StaleConfigPolicy onStaleConfig = StaleConfigPolicy::Refuse;
    Duration sessionLifetime { std::chrono::hours(1) };
    // Number of log records between two snapshots of the replicated state.
    std::uint64_t snapshotIntervalRecords = 5000;
    std::size_t maxBodyBytes = 1024 * 1024;
    unsigned maxConnections = 2048;
    std::chrono::seconds idleTimeout { 60 };
    Duration shutdownLimit { 60'000 };
    // Baseline for measurements: each request goes to the least-loaded upstream, without prefix affinity and without
    // cascades of several models.
    bool naivePolicy = false;
};

}
