#pragma once

#include "fireflyhaven/common/types/ids.h"
#include "fireflyhaven/http/types/endpoint.h"
#include "fireflyhaven/quality/latencyratios.h"

#include <cstdint>
#include <vector>

namespace fireflyhaven::fleet {

// Hash of an id that fits into a report; equal on all hosts.
using ShortHash = std::uint32_t;

// List whose length takes two bytes in a report, so that a malformed one can't ask for much memory.
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

// What a host has under way at one upstream, and what it has seen of it since its start.
struct UpstreamCounters {
    ShortHash upstream = 0;
    std::uint16_t inFlight = 0;
    // Expected time to read the prompts that this host sent and whose first token has not come.
    std::uint32_t pendingPrefillMs = 0;
    // Answers since the start; the counts only grow.
    std::uint32_t good = 0;
    std::uint32_t failed = 0;

    friend bool operator==(const UpstreamCounters&, const UpstreamCounters&) = default;
    template <typename Archive> void serialize(Archive& archive)
    {
        archive(upstream, inFlight, pendingPrefillMs, good, failed);
    }
};

// Answers of a version on trial, by route; the counts only grow.
struct TrialCounters {
    // Names service and target version.
    ShortHash rollout = 0;
    ShortHash route = 0;
    std::uint32_t good = 0;
    std::uint32_t failed = 0;
    // The same of upstreams at work at half of their slots or more.
    std::uint32_t goodUnderLoad = 0;
    std::uint32_t failedUnderLoad = 0;
    // Bitmap of hashed upstreams that gave a failed answer.
    std::uint32_t badUpstreams = 0;
    // Observed over expected times of the answers.
    quality::LatencyRatios times;

    friend bool operator==(const TrialCounters&, const TrialCounters&) = default;
    template <typename Archive> void serialize(Archive& archive)
    {
        archive(rollout, route, good, failed, goodUnderLoad, failedUnderLoad, badUpstreams, times);
    }
};

// Times of the answers to one route by versions that are not on trial.
struct RouteTimes {
    ShortHash route = 0;
    quality::LatencyRatios times;

    friend bool operator==(const RouteTimes&, const RouteTimes&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(route, times); }
};

// How a host sees a roll-out.
struct RolloutView {
    // Names service and target version.
    ShortHash rollout = 0;
    // Since the host learned of the order.
    std::uint32_t ageMs = 0;
    // The version is bad, as this host has concluded or heard.
    bool rejected = false;
    bool completed = false;

    friend bool operator==(const RolloutView&, const RolloutView&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(rollout, ageMs, rejected, completed); }
};

// A session at work during a roll-out, and the version that it is on.
struct SessionAtWork {
    std::uint64_t session = 0;
    // Since its last request.
    std::uint32_t ageMs = 0;
    bool onNewVersion = false;

    friend bool operator==(const SessionAtWork&, const SessionAtWork&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(session, ageMs, onNewVersion); }
};

// What a host tells the others, several times a second.
struct HostReport {
    HostId host;
    // Names one run of the host's process; a later run has a greater one.
    std::uint64_t life = 0;
    std::uint32_t sequence = 0;
    http::Endpoint frontend;
    DataCentreId dataCentre;
    // Thousandths of a core.
    std::uint16_t capacity = 0;
    // Callers may be sent here.
    bool takesCallers = false;
    // This host's own calls to the store succeed.
    bool reachesStore = false;
    // Upstreams whose counters changed since the last report.
    ShortList<UpstreamCounters> upstreams;
    ShortList<TrialCounters> trials;
    // What the versions on trial are compared with; told while there are any.
    ShortList<RouteTimes> oldTimes;
    ShortList<RolloutView> rollouts;
    // Sessions that are not on the version that their hash stands for.
    ShortList<SessionAtWork> sessions;
    // Addresses for reports of some other hosts, so that each learns of all.
    ShortList<http::Endpoint> otherHosts;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(host, life, sequence, frontend, dataCentre, capacity, takesCallers, reachesStore, upstreams, trials,
            oldTimes, rollouts, sessions, otherHosts);
    }
};

// Encodes a report as a datagram.
std::string encodeReport(const HostReport& report);
// No value where the datagram is malformed.
std::optional<HostReport> decodeReport(const std::string& datagram);

}
