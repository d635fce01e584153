#pragma once

#include "fireflyhaven/membership/types/entries.h"
#include "fireflyhaven/quality/types/entries.h"

#include <algorithm>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace fireflyhaven::membership {

// 32-bit hash of an upstream or workspace id, used to keep heartbeats small.
using ShortId = StrongNumber32<struct ShortTag>;
ShortId shortIdOf(const std::string& id);

// Load of an upstream, as measured by its owner.
struct UpstreamLoad {
    ShortId upstream;
    std::uint16_t inFlight = 0;
    // Current limit of the in-flight requests; 0 while the owner may not send.
    std::uint16_t limit = 0;
    std::uint16_t queued = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(upstream, inFlight, limit, queued); }
};

// Demand of a workspace at one host.
struct WorkspaceDemand {
    ShortId workspace;
    std::uint16_t requestsPerSecond = 0;
    std::uint16_t inFlight = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(workspace, requestsPerSecond, inFlight); }
};

// Serialises a vector with a one-byte length; elements after the 255th are cut off.
template <typename Archive, typename T> void serializeShort(Archive& archive, std::vector<T>& items)
{
    auto n = static_cast<std::uint8_t>(std::min<std::size_t>(items.size(), UINT8_MAX));
    archive(n);
    items.resize(n);
    for (T& it : items)
        archive(it);
}

// State and decisions of the sending host. The report is the same for every recipient.
struct HostReport {
    // Offsets of the last record and of the last governing record that the host has applied.
    Offset appliedOffset;
    Offset governingOffset;
    bool logReachable = false;
    // The host is shutting down and accepts no new work.
    bool draining = false;
    // Host incarnations whose heartbeats the sender no longer acknowledges.
    std::vector<HostIncarnation> endorsedEvictions;
    // Suspensions of versions that the sender has decided on or received from a peer and that are not in the log yet.
    std::vector<quality::SuspendEntry> suspensions;
    // In a heartbeat, `loads` and `demands` are a rotating part of the sender's lists, to bound the size of a
    // heartbeat.
    std::vector<UpstreamLoad> loads;
    std::vector<WorkspaceDemand> demands;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(appliedOffset, governingOffset, logReachable, draining);
        serializeShort(archive, endorsedEvictions);
        serializeShort(archive, suspensions);
        serializeShort(archive, loads);
        serializeShort(archive, demands);
    }
};

// Sent to each member of the region once per heartbeat interval. Acknowledges the recipient's last heartbeat that the
// sender was allowed to acknowledge.
struct Heartbeat {
    HostIncarnation sender;
    std::uint64_t sequence = 0;
    Incarnation acknowledgedIncarnation;
    // 0 if no heartbeat is acknowledged.
    std::uint64_t acknowledgedSequence = 0;
    HostReport report;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(sender, sequence, acknowledgedIncarnation, acknowledgedSequence, report);
    }
};

}
