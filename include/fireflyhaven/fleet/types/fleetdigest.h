#pragma once

#include "fireflyhaven/fleet/types/hostreport.h"

namespace fireflyhaven::fleet {

// State of a live host in the sender's host table.
struct RosterEntry {
    HostId host;
    std::uint64_t incarnation = 0;
    // Time since the sender's last sign of life from the host.
    std::uint32_t ageMs = 0;
    http::Endpoint peerAddress;
    http::Endpoint frontend;
    // Thousandths of a core.
    std::uint16_t capacity = 0;
    bool acceptsRequests = false;
    bool reachesStore = false;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(host, incarnation, ageMs, peerAddress, frontend, capacity, acceptsRequests, reachesStore);
    }
};

// Live hosts of one data centre.
struct Roster {
    DataCentreId dataCentre;
    // Full update: hosts that are not listed lose the confirmation of earlier rosters, because they are dead or rank
    // too low to be listed.
    bool replacesEarlier = false;
    // Number of live hosts in the data centre, listed or not.
    std::uint16_t hostCount = 0;
    ShortList<RosterEntry> entries;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(dataCentre, replacesEarlier, hostCount, entries);
    }
};

// Hosts whose counters a digest sums up, and its receivers. Sent by number.
enum class DigestScope : std::uint8_t {
    // No counters: only rosters, for hosts that need to find the aggregators of a data centre.
    Hosts,
    // Counters of the sender's data centre, for the aggregators of the other ones.
    DataCentre,
    // Counters of all hosts except the receiver, for a busy host of the sender's data centre.
    Fleet,
    // No counters: shows an idle host of the sender's data centre that the sender is alive.
    Presence,
};

// Message of an aggregator with the sums of the reports it received and rosters of live hosts. Other hosts send it with
// the scope Hosts only.
struct FleetDigest {
    HostId from;
    // Identifies one run of the sender's process; later runs have greater values.
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    DataCentreId dataCentre;
    DigestScope scope = DigestScope::Hosts;
    ShortList<Roster> rosters;
    // Sums over the scope; upstreams that are not listed have no requests in flight.
    ShortList<UpstreamCounters> upstreams;
    ShortList<TrialCounters> trials;
    ShortList<RouteTimes> baselineTimes;
    ShortList<RolloutView> rollouts;
    ShortList<ActiveSession> sessions;
    // Not in the messages of older builds, which end before these. Some upstreams, in turn.
    ShortList<UpstreamSpeed> speeds;
    // Sums over the scope.
    ShortList<PromptDemand> demands;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(from, incarnation, sequence, dataCentre, scope, rosters, upstreams, trials, baselineTimes, rollouts,
            sessions);
    }
};

// Encodes a digest as a datagram.
std::string encodeDigest(const FleetDigest& digest);
// Returns no value if the datagram is malformed or not a digest.
std::optional<FleetDigest> decodeDigest(const std::string& datagram);

}
