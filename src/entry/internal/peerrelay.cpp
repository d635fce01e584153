#include "peerrelay.h"

#include "fireflyhaven/common/text.h"
#include "fireflyhaven/http/types/status.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <fmt/format.h>

#include <sstream>

namespace fireflyhaven::store {

template <typename Archive> void serialize(Archive& archive, KeyedRecord& it)
{
    archive(it.key, it.value, it.mayReappear);
}

}

namespace fireflyhaven::entry {

namespace {

constexpr std::string_view READ_PATH = "/records";
constexpr std::string_view NEWEST_PATH = "/newest";
constexpr Duration MAX_WAIT { 2000 };
constexpr Duration CONNECT_TIMEOUT { 250 };

// Answer to a read of records or to a request for the newest records.
struct RelayAnswer {
    std::vector<store::KeyedRecord> records;
    std::uint64_t offset = 0;
    std::uint32_t ageMs = 0;
    // Time that the request waited for new records.
    std::uint32_t heldMs = 0;
    // Not in the answers of older builds, which end before it.
    std::optional<std::uint64_t> era;
    bool isRestoring = false;
    // Only in the answers to requests that ask for packed records; these are not among `records`.
    std::vector<PackedRecord> packedRecords;
    // Not in the answers of older builds, which end before it. Unverified records are restoring too, for older builds.
    bool isUnverified = false;

    template <typename Archive> void serialize(Archive& archive) { archive(offset, ageMs, heldMs, records); }
    template <typename Archive> void serializeEra(Archive& archive) { archive(era, isRestoring); }
    template <typename Archive> void serializePacked(Archive& archive) { archive(packedRecords); }
    template <typename Archive> void serializeVerification(Archive& archive) { archive(isUnverified); }

    std::optional<store::Era> storeEra() const { return era ? std::optional(store::Era(*era)) : std::nullopt; }
    store::EraState eraState() const
    {
        if (!era)
            return store::EraState::Untold;
        if (isUnverified)
            return store::EraState::Unverified;
        return isRestoring ? store::EraState::Restoring : store::EraState::Settled;
    }
    void setEraState(store::EraState state)
    {
        isRestoring = state != store::EraState::Settled;
        isUnverified = state == store::EraState::Unverified;
    }
};

std::string encode(const RelayAnswer& answer)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(answer);
        RelayAnswer trailer(answer);
        trailer.serializeEra(archive);
        trailer.serializePacked(archive);
        trailer.serializeVerification(archive);
    }
    return std::move(out).str();
}

bool isAtEnd(std::istringstream& in) { return in.peek() == std::istringstream::traits_type::eof(); }

// Moves the packed records to the others; returns false if one is malformed.
bool unpackRecords(RelayAnswer& answer)
{
    for (const PackedRecord& it : answer.packedRecords) {
        auto record = RecordPacker::unpack(it);
        if (!record)
            return false;
        answer.records.push_back(std::move(*record));
    }
    answer.packedRecords.clear();
    return true;
}

