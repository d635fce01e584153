#pragma once

#include "fireflyhaven/membership/types/entries.h"
#include "fireflyhaven/quality/types/entries.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace fireflyhaven::membership {

// Load of an upstream as its owner sees it.
struct UpstreamLoad {
    UpstreamId upstream;
    std::uint32_t inFlight = 0;
    // Most requests that the owner sends at once now.
    std::uint32_t limit = 0;
    std::uint32_t queued = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(upstream, inFlight, limit, queued); }
};

// Requests a second that a workspace offers at one host.
struct WorkspaceDemand {
    WorkspaceId workspace;
    float requestsPerSecond = 0;
    std::uint32_t inFlight = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(workspace, requestsPerSecond, inFlight); }
};

// What a host tells about itself and its decisions; the same for every recipient.
struct HostReport {
    Offset folded;
    Offset governing;
    bool logReachable = false;
    // Shutting down: takes no new work.
    bool draining = false;
    // Lives that the sender no longer acknowledges.
    std::vector<HostLife> endorsedEvictions;
    std::vector<quality::SuspendEntry> suspensions;
    std::vector<UpstreamLoad> loads;
    std::vector<WorkspaceDemand> demands;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(folded, governing, logReachable, draining, endorsedEvictions, suspensions, loads, demands);
    }
};

// Sent to each member of the region once every heartbeat interval; acknowledges the recipient's last heartbeat.
struct Heartbeat {
    HostLife sender;
    std::uint64_t sequence = 0;
    Incarnation acknowledgedIncarnation;
    // 0 where nothing is acknowledged.
    std::uint64_t acknowledgedSequence = 0;
    HostReport report;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(sender, sequence, acknowledgedIncarnation, acknowledgedSequence, report);
    }
};

}
