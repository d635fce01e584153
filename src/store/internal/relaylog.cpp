#include "fireflyhaven/store/relaylog.h"

namespace fireflyhaven::store {

RelayLog::RelayLog(std::size_t maxRecords)
    : m_maxRecords(maxRecords)
{
}

void RelayLog::onUpdate(
    const FeedUpdate& update, const std::vector<bool>& isChange, std::uint64_t nextOffset, std::optional<Era> era)
{
    if (update.replacesAll) {
        // A snapshot holds no records of deleted keys, so that readers of the tail would miss the deletions. Dropping
        // the tail makes them read a new snapshot.
        if (!update.isRestored)
            m_newest.clear();
        m_records.clear();
        m_positions.clear();
        m_firstOffset = nextOffset;
        m_hasSnapshot = true;
    }
    for (std::size_t n = 0; n < update.records.size(); ++n) {
        const KeyedRecord& it = update.records[n];
        if (it.value)
            m_newest[it.key] = it;
        else
            m_newest.erase(it.key);
        if (!update.replacesAll && isChange[n])
            retain(it, nextOffset);
    }
    m_nextOffset = nextOffset;
    m_era = era;
    while (m_records.size() > m_maxRecords) {
        m_firstOffset = m_records.front().endOffset;
        m_positions.erase(m_records.front().record.key);
        m_records.pop_front();
    }
}

void RelayLog::retain(const KeyedRecord& record, std::uint64_t endOffset)
{
    const auto earlier = m_positions.find(record.key);
    if (earlier != m_positions.end())
        m_records.erase(earlier->second);
    m_records.push_back({ .endOffset = endOffset, .record = record });
    m_positions[record.key] = std::prev(m_records.end());
}

std::optional<RecordBatch> RelayLog::read(std::uint64_t offset, std::optional<Era> era) const
{
    const bool isOtherEra = era && m_era && *era != *m_era;
    if (!m_hasSnapshot || isOtherEra || offset < m_firstOffset)
        return std::nullopt;
    RecordBatch batch { .records = {}, .nextOffset = std::max(offset, m_nextOffset), .era = m_era };
    for (const RetainedRecord& it : m_records) {
        if (it.endOffset > offset)
            batch.records.push_back(it.record);
    }
    return batch;
}

std::optional<SnapshotPage> RelayLog::newest() const
{
    if (!m_hasSnapshot)
        return std::nullopt;
    SnapshotPage page { .records = {}, .endOffset = m_nextOffset, .era = m_era };
    for (const auto& [key, it] : m_newest)
        page.records.push_back(it);
    return page;
}

}