std::optional<RelayAnswer> decode(const std::string& body)
{
    try {
        std::istringstream in(body);
        cereal::PortableBinaryInputArchive archive(in);
        RelayAnswer answer;
        archive(answer);
        if (!isAtEnd(in))
            answer.serializeEra(archive);
        if (!isAtEnd(in))
            answer.serializePacked(archive);
        if (!isAtEnd(in))
            answer.serializeVerification(archive);
        return unpackRecords(answer) ? std::optional(std::move(answer)) : std::nullopt;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::optional<std::uint64_t> numberParameter(const std::string& target, std::string_view name)
{
    return parseNumber<std::uint64_t>(http::queryParameter(target, name).value_or(""));
}

std::optional<store::Topic> topicParameter(const std::string& target)
{
    const auto n = numberParameter(target, "topic");
    if (!n || *n > static_cast<std::uint64_t>(store::Topic::Hosts))
        return std::nullopt;
    return static_cast<store::Topic>(*n);
}

// Not in the requests of older builds.
std::optional<store::Era> eraParameter(const std::string& target)
{
    const auto n = numberParameter(target, "era");
    return n ? std::optional(store::Era(*n)) : std::nullopt;
}

// Not in the requests of older builds, which cannot read packed records.
bool acceptsPacked(const std::string& target) { return numberParameter(target, "packed") == 1; }

// Only in the requests of hosts whose own records are unverified.
bool asksForVerified(const std::string& target) { return numberParameter(target, "verified") == 1; }

std::optional<std::uint64_t> numberOf(std::optional<store::Era> era)
{
    return era ? std::optional(era->value()) : std::nullopt;
}

}

RelayServer::RelayServer(boost::asio::io_context& loop, const IClock& clock, FeedOf feedOf)
    : m_loop(loop)
    , m_clock(clock)
    , m_feedOf(std::move(feedOf))
    , m_timer(loop)
{
}

Result<void> RelayServer::listen(const http::Endpoint& address, std::shared_ptr<http::MemoryBudget> memory)
{
    BOOST_LEAF_ASSIGN(m_server,
        http::EventServer::start(m_loop, m_clock,
            { .listen = address, .maxConnections = 500, .memory = std::move(memory) },
            [this](auto exchange) { onRequest(std::move(exchange)); }));
    return {};
}

void RelayServer::onUpdate(store::Topic topic, const store::FeedUpdate& update, const std::vector<bool>& significant)
{
    const store::KeyedFeed& feed = *m_feedOf(topic);
    m_logs[topic].onUpdate(update, significant, feed.offset(), feed.era());
    answerPendingReads();
}

void RelayServer::onRequest(std::shared_ptr<http::Exchange> exchange)
{
    const std::string& target = exchange->head().target;
    const auto topic = topicParameter(target);
    const std::string_view path = http::pathOf(target);
    if (!topic || (path != READ_PATH && path != NEWEST_PATH))
        return exchange->sendResponse({ .status = STATUS_NOT_FOUND }, {});
    if (path == NEWEST_PATH && asksForVerified(target) && eraState(*topic) == store::EraState::Unverified)
        return exchange->sendResponse({ .status = STATUS_UNAVAILABLE }, {});
    if (path == NEWEST_PATH)
        return answerNewest(*exchange, *topic, acceptsPacked(target));
    const Duration wait = std::min(MAX_WAIT, Duration(numberParameter(target, "wait").value_or(0)));
    const store::KeyedFeed* feed = m_feedOf(*topic);
    const PendingRead pending { .exchange = std::move(exchange),
        .topic = *topic,
        .acceptsPacked = acceptsPacked(target),
        .read = { .offset = numberParameter(target, "from").value_or(0),
            .era = eraParameter(target),
            .currentAt = feed ? feed->currentAt() : std::nullopt,
            .receivedAt = m_clock.now(),
            .deadline = m_clock.now() + wait } };
    if (isAnswerDue(pending))
        return answerRead(pending);
    m_pendingReads.push_back(pending);
    answerPendingReads();
}

bool RelayServer::isAnswerDue(const PendingRead& pending) const
{
    const auto log = m_logs.find(pending.topic);
    const store::KeyedFeed* feed = m_feedOf(pending.topic);
    return log == m_logs.end() || !feed || store::isAnswerDue(log->second, *feed, pending.read, m_clock.now());
}

void RelayServer::onSourceLost(store::Topic topic)
{
    std::erase_if(m_pendingReads, [&](const PendingRead& it) {
        if (it.topic != topic)
            return false;
        it.exchange->sendResponse({ .status = STATUS_UNAVAILABLE }, {});
        return true;
    });
}

void RelayServer::answerPendingReads()
{
    const TimePoint now = m_clock.now();
    std::optional<TimePoint> next;
    for (auto it = m_pendingReads.begin(); it != m_pendingReads.end();) {
        if (isAnswerDue(*it)) {
            answerRead(*it);
            it = m_pendingReads.erase(it);
            continue;
        }
        next = std::min(next.value_or(it->read.deadline), it->read.deadline);
        ++it;
    }
    if (!next)
        return;
    m_timer.expires_after(*next - now);
    m_timer.async_wait([this, alive = m_alive](boost::system::error_code ec) {
        if (!ec && *alive)
            answerPendingReads();
    });
}

Duration RelayServer::age(store::Topic topic) const
{
    constexpr Duration UNKNOWN_AGE { 3'600'000 };
    const store::KeyedFeed* feed = m_feedOf(topic);
    const auto current = feed ? feed->currentAt() : std::nullopt;
    return current ? m_clock.now() - *current : UNKNOWN_AGE;
}

store::EraState RelayServer::eraState(store::Topic topic) const
{
    const store::KeyedFeed* feed = m_feedOf(topic);
    return feed ? feed->eraState() : store::EraState::Unverified;
}

void RelayServer::answerRead(const PendingRead& pending)
{
    auto batch = m_logs[pending.topic].read(pending.read.offset, pending.read.era);
    if (!batch)
        return pending.exchange->sendResponse({ .status = STATUS_GONE }, {});
    RelayAnswer answer { .records = std::move(batch->records),
        .offset = batch->nextOffset,
        .ageMs = static_cast<std::uint32_t>(age(pending.topic).count()),
        .heldMs = static_cast<std::uint32_t>((m_clock.now() - pending.read.receivedAt).count()),
        .era = numberOf(batch->era) };
    answer.setEraState(eraState(pending.topic));
    if (pending.acceptsPacked)
        answer.packedRecords = packLargeRecords(answer.records);
    pending.exchange->sendResponse({ .status = STATUS_OK }, encode(answer));
}

// Takes the large records out of the list, and returns them packed.
std::vector<PackedRecord> RelayServer::packLargeRecords(std::vector<store::KeyedRecord>& records)
{
    std::vector<PackedRecord> packed;
    std::erase_if(records, [&](const store::KeyedRecord& it) {
        const PackedRecord* large = m_packer.pack(it);
        if (large)
            packed.push_back(*large);
        return large != nullptr;
    });
    return packed;
}

void RelayServer::answerNewest(http::Exchange& exchange, store::Topic topic, bool acceptsPacked)
{
    auto page = m_logs[topic].newest();
    if (!page)
        return exchange.sendResponse({ .status = STATUS_UNAVAILABLE }, {});
    RelayAnswer answer { .records = std::move(page->records),
        .offset = page->endOffset,
        .ageMs = static_cast<std::uint32_t>(age(topic).count()),
        .era = numberOf(page->era) };
    answer.setEraState(eraState(topic));
    if (acceptsPacked)
        answer.packedRecords = packLargeRecords(answer.records);
    exchange.sendResponse({ .status = STATUS_OK }, encode(answer));
}

// One call to the relay server of another host.
class RelayClient::Call final : public http::IResponseObserver {
public:
    Call(store::OnProgress progress, std::function<void(store::Outcome<std::string>)> done)
        : m_progress(std::move(progress))
        , m_done(std::move(done))
    {
    }

    void start(http::EventClient& client, const http::Endpoint& host, std::string target)
    {
        http::OutgoingRequest request { .head = { .method = "GET", .target = std::move(target) },
            .connectTimeout = CONNECT_TIMEOUT };
        m_call = client.start(host, std::move(request), *this);
    }

    http::HeadVerdict onHead(const http::ResponseHead& head) override
    {
        m_status = head.status;
        return http::HeadVerdict::Accept;
    }
    void onBodyData(std::string_view piece) override
    {
        m_body += piece;
        m_progress(m_body.size());
    }
    void onComplete() override
    {
        if (m_status == STATUS_OK)
            return finish({ .value = std::move(m_body) });
        const bool historyLost = m_status == STATUS_GONE;
        finish(store::Outcome<std::string>::failed(
            historyLost ? store::StoreError::HistoryLost : store::StoreError::NotExecuted,
            fmt::format("status {}", m_status)));
    }
    void onFailed(http::SendState, const std::string& reason) override { fail(reason); }

private:
    void fail(const std::string& reason)
    {
        m_call.reset();
        finish(store::Outcome<std::string>::failed(store::StoreError::NotExecuted, reason));
    }

    void finish(store::Outcome<std::string> outcome)
    {
        if (const auto done = std::exchange(m_done, nullptr))
            done(std::move(outcome));
    }

    const store::OnProgress m_progress;
    std::function<void(store::Outcome<std::string>)> m_done;
    std::unique_ptr<http::ClientCall> m_call;
    int m_status = 0;
    std::string m_body;
};

RelayClient::RelayClient(boost::asio::io_context& loop, const IClock& clock)
    : m_client(http::EventClient::create(loop, clock))
{
}

RelayClient::~RelayClient() = default;

RelayCallId RelayClient::call(const http::Endpoint& host, std::string target, store::OnProgress progress,
    std::function<void(store::Outcome<std::string>)> done)
{
    const RelayCallId id(++m_lastCall);
    const auto call = std::make_shared<Call>(std::move(progress), [this, id, done = std::move(done)](auto outcome) {
        // Keeps the call alive until its callback has returned.
        const auto ended = m_openCalls.extract(id);
        done(std::move(outcome));
    });
    m_openCalls.emplace(id, call);
    call->start(*m_client, host, std::move(target));
    return id;
}

void RelayClient::cancel(RelayCallId call) { m_openCalls.erase(call); }

RelayCallId RelayClient::read(const http::Endpoint& host, store::Topic topic, const store::FeedRequest& request,
    store::OnProgress progress, store::OnOutcome<store::RecordBatch> done)
{
    std::string target = fmt::format("{}?topic={}&from={}&wait={}&packed=1", READ_PATH, static_cast<int>(topic),
        request.offset, request.wait.count());
    if (request.era)
        target += fmt::format("&era={}", request.era->value());
    return call(host, std::move(target), std::move(progress), [done = std::move(done)](const auto& raw) {
        if (!raw.value)
            return done(store::Outcome<store::RecordBatch>::failed(raw.error, raw.reason));
        auto answer = decode(*raw.value);
        if (!answer)
            return done(store::Outcome<store::RecordBatch>::failed(
                store::StoreError::Malformed, "malformed answer of the source host"));
        done({ .value = store::RecordBatch { .records = std::move(answer->records),
                   .nextOffset = answer->offset,
                   .era = answer->storeEra(),
                   .eraState = answer->eraState(),
                   .sourceAge = Duration(answer->ageMs),
                   .heldFor = Duration(answer->heldMs) } });
    });
}

RelayCallId RelayClient::readNewest(const http::Endpoint& host, store::Topic topic, SnapshotKind kind,
    store::OnProgress progress, store::OnOutcome<store::SnapshotPage> done)
{
    std::string target = fmt::format("{}?topic={}&packed=1", NEWEST_PATH, static_cast<int>(topic));
    if (kind == SnapshotKind::Verified)
        target += "&verified=1";
    return call(host, std::move(target), std::move(progress), [done = std::move(done)](const auto& raw) {
        if (!raw.value)
            return done(store::Outcome<store::SnapshotPage>::failed(raw.error, raw.reason));
        auto answer = decode(*raw.value);
        if (!answer)
            return done(store::Outcome<store::SnapshotPage>::failed(
                store::StoreError::Malformed, "malformed answer of the source host"));
        store::SnapshotPage page { .records = std::move(answer->records),
            .endOffset = answer->offset,
            .era = answer->storeEra(),
            .eraState = answer->eraState() };
        page.sourceAge = Duration(answer->ageMs);
        done({ .value = std::move(page) });
    });
}

}
