#include "fireflyhaven/store/keyedfeed.h"

#include <algorithm>

namespace fireflyhaven::store {

KeyedFeed::KeyedFeed(FeedOptions options)
    : m_options(options)
    , m_backoff(options.initialBackoff)
{
}

std::optional<FeedRequest> KeyedFeed::poll(TimePoint now)
{
    if (m_requestInFlight || now < m_dueAt)
        return std::nullopt;
    m_requestInFlight = true;
    m_requestedAt = now;
    if (m_tailing)
        return FeedRequest { .kind = FeedRequest::Kind::Read, .after = {}, .offset = m_offset, .wait = m_options.wait };
    if (!m_continueAfter) {
        m_snapshotStartedAt = now;
        m_snapshotRecords.clear();
    }
    return FeedRequest { .kind = FeedRequest::Kind::ReadNewest, .after = m_continueAfter.value_or("") };
}

std::optional<TimePoint> KeyedFeed::nextPoll() const
{
    return m_requestInFlight ? std::nullopt : std::optional(m_dueAt);
}

std::optional<FeedUpdate> KeyedFeed::onPage(const SnapshotPage& page, TimePoint now)
{
    // The pages are read at different times. Changes made in between are read again from the offset of the first page.
    if (!m_continueAfter)
        m_offset = page.endOffset;
    m_snapshotRecords.insert(m_snapshotRecords.end(), page.records.begin(), page.records.end());
    m_continueAfter = page.continueAfter;
    onSucceeded(now);
    if (m_continueAfter) {
        m_dueAt = now;
        return std::nullopt;
    }
    m_tailing = true;
    m_confirmedAt = std::max(m_confirmedAt.value_or(TimePoint {}), m_snapshotStartedAt - page.sourceAge);
    return FeedUpdate { .replacesAll = true, .records = std::move(m_snapshotRecords) };
}

FeedUpdate KeyedFeed::onRecords(const RecordBatch& batch, TimePoint now)
{
    m_offset = std::max(m_offset, batch.nextOffset);
    // Earliest time at which the source can have answered; the transfer time of the answer is not known.
    const TimePoint answeredAt = std::min(now, m_requestedAt + batch.heldFor);
    m_confirmedAt = std::max(m_confirmedAt.value_or(TimePoint {}), answeredAt - batch.sourceAge);
    onSucceeded(now);
    return { .replacesAll = false, .records = batch.records };
}

void KeyedFeed::onSucceeded(TimePoint now)
{
    m_requestInFlight = false;
    m_failingSince.reset();
    m_backoff = m_options.initialBackoff;
    m_dueAt = std::max(now, m_requestedAt + m_options.interval);
}

void KeyedFeed::onFailed(StoreError error, TimePoint now)
{
    m_requestInFlight = false;
    if (error == StoreError::HistoryLost) {
        m_tailing = false;
        m_continueAfter.reset();
        m_dueAt = now;
        return;
    }
    if (!m_failingSince)
        m_failingSince = m_requestedAt;
    m_dueAt = now + m_backoff;
    m_backoff = std::min(m_backoff * 2, m_options.maxBackoff);
}

void KeyedFeed::scheduleNow(TimePoint now) { m_dueAt = std::min(m_dueAt, now); }

}
