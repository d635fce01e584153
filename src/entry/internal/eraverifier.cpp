#include "eraverifier.h"

#include "fireflyhaven/common/text.h"
#include "fireflyhaven/telemetry/logevent.h"

namespace fireflyhaven::entry {

namespace {

const std::string RECORD_KEY = "settled";
// Pause between two reads, or two failed writes, of the record.
constexpr Duration RECORD_INTERVAL { 1000 };
// Other hosts are asked once the record has been read, or has not been answered for this long.
constexpr Duration RECORD_ANSWER_TIME { 150 };
// A host that does not answer within this time is passed over.
constexpr Duration ASK_TIMEOUT { 400 };
// Pause before the same host is asked again.
constexpr Duration ASK_INTERVAL { 1000 };

}

EraVerifier::~EraVerifier() { *m_alive = false; }

void EraVerifier::advance()
{
    const TimePoint now = m_context.clock.now();
    writeRecord(now);
    const std::vector<store::Topic> topics = m_context.delegate.unverifiedTopics();
    endAsks({ topics.begin(), topics.end() }, now);
    if (topics.empty())
        return;
    readRecord(now);
    if (m_isReading && now - *m_readAt < RECORD_ANSWER_TIME)
        return;
    for (const store::Topic topic : topics)
        askNextHost(topic, now);
}

void EraVerifier::readRecord(TimePoint now)
{
    if (m_isReading || (m_readAt && now - *m_readAt < RECORD_INTERVAL))
        return;
    m_isReading = true;
    m_readAt = now;
    m_context.store.readNewest(
        store::Topic::Eras, {}, nullptr, [this, alive = m_alive](const store::Outcome<store::SnapshotPage>& outcome) {
            if (!*alive)
                return;
            m_isReading = false;
            if (outcome.value)
                onRecord(*outcome.value);
            else
                telemetry::logEvent(spdlog::level::info, "settled_era_unread", { { "reason", outcome.reason } });
            advance();
        });
}

void EraVerifier::onRecord(const store::SnapshotPage& page)
{
    for (const store::KeyedRecord& it : page.records) {
        const auto n = parseNumber<std::uint64_t>(it.value.value_or(""));
        if (it.key == RECORD_KEY && n)
            m_recordedEra = store::Era(*n);
    }
    if (page.era && page.era == m_recordedEra)
        m_context.delegate.onEraSettled(*page.era);
}

void EraVerifier::writeRecord(TimePoint now)
{
    const auto era = m_context.delegate.settledEra();
    const bool isPausing = m_writtenAt && now - *m_writtenAt < RECORD_INTERVAL;
    if (!era || era == m_recordedEra || m_isWriting || isPausing)
        return;
    m_isWriting = true;
    m_writtenAt = now;
    m_context.store.put(store::Topic::Eras, { .key = RECORD_KEY, .value = std::to_string(era->value()) }, std::nullopt,
        [this, alive = m_alive, era](const store::Outcome<std::uint64_t>& outcome) {
            if (!*alive)
                return;
            m_isWriting = false;
            if (outcome.value)
                m_recordedEra = era;
            telemetry::logEvent(outcome.value ? spdlog::level::info : spdlog::level::warn,
                outcome.value ? "settled_era_recorded" : "settled_era_unrecorded",
                { { "era", era->value() }, { "reason", outcome.reason } });
        });
}

const fleet::KnownHost* EraVerifier::nextHost(store::Topic topic, TimePoint now) const
{
    const fleet::HostTable* hosts = m_context.hosts();
    if (!hosts)
        return nullptr;
    for (const fleet::KnownHost* it : hosts->live(now)) {
        const auto asked = m_askedAt.find({ topic, it->report.host });
        if (asked == m_askedAt.end() || now - asked->second >= ASK_INTERVAL)
            return it;
    }
    return nullptr;
}

void EraVerifier::askNextHost(store::Topic topic, TimePoint now)
{
    if (m_asks.contains(topic))
        return;
    const fleet::KnownHost* next = nextHost(topic, now);
    if (!next)
        return;
    const HostId host = next->report.host;
    m_askedAt.insert_or_assign({ topic, host }, now);
    const RelayCallId call = m_context.relayClient.readNewest(
        next->peerAddress, topic, SnapshotKind::Verified, [](std::size_t) {},
        [this, alive = m_alive, topic, host](const auto& outcome) {
            if (*alive)
                onAnswer(topic, host, outcome);
        });
    m_asks.insert_or_assign(topic, Ask { .host = host, .call = call, .askedAt = now });
}

void EraVerifier::onAnswer(store::Topic topic, const HostId& host, const store::Outcome<store::SnapshotPage>& outcome)
{
    m_asks.erase(topic);
    if (outcome.value)
        m_context.delegate.onVerifiedSnapshot(topic, *outcome.value, host);
    advance();
}

void EraVerifier::endAsks(const std::set<store::Topic>& unverified, TimePoint now)
{
    std::erase_if(m_asks, [&](const auto& entry) {
        const auto& [topic, ask] = entry;
        if (unverified.contains(topic) && now - ask.askedAt < ASK_TIMEOUT)
            return false;
        m_context.relayClient.cancel(ask.call);
        return true;
    });
}

}
