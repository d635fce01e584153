#pragma once

#include "fireflyhaven/common/json.h"

#include <set>
#include <vector>

namespace fireflyhaven::membership {

// Listening addresses of a host. `ip` is a numeric address.
struct HostAddress {
    std::string ip;
    // Port for UDP heartbeats and for TCP forwarding between hosts.
    std::uint16_t peerPort = 0;
    // HTTP port for callers and operators.
    std::uint16_t httpPort = 0;

    friend bool operator==(const HostAddress&, const HostAddress&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HostAddress, ip, peerPort, httpPort)

// A host joins, which starts a new incarnation. In a region without voters it becomes the first voter. Otherwise it
// becomes a learner, which receives heartbeats but does not vote and owns no upstreams.
struct JoinEntry {
    HostId host;
    DataCentreId dataCentre;
    RegionId region;
    HostAddress address;
    WriterId writer;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JoinEntry, host, dataCentre, region, address, writer)

// One run of a host as a member, from its join entry on. `incarnation` is the offset of that join entry; it makes
// entries about an earlier run of the host ineffective.
struct HostIncarnation {
    HostId host;
    Incarnation incarnation;

    friend auto operator<=>(const HostIncarnation&, const HostIncarnation&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(host, incarnation); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HostIncarnation, host, incarnation)

// Proof that the last change of a region's voters has been applied by a majority of the voters before it and a majority
// of the voters after it. `votersChangedAt` is the log offset of that change, and `witnesses` are the hosts that have
// applied it. Admit and confirm entries and endorsed evictions are rejected without such a proof.
struct VotersProof {
    RegionId region;
    Offset votersChangedAt;
    std::vector<HostId> witnesses;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VotersProof, region, votersChangedAt, witnesses)

// Promotes learners to voters.
struct AdmitEntry {
    VotersProof proof;
    std::vector<HostIncarnation> learners;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AdmitEntry, proof, learners)

// Ends a change of the voters: the previous voters no longer count.
struct ConfirmEntry {
    VotersProof proof;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfirmEntry, proof)

// A host leaves the membership. It stops sending and acknowledging heartbeats before it writes this entry.
struct LeaveEntry {
    HostIncarnation life;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaveEntry, life)

enum class EvictEvidence {
    // A majority of the region's voters has not acknowledged the hosts for at least a whole lease.
    Endorsed,
    // The hosts are missing from the platform's host list.
    HostList,
};

// Removes failed hosts. With evidence `Endorsed`, `endorsers` are voters that no longer acknowledge any of them.
struct EvictEntry {
    VotersProof proof;
    std::vector<HostIncarnation> lives;
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
