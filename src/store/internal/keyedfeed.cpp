#include "fireflyhaven/store/keyedfeed.h"

#include <algorithm>

namespace fireflyhaven::store {

namespace {
// After the store has come back from a copy, the operator and the upstreams write within this time what it has lost.
constexpr Duration REWRITE_GRACE { 5000 };
}

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
    m_isConfirmationDue = false;
    endRestoration(now);
    const bool limitsTail = m_options.maxTailAge > Duration(0) && m_currentAt;
    if (m_tailing && limitsTail && now - *m_currentAt > m_options.maxTailAge)
        startSnapshot(now);
    if (m_tailing)
        return FeedRequest {
            .kind = FeedRequest::Kind::Read, .after = {}, .offset = m_offset, .era = m_era, .wait = m_options.wait
        };
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
    if (m_continueAfter && page.era != m_snapshotEra) {
        onSucceeded(now);
        startSnapshot(now);
        return std::nullopt;
    }
    // The pages are read at different times. Changes made in between are read again from the offset of the first page.
    if (!m_continueAfter) {
        m_offset = page.endOffset;
        m_snapshotEra = page.era;
    }
    m_snapshotRecords.insert(m_snapshotRecords.end(), page.records.begin(), page.records.end());
    m_continueAfter = page.continueAfter;
    onSucceeded(now);
    if (m_continueAfter) {
        m_dueAt = now;
        return std::nullopt;
    }
    m_tailing = true;
    const bool isRestored = beginEra(page, now);
    onCurrent(m_snapshotStartedAt - page.sourceAge, page.eraState);
    return FeedUpdate { .replacesAll = true, .records = std::move(m_snapshotRecords), .isRestored = isRestored };
}

bool KeyedFeed::beginEra(const SnapshotPage& page, TimePoint now)
{
    const bool isFirst = !m_currentAt;
    const bool isRestored = m_era && m_snapshotEra && *m_snapshotEra > *m_era;
    if (m_snapshotEra)
        m_era = m_snapshotEra;
    const bool sourceKnowsMore = page.eraState == EraState::Settled || page.eraState == EraState::Restoring;
    if (sourceKnowsMore && (isFirst || isUnverified()))
        takeEraState(page.eraState, now);
    else if (isFirst && m_era && !m_trustsFirstSnapshot)
        awaitRewrite(EraState::Unverified, now);
    else if (isRestored)
        awaitRewrite(isUnverified() ? EraState::Unverified : EraState::Restoring, now);
    return isRestored;
}

FeedUpdate KeyedFeed::onRecords(const RecordBatch& batch, TimePoint now)
{
    if (m_era && batch.era && *batch.era > *m_era) {
        onSucceeded(now);
        startSnapshot(now);
        return {};
    }
    if (batch.era)
        m_era = batch.era;
    m_offset = std::max(m_offset, batch.nextOffset);
    // Earliest time at which the source can have answered; the transfer time of the answer is not known.
    const TimePoint answeredAt = std::min(now, m_requestedAt + batch.heldFor);
    onCurrent(answeredAt - batch.sourceAge, batch.eraState);
    onSucceeded(now);
    // A source that is settled may hold records that came before this feed's snapshot and are not in the store's copy.
    if (isUnverified() && batch.eraState == EraState::Settled)
        startSnapshot(now);
    return { .replacesAll = false, .records = batch.records };
}

FeedUpdate KeyedFeed::adopt(const SnapshotPage& page, TimePoint now)
{
    onSucceeded(now);
    m_continueAfter.reset();
    m_tailing = true;
    m_offset = page.endOffset;
    m_era = page.era;
    takeEraState(page.eraState, now);
    onCurrent(now - page.sourceAge, page.eraState);
    return { .replacesAll = true, .records = page.records };
}

bool KeyedFeed::onEraSettled(Era era, TimePoint now)
{
    if (!isUnverified() || m_era != era)
        return false;
    m_eraState = EraState::Settled;
    m_restoredAt.reset();
    m_settledAt = now;
    m_isConfirmationDue = true;
    m_requestInFlight = false;
    m_dueAt = now;
    return true;
}

void KeyedFeed::onWrittenAgain()
{
    if (m_eraState == EraState::Restoring)
        m_eraState = EraState::Settled;
}

void KeyedFeed::onNothingKnownLost()
{
    if (m_eraState == EraState::Restoring)
        m_eraState = EraState::Unverified;
}

EraState KeyedFeed::eraState() const
{
    if (m_eraState != EraState::Settled)
        return m_eraState;
    return m_confirmedAt == m_currentAt ? EraState::Settled : EraState::Restoring;
}

void KeyedFeed::onCurrent(TimePoint at, EraState source)
{
    m_currentAt = std::max(m_currentAt.value_or(TimePoint {}), at);
    // A feed that is settled needs no word on the era from its source, but one that misses records tells so.
    const bool confirms = m_eraState == EraState::Settled && source != EraState::Restoring && at >= m_settledAt;
    if (confirms)
        m_confirmedAt = std::max(m_confirmedAt.value_or(TimePoint {}), at);
}

void KeyedFeed::takeEraState(EraState source, TimePoint now)
{
    m_eraState = EraState::Settled;
    m_restoredAt.reset();
    if (source == EraState::Restoring)
        awaitRewrite(EraState::Restoring, now);
}

void KeyedFeed::awaitRewrite(EraState state, TimePoint now)
{
    m_eraState = state;
    m_restoredAt = now;
}

void KeyedFeed::startSnapshot(TimePoint now)
{
    m_tailing = false;
    m_continueAfter.reset();
    m_dueAt = now;
}

void KeyedFeed::endRestoration(TimePoint now)
{
    if (!m_restoredAt || now - *m_restoredAt < REWRITE_GRACE)
        return;
    m_restoredAt.reset();
    m_eraState = EraState::Settled;
    m_tailing = false;
    m_continueAfter.reset();
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
    if (error == StoreError::HistoryLost)
        return startSnapshot(now);
    if (!m_failingSince)
        m_failingSince = m_requestedAt;
    m_dueAt = now + m_backoff;
    m_backoff = std::min(m_backoff * 2, m_options.maxBackoff);
}

void KeyedFeed::scheduleNow(TimePoint now) { m_dueAt = std::min(m_dueAt, now); }

}
