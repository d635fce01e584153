#pragma once

#include "fireflyhaven/fleet/types/hostreport.h"

namespace fireflyhaven::fleet {

// A host as an aggregator of its data centre vouches for it.
struct RosterEntry {
    HostId host;
    std::uint64_t life = 0;
    // Since the aggregator heard it.
    std::uint32_t ageMs = 0;
    http::Endpoint peerAddress;
    http::Endpoint frontend;
    // Thousandths of a core.
    std::uint16_t capacity = 0;
    bool takesCallers = false;
    bool reachesStore = false;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(host, life, ageMs, peerAddress, frontend, capacity, takesCallers, reachesStore);
    }
};

// Live hosts of one data centre.
struct Roster {
    DataCentreId dataCentre;
    // The sender vouches no longer for hosts that are not named: they are dead, or of a rank that need not be known.
    bool replacesEarlier = false;
    // Hosts that live there, named or not.
    std::uint16_t hosts = 0;
    ShortList<RosterEntry> entries;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(dataCentre, replacesEarlier, hosts, entries);
    }
};

// Whose reports a digest adds up.
enum class DigestScope : std::uint8_t {
    // Nobody's; it only names hosts.
    Hosts,
    // Those of the sender's data centre, for aggregators of the others.
    DataCentre,
    // Those of all hosts but the receiver, for a host of the sender's data centre.
    Fleet,
    // Nobody's; it tells an idle host of the sender's data centre that the sender is there.
    Presence,
};

// What an aggregator tells others of the hosts that report to it.
struct FleetDigest {
    HostId from;
    // Names one run of the sender's process; a later run has a greater one.
    std::uint64_t life = 0;
    std::uint32_t sequence = 0;
    DataCentreId dataCentre;
    DigestScope scope = DigestScope::Hosts;
    ShortList<Roster> rosters;
    // Sums over the scope; upstreams that are not listed have nothing under way.
    ShortList<UpstreamCounters> upstreams;
    ShortList<TrialCounters> trials;
    ShortList<RouteTimes> oldTimes;
    ShortList<RolloutView> rollouts;
    ShortList<SessionAtWork> sessions;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(from, life, sequence, dataCentre, scope, rosters, upstreams, trials, oldTimes, rollouts, sessions);
    }
};

// Encodes a digest as a datagram.
std::string encodeDigest(const FleetDigest& digest);
// No value where the datagram is malformed, or no digest.
std::optional<FleetDigest> decodeDigest(const std::string& datagram);

}
