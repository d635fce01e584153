#pragma once

#include "fireflyhaven/membership/types/entries.h"
#include "fireflyhaven/quality/types/entries.h"

#include <algorithm>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace fireflyhaven::membership {

// Short form of an upstream's or workspace's id, as heartbeats carry it.
using ShortId = StrongNumber32<struct ShortTag>;
ShortId shortIdOf(const std::string& id);

// Load of an upstream as its owner sees it.
struct UpstreamLoad {
    ShortId upstream;
    std::uint16_t inFlight = 0;
    // Most requests that the owner sends at once now; 0 while it has no right to send.
    std::uint16_t limit = 0;
    std::uint16_t queued = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(upstream, inFlight, limit, queued); }
};

// Demand that a workspace shows at one host.
struct WorkspaceDemand {
    ShortId workspace;
    std::uint16_t requestsPerSecond = 0;
    std::uint16_t inFlight = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(workspace, requestsPerSecond, inFlight); }
};

// A vector of at most 255 elements, whose length takes one byte.
template <typename Archive, typename T> void serializeShort(Archive& archive, std::vector<T>& items)
{
    auto n = static_cast<std::uint8_t>(std::min<std::size_t>(items.size(), UINT8_MAX));
    archive(n);
    items.resize(n);
    for (T& it : items)
        archive(it);
}

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
    // A part of the sender's loads and demands; the parts take turns.
    std::vector<UpstreamLoad> loads;
    std::vector<WorkspaceDemand> demands;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(folded, governing, logReachable, draining);
        serializeShort(archive, endorsedEvictions);
        serializeShort(archive, suspensions);
        serializeShort(archive, loads);
        serializeShort(archive, demands);
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
