#pragma once

#include "fireflyhaven/cluster/types/record.h"
#include "fireflyhaven/config/configfold.h"
#include "fireflyhaven/idempotency/claimfold.h"
#include "fireflyhaven/membership/membershipfold.h"
#include "fireflyhaven/quality/qualityfold.h"

namespace fireflyhaven::cluster {

// Result of applying one log entry.
struct EntryOutcome {
    enum class Kind {
        Accepted,
        Refused,
        Conflict,
        Invalid,
        Expired,
        // The record was applied before, for example as part of the snapshot that this host started from, and its
        // result was not kept.
        Unknown,
    };

    Kind kind = Kind::Accepted;
    std::vector<config::ValidationError> errors;
    bool accepted() const { return kind == Kind::Accepted; }
};

struct RecordOutcome {
    // The record is a duplicate and had no effect.
    bool ignored = false;
    std::vector<EntryOutcome> entries;
};

// Replicated state machine over the platform's log. Deterministic: the same records in the same order give the same
// state and the same outcomes on every host.
//
// A record is called governing if it changes the configuration lists, the membership or the
// suspensions of versions.
class ClusterFold {
public:
    // Applies the record at `offset`, which must directly follow `offset()`.
    RecordOutcome apply(const Record& record, Offset offset);
    // Skips the record at `offset` because it cannot be decoded; every host skips the same records.
    void skip(Offset offset) { m_offset = offset; }

    const config::ConfigFold& config() const { return m_config; }
    const membership::MembershipFold& membership() const { return m_membership; }
    const idempotency::ClaimFold& claims() const { return m_claims; }
    const quality::QualityFold& quality() const { return m_quality; }

    // Offset of the last record that was applied or skipped.
    Offset offset() const { return m_offset; }
    // Offset of the last governing record.
    Offset governingOffset() const { return m_governingOffset; }
    // Last offset covered by the newest snapshot found in the log; 0 if there is none.
    Offset snapshotOffset() const { return m_snapshotOffset; }
    // Logical time of the log in milliseconds since the Unix epoch: the highest value so far of the median over the
    // members' last record timestamps. Never moves backwards.
    std::int64_t logTimeMs() const { return m_logTimeMs; }

    SnapshotEntry snapshot() const;
    static ClusterFold fromSnapshot(const SnapshotEntry& snapshot);

private:
    struct WriterState {
        std::uint64_t sequence = 0;
        Offset lastOffset;
        std::int64_t writtenMs = 0;
    };

    EntryOutcome applyEntry(const ConfigEntry& entry);
    EntryOutcome applyEntry(const idempotency::ClaimEntry& entry);
    EntryOutcome applyEntry(const idempotency::ResultEntry& entry);
    EntryOutcome applyEntry(const quality::RatingsEntry& entry);
    EntryOutcome applyEntry(const quality::SuspendEntry& entry);
    EntryOutcome applyEntry(const SnapshotEntry& entry);
    template <typename MembershipEntry> EntryOutcome applyEntry(const MembershipEntry& entry);
    void advanceLogTime();
    void dropInactiveWriters();

    config::ConfigFold m_config;
    membership::MembershipFold m_membership;
    idempotency::ClaimFold m_claims;
    quality::QualityFold m_quality;
    std::map<WriterId, WriterState> m_writers;
    Offset m_offset;
    Offset m_governingOffset;
    Offset m_snapshotOffset;
    std::int64_t m_logTimeMs = 0;
};

}
