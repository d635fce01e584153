#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"
#include "fireflyhaven/http/types/endpoint.h"
#include "fireflyhaven/quality/latencyratios.h"

#include <cstdint>
#include <vector>

namespace fireflyhaven::fleet {

// Compact hash of an id for reports; the same on all hosts.
using ShortHash = std::uint32_t;

// List with a 16-bit length field, which limits the memory that a malformed datagram can make the receiver allocate.
template <typename Item> struct ShortList {
    std::vector<Item> items;

    friend bool operator==(const ShortList&, const ShortList&) = default;
    template <typename Archive> void serialize(Archive& archive)
    {
        auto n = static_cast<std::uint16_t>(items.size());
        archive(n);
        items.resize(n);
        for (Item& it : items)
            archive(it);
    }
};

// In-flight work of one host at one upstream, and its cumulative answer counts there.
struct UpstreamCounters {
    ShortHash upstream = 0;
    std::uint16_t inFlight = 0;
    // Expected prefill time of the prompts that the host sent and that have not returned a first token.
    std::uint32_t pendingPrefillMs = 0;
    // Answers since the host's start, or since the upstream was last removed or restarted if that is later.
    std::uint32_t good = 0;
    std::uint32_t failed = 0;

    friend bool operator==(const UpstreamCounters&, const UpstreamCounters&) = default;
    template <typename Archive> void serialize(Archive& archive)
    {
        archive(upstream, inFlight, pendingPrefillMs, good, failed);
    }
};

// Answers of a version on trial to one route; the counts do not decrease while the order stands.
struct TrialCounters {
    // Hash of the service and the target version.
    ShortHash rollout = 0;
    ShortHash route = 0;
    std::uint32_t good = 0;
    std::uint32_t failed = 0;
    // Those of the counted answers that came from upstreams under load: failed ones with at least half of the slots in
    // use, good ones at a load near the target of the load test.
    std::uint32_t goodUnderLoad = 0;
    std::uint32_t failedUnderLoad = 0;
    // Bitmap of the upstreams with a failed answer; the bit is chosen by a hash of the upstream's id.
    std::uint32_t badUpstreams = 0;
    // Ratios of the observed to the expected answer times.
    quality::LatencyRatios times;

    friend bool operator==(const TrialCounters&, const TrialCounters&) = default;
    template <typename Archive> void serialize(Archive& archive)
    {
        archive(rollout, route, good, failed, goodUnderLoad, failedUnderLoad, badUpstreams, times);
    }
};

// Answer times on one route of versions that are not on trial.
struct RouteTimes {
    ShortHash route = 0;
    quality::LatencyRatios times;

    friend bool operator==(const RouteTimes&, const RouteTimes&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(route, times); }
};

// State of a roll-out on one host.
struct RolloutView {
    // Hash of the service and the target version.
    ShortHash rollout = 0;
    // Time since the first receipt of the order by any host, as far as reported to this host.
    std::uint32_t ageMs = 0;
    // The host has rejected the version, on its own evidence or because another host did.
    bool rejected = false;
    bool completed = false;

    friend bool operator==(const RolloutView&, const RolloutView&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(rollout, ageMs, rejected, completed); }
};

// An active session during a roll-out, and the version that serves it.
struct ActiveSession {
    std::uint64_t session = 0;
    // Time since the session's last request.
    std::uint32_t ageMs = 0;
    bool onNewVersion = false;

    friend bool operator==(const ActiveSession&, const ActiveSession&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(session, ageMs, onNewVersion); }
};

// Lasting work time of an upstream, as a host has measured it or learnt it from another one.
struct UpstreamSpeed {
    ShortHash upstream = 0;
    // In percent of the usual work time of its service.
    std::uint16_t workTimePercent = 0;
    // Time since the measurement, in tenths of a second.
    std::uint16_t ageDeciseconds = 0;

    static UpstreamSpeed of(ShortHash upstream, double workTimeFactor, Duration age);
    double workTimeFactor() const;
    Duration age() const;

    friend bool operator==(const UpstreamSpeed&, const UpstreamSpeed&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(upstream, workTimePercent, ageDeciseconds); }
};

// Work that the requests of one or more hosts bring to the upstreams of a service: milliseconds of one upstream of
// usual speed, for each second.
struct PromptDemand {
    ShortHash service = 0;
    std::uint32_t longPrompts = 0;
    std::uint32_t shortPrompts = 0;

    friend bool operator==(const PromptDemand&, const PromptDemand&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(service, longPrompts, shortPrompts); }
};

// Load and liveness report of a host, sent several times per second.
struct HostReport {
    HostId host;
    // Identifies one run of the host's process; later runs have greater values.
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    http::Endpoint frontend;
    DataCentreId dataCentre;
    // Thousandths of a core.
    std::uint16_t capacity = 0;
    // Clients may be directed to this host.
    bool acceptsRequests = false;
    // The host's own calls to the store succeed.
    bool reachesStore = false;
    // Upstreams whose counters changed since the last report; all upstreams in a full report.
    ShortList<UpstreamCounters> upstreams;
    ShortList<TrialCounters> trials;
    // Answer times with which those of versions on trial are compared; sent only during a roll-out.
    ShortList<RouteTimes> baselineTimes;
    ShortList<RolloutView> rollouts;
    // Sessions that are served by another version than their hash selects.
    ShortList<ActiveSession> sessions;
    // Peer addresses of some other live hosts; rotated between reports so that every host learns of all others.
    ShortList<http::Endpoint> gossipAddresses;
    // Not in the messages of older builds, which end before these. Some upstreams, in turn.
    ShortList<UpstreamSpeed> speeds;
    // Services whose upstreams are divided by the length of prompts.
    ShortList<PromptDemand> demands;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(host, incarnation, sequence, frontend, dataCentre, capacity, acceptsRequests, reachesStore, upstreams,
            trials, baselineTimes, rollouts, sessions, gossipAddresses);
    }
};

// Encodes a report as a datagram.
std::string encodeReport(const HostReport& report);
// Returns no value if the datagram is malformed.
std::optional<HostReport> decodeReport(const std::string& datagram);

}
