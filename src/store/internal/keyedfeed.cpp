#include "fireflyhaven/store/keyedfeed.h"

#include <algorithm>

namespace fireflyhaven::store {

KeyedFeed::KeyedFeed(FeedOptions options)
    : m_options(options)
    , m_retry(options.firstRetry)
{
}

std::optional<FeedRequest> KeyedFeed::poll(TimePoint now)
{
    if (m_waiting || now < m_dueAt)
        return std::nullopt;
    m_waiting = true;
    m_requestedAt = now;
    if (m_tailing)
        return FeedRequest { .kind = FeedRequest::Kind::Read, .after = {}, .offset = m_offset, .wait = m_options.wait };
    if (!m_after) {
        m_snapshotBegan = now;
        m_collected.clear();
    }
    return FeedRequest { .kind = FeedRequest::Kind::ReadNewest, .after = m_after.value_or("") };
}

std::optional<TimePoint> KeyedFeed::nextPoll() const { return m_waiting ? std::nullopt : std::optional(m_dueAt); }

std::optional<FeedUpdate> KeyedFeed::onPage(const SnapshotPage& page, TimePoint now)
{
    // Pages are not one snapshot: what changes meanwhile is read again from the offset of the first page.
    if (!m_after)
        m_offset = page.endOffset;
    m_collected.insert(m_collected.end(), page.records.begin(), page.records.end());
    m_after = page.continueAfter;
    onSucceeded(now);
    if (m_after) {
        m_dueAt = now;
        return std::nullopt;
    }
    m_tailing = true;
    m_confirmedAt = std::max(m_confirmedAt.value_or(TimePoint {}), m_snapshotBegan - page.sourceAge);
    return FeedUpdate { .replacesAll = true, .records = std::move(m_collected) };
}

FeedUpdate KeyedFeed::onRecords(const RecordBatch& batch, TimePoint now)
{
    m_offset = std::max(m_offset, batch.nextOffset);
    // The source answered no earlier than that; how long the answer was on its way is not known.
    const TimePoint answeredAt = std::min(now, m_requestedAt + batch.heldFor);
    m_confirmedAt = std::max(m_confirmedAt.value_or(TimePoint {}), answeredAt - batch.sourceAge);
    onSucceeded(now);
    return { .replacesAll = false, .records = batch.records };
}

void KeyedFeed::onSucceeded(TimePoint now)
{
    m_waiting = false;
    m_failingSince.reset();
    m_retry = m_options.firstRetry;
    m_dueAt = std::max(now, m_requestedAt + m_options.interval);
}

void KeyedFeed::onFailed(StoreError error, TimePoint now)
{
    m_waiting = false;
    if (error == StoreError::HistoryLost) {
        m_tailing = false;
        m_after.reset();
        m_dueAt = now;
        return;
    }
    if (!m_failingSince)
        m_failingSince = m_requestedAt;
    m_dueAt = now + m_retry;
    m_retry = std::min(m_retry * 2, m_options.longestRetry);
}

void KeyedFeed::hurry(TimePoint now) { m_dueAt = std::min(m_dueAt, now); }

}
