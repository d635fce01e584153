#include "fireflyhaven/store/topicreader.h"

#include <algorithm>

namespace fireflyhaven::store {

namespace {
// Interval of checks for a source while a host must not read the store yet.
constexpr Duration SOURCE_RETRY_INTERVAL { 50 };
// A read from another host gets at least this long.
constexpr Duration MIN_RELAY_TIMEOUT { 50 };
// The time for an answer of the store doubles with each read that had none, up to MAX_STORE_ANSWER_TIME.
constexpr int MAX_TIMEOUT_DOUBLINGS = 2;
static_assert(STORE_ANSWER_TIME * (1 << MAX_TIMEOUT_DOUBLINGS) == MAX_STORE_ANSWER_TIME);
}

std::optional<TopicRead> TopicReader::poll(const ReadContext& context)
{
    const auto source = context.hosts ? m_selector.source(*context.hosts, context.now) : std::nullopt;
    if (!source && context.hosts && m_selector.mustWait(*context.hosts, context.now))
        return std::nullopt;
    const bool twoHops = readsOverTwoHops(context);
    FeedOptions options
        = source ? context.timing.fromHost(m_topic, twoHops) : context.timing.fromStore(m_topic, twoHops);
    // The first read from a source, and one after a failed read, is answered without waiting for new records.
    if (m_feed.failingSince() || source != m_lastSource || m_feed.isConfirmationDue())
        options.wait = Duration(0);
    m_feed.setOptions(options);
    auto request = m_feed.poll(context.now);
    if (!request)
        return std::nullopt;
    TopicRead read { .source = source, .request = std::move(*request), .startedAt = context.now };
    read.timeout = timeoutOf(read, context);
    m_lastSource = source;
    return read;
}

std::optional<TimePoint> TopicReader::nextPoll(const ReadContext& context) const
{
    const auto next = m_feed.nextPoll();
    if (!next)
        return std::nullopt;
    return *next > context.now ? *next : context.now + SOURCE_RETRY_INTERVAL;
}

Duration TopicReader::maxAge(const ReadContext& context) const
{
    const bool twoHops = readsOverTwoHops(context);
    const Duration age = context.timing.maxSourceAge(m_topic, twoHops);
    // The substitutes give up a source first, so that the other hosts find them current.
    const bool isLast = twoHops && !m_selector.isSubstitute(*context.hosts, context.now);
    return isLast ? age + context.timing.substituteHeadStart(m_topic) : age;
}

Duration TopicReader::timeoutOf(const TopicRead& read, const ReadContext& context) const
{
    const Duration wait = read.request.kind == FeedRequest::Kind::Read ? read.request.wait : Duration(0);
    if (!read.source)
        return wait + STORE_ANSWER_TIME * (1 << std::min(m_unansweredReads, MAX_TIMEOUT_DOUBLINGS));
    if (read.request.kind == FeedRequest::Kind::ReadNewest)
        return RELAY_TIMEOUT;
    if (wait == Duration(0))
        return FALLBACK_SOURCE_TIMEOUT;
    const Duration untilTooOld = m_feed.currentAt().value_or(context.now) + maxAge(context) - context.now;
    return std::clamp(untilTooOld, MIN_RELAY_TIMEOUT, wait + RELAY_TIMEOUT);
}

TimePoint TopicReader::deadlineAfterProgress(const TopicRead& read, const ReadContext& context) const
{
    const TimePoint last = read.startedAt + read.request.wait + context.timing.bound(m_topic);
    return std::max(read.startedAt + read.timeout, std::min(context.now + ANSWER_SILENCE, last));
}

std::optional<std::string_view> TopicReader::rejectionOf(
    const TopicRead& read, Duration sourceAge, const std::optional<Era>& era, const ReadContext& context) const
{
    if (m_feed.isBehind(era))
        return "the source is in an earlier era of the store";
    if (read.source && sourceAge > maxAge(context))
        return "data of the source host is too old";
    return std::nullopt;
}

std::optional<FeedUpdate> TopicReader::onPage(const TopicRead& read, const SnapshotPage& page, TimePoint now)
{
    onSucceeded(read, now);
    return m_feed.onPage(page, now);
}

FeedUpdate TopicReader::onRecords(const TopicRead& read, RecordBatch batch, TimePoint now)
{
    onSucceeded(read, now);
    // The store answers at once where it has records, so that an answer without any was given at the end of the wait.
    const bool isEmpty = batch.nextOffset == read.request.offset;
    if (!read.source && isEmpty && now - read.startedAt >= read.request.wait)
        batch.heldFor = read.request.wait;
    return m_feed.onRecords(batch, now);
}

void TopicReader::onSucceeded(const TopicRead& read, TimePoint now)
{
    if (read.source)
        return;
    m_unansweredReads = std::max(0, m_unansweredReads - 1);
    m_selector.onStoreRead(true, now);
}

void TopicReader::onFailed(const TopicRead& read, StoreError error, const ReadContext& context)
{
    m_feed.onFailed(error, context.now);
    if (error == StoreError::HistoryLost)
        return;
    if (!read.source) {
        if (context.now - read.startedAt >= read.timeout)
            m_unansweredReads = std::min(m_unansweredReads + 1, MAX_TIMEOUT_DOUBLINGS);
        m_selector.onStoreRead(false, context.now);
    } else {
        m_selector.onPeerFailed(*context.hosts, *read.source, context.now);
    }
    // Another source may have what this one has just failed to give.
    const bool hasHosts = context.hosts;
    const auto next = hasHosts ? m_selector.source(*context.hosts, context.now) : std::nullopt;
    const bool hasFailedToo = next && m_selector.hasFailed(*next, context.now);
    if (hasHosts && next != read.source && !hasFailedToo)
        m_feed.scheduleNow(context.now);
}

bool isAnswerDue(const RelayLog& log, const KeyedFeed& feed, const WaitingRead& read, TimePoint now)
{
    if (now >= read.deadline || feed.currentAt() != read.currentAt)
        return true;
    const auto batch = log.read(read.offset, read.era);
    return !batch || !batch->records.empty();
}

}
