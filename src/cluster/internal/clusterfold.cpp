#include "fireflyhaven/cluster/clusterfold.h"

#include <algorithm>

namespace fireflyhaven::cluster {

namespace {

// The state of a writer is dropped only after more than this many records by other writers; by then no append of the
// writer can be in flight.
constexpr std::uint64_t WRITER_RETENTION_RECORDS = 1'000'000;

EntryOutcome acceptedOrRefused(bool accepted)
{
    return { .kind = accepted ? EntryOutcome::Kind::Accepted : EntryOutcome::Kind::Refused, .errors = {} };
}

EntryOutcome::Kind kindOf(config::ChangeOutcome outcome)
{
    switch (outcome) {
    case config::ChangeOutcome::Accepted:
        return EntryOutcome::Kind::Accepted;
    case config::ChangeOutcome::Conflict:
        return EntryOutcome::Kind::Conflict;
    case config::ChangeOutcome::Invalid:
        break;
    }
    return EntryOutcome::Kind::Invalid;
}

}

RecordOutcome ClusterFold::apply(const Record& record, Offset offset)
{
    m_offset = offset;
    WriterState& writer = m_writers[record.id.writer];
    if (record.id.sequence <= writer.sequence)
        return { .ignored = true, .entries = {} };
    writer = { .sequence = record.id.sequence, .lastOffset = offset, .writtenMs = record.writtenMs };
    advanceLogTime();
    RecordOutcome result;
    for (const Entry& it : record.entries)
        result.entries.push_back(std::visit([&](const auto& entry) { return applyEntry(entry); }, it));
    if (offset.value() % WRITER_RETENTION_RECORDS == 0)
        dropInactiveWriters();
    return result;
}

EntryOutcome ClusterFold::applyEntry(const ConfigEntry& entry)
{
    config::ChangeResult result = m_config.apply(entry.changes, m_offset);
    if (result.outcome == config::ChangeOutcome::Accepted)
        m_governingOffset = m_offset;
    return { .kind = kindOf(result.outcome), .errors = std::move(result.errors) };
}

template <typename MembershipEntry> EntryOutcome ClusterFold::applyEntry(const MembershipEntry& entry)
{
    const bool accepted = m_membership.apply(entry, m_offset);
    if (accepted)
        m_governingOffset = m_offset;
    return acceptedOrRefused(accepted);
}

EntryOutcome ClusterFold::applyEntry(const idempotency::ClaimEntry& entry)
{
    const idempotency::ClaimOutcome outcome = m_claims.apply(entry, m_offset, m_logTimeMs);
    if (outcome == idempotency::ClaimOutcome::Expired)
        return { .kind = EntryOutcome::Kind::Expired, .errors = {} };
    return acceptedOrRefused(outcome == idempotency::ClaimOutcome::Granted);
}

EntryOutcome ClusterFold::applyEntry(const idempotency::ResultEntry& entry)
{
    return acceptedOrRefused(m_claims.apply(entry));
}

EntryOutcome ClusterFold::applyEntry(const quality::RatingsEntry& entry)
{
    m_quality.apply(entry);
    return acceptedOrRefused(true);
}

EntryOutcome ClusterFold::applyEntry(const quality::SuspendEntry& entry)
{
    const bool accepted = m_quality.apply(entry);
    if (accepted)
        m_governingOffset = m_offset;
    return acceptedOrRefused(accepted);
}

EntryOutcome ClusterFold::applyEntry(const SnapshotEntry& entry)
{
    m_snapshotOffset = std::max(m_snapshotOffset, entry.coveredOffset);
    return acceptedOrRefused(true);
}

// The median keeps a minority of hosts with wrong clocks from moving the logical time.
void ClusterFold::advanceLogTime()
{
    std::vector<std::int64_t> times;
    for (const auto& [id, member] : m_membership.members()) {
        const auto it = m_writers.find(member.writer);
        if (it != m_writers.end())
            times.push_back(it->second.writtenMs);
    }
    if (times.empty())
        return;
    const auto median = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
    std::nth_element(times.begin(), median, times.end());
    m_logTimeMs = std::max(m_logTimeMs, *median);
}

void ClusterFold::dropInactiveWriters()
{
    std::erase_if(m_writers,
        [&](const auto& it) { return it.second.lastOffset.value() + WRITER_RETENTION_RECORDS < m_offset.value(); });
}

SnapshotEntry ClusterFold::snapshot() const
{
    nlohmann::json writers = nlohmann::json::array();
    for (const auto& [id, it] : m_writers)
        writers.push_back({ id.value(), it.sequence, it.lastOffset.value(), it.writtenMs });
    return { .coveredOffset = m_offset,
        .state = { { "config", m_config.snapshot() }, { "membership", m_membership.snapshot() },
            { "claims", m_claims.snapshot() }, { "quality", m_quality.snapshot() }, { "writers", writers },
            { "governing", m_governingOffset }, { "log_time_ms", m_logTimeMs } } };
}

ClusterFold ClusterFold::fromSnapshot(const SnapshotEntry& snapshot)
{
    ClusterFold fold;
    const nlohmann::json& state = snapshot.state;
    fold.m_config = config::ConfigFold::fromSnapshot(state.at("config"));
    fold.m_membership = membership::MembershipFold::fromSnapshot(state.at("membership"));
    fold.m_claims = idempotency::ClaimFold::fromSnapshot(state.at("claims"));
    fold.m_quality = quality::QualityFold::fromSnapshot(state.at("quality"));
    for (const nlohmann::json& it : state.at("writers")) {
        fold.m_writers[WriterId(it.at(0).get<std::uint64_t>())] = { .sequence = it.at(1).get<std::uint64_t>(),
            .lastOffset = Offset(it.at(2).get<std::uint64_t>()),
            .writtenMs = it.at(3).get<std::int64_t>() };
    }
    fold.m_governingOffset = state.at("governing").get<Offset>();
    fold.m_logTimeMs = state.at("log_time_ms").get<std::int64_t>();
    fold.m_offset = snapshot.coveredOffset;
    fold.m_snapshotOffset = snapshot.coveredOffset;
    return fold;
}

}
