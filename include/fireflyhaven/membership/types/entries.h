#pragma once

#include "fireflyhaven/common/json.h"

#include <set>
#include <vector>

namespace fireflyhaven::membership {

// Where a host's processes listen; IP numbers only.
struct HostAddress {
    std::string ip;
    // UDP heartbeats and TCP forwarding between hosts.
    std::uint16_t peerPort = 0;
    // HTTP for callers and operators.
    std::uint16_t httpPort = 0;

    friend bool operator==(const HostAddress&, const HostAddress&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HostAddress, ip, peerPort, httpPort)

// A host announces itself. It becomes a learner: it receives heartbeats, votes on nothing and owns nothing.
struct JoinEntry {
    HostId host;
    DataCentreId dataCentre;
    RegionId region;
    HostAddress address;
    WriterId writer;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JoinEntry, host, dataCentre, region, address, writer)

// A life of a host, named so that a record about an earlier life changes nothing.
struct HostLife {
    HostId host;
    Incarnation incarnation;

    friend auto operator<=>(const HostLife&, const HostLife&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(host, incarnation); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HostLife, host, incarnation)

// Shows that a change of the voters is known to enough hosts for the next step: `witnesses` have folded the change of
// the region's voters at `votersChangedAt`.
struct VotersProof {
    RegionId region;
    Offset votersChangedAt;
    std::vector<HostId> witnesses;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VotersProof, region, votersChangedAt, witnesses)

// Makes learners voters.
struct AdmitEntry {
    VotersProof proof;
    std::vector<HostLife> learners;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AdmitEntry, proof, learners)

// Ends a change of the voters: the voters before it no longer count.
struct ConfirmEntry {
    VotersProof proof;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfirmEntry, proof)

// A host takes itself out; it has stopped sending and acknowledging before it writes this.
struct LeaveEntry {
    HostLife life;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaveEntry, life)

enum class EvictEvidence {
    // A majority of the region's voters has stopped acknowledging the hosts for a whole lease.
    Endorsed,
    // The platform's host list shows the hosts gone.
    HostList,
};

// Takes out hosts that are no longer there. For `Endorsed`, `endorsers` are voters that acknowledge none of them.
struct EvictEntry {
    VotersProof proof;
    std::vector<HostLife> lives;
    EvictEvidence evidence = EvictEvidence::Endorsed;
    std::vector<HostId> endorsers;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EvictEntry, proof, lives, evidence, endorsers)

struct Member {
    HostId id;
    Incarnation incarnation;
    DataCentreId dataCentre;
    RegionId region;
    HostAddress address;
    WriterId writer;
    bool voter = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Member, id, incarnation, dataCentre, region, address, writer, voter)

}
