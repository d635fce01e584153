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

    template <typename Archive> void serialize(Archive& archive) { archive(offset, ageMs, heldMs, records); }
    template <typename Archive> void serializeEra(Archive& archive) { archive(era, isRestoring); }

    std::optional<store::Era> storeEra() const { return era ? std::optional(store::Era(*era)) : std::nullopt; }
};

std::string encode(const RelayAnswer& answer)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(answer);
        RelayAnswer(answer).serializeEra(archive);
    }
    return std::move(out).str();
}

std::optional<RelayAnswer> decode(const std::string& body)
{
    try {
        std::istringstream in(body);
        cereal::PortableBinaryInputArchive archive(in);
        RelayAnswer answer;
        archive(answer);
        if (in.peek() != std::istringstream::traits_type::eof())
            answer.serializeEra(archive);
        return answer;
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

Result<void> RelayServer::listen(const http::Endpoint& address)
{
    BOOST_LEAF_ASSIGN(m_server,
        http::EventServer::start(m_loop, m_clock, { .listen = address, .maxConnections = 500 },
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
    if (path == NEWEST_PATH)
        return answerNewest(*exchange, *topic);
    const Duration wait = std::min(MAX_WAIT, Duration(numberParameter(target, "wait").value_or(0)));
    const store::KeyedFeed* feed = m_feedOf(*topic);
    const PendingRead pending { .exchange = std::move(exchange),
        .topic = *topic,
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

bool RelayServer::isRestoring(store::Topic topic) const
{
    const store::KeyedFeed* feed = m_feedOf(topic);
    return feed && feed->isRestoring();
}

void RelayServer::answerRead(const PendingRead& pending)
{
    const auto batch = m_logs[pending.topic].read(pending.read.offset, pending.read.era);
    if (!batch)
        return pending.exchange->sendResponse({ .status = STATUS_GONE }, {});
    const RelayAnswer answer { .records = batch->records,
        .offset = batch->nextOffset,
        .ageMs = static_cast<std::uint32_t>(age(pending.topic).count()),
        .heldMs = static_cast<std::uint32_t>((m_clock.now() - pending.read.receivedAt).count()),
        .era = numberOf(batch->era),
        .isRestoring = isRestoring(pending.topic) };
    pending.exchange->sendResponse({ .status = STATUS_OK }, encode(answer));
}

void RelayServer::answerNewest(http::Exchange& exchange, store::Topic topic)
{
    const auto page = m_logs[topic].newest();
    if (!page)
        return exchange.sendResponse({ .status = STATUS_UNAVAILABLE }, {});
    const RelayAnswer answer { .records = page->records,
        .offset = page->endOffset,
        .ageMs = static_cast<std::uint32_t>(age(topic).count()),
        .era = numberOf(page->era),
        .isRestoring = isRestoring(topic) };
    exchange.sendResponse({ .status = STATUS_OK }, encode(answer));
}

// One call to the relay server of another host.
class RelayClient::Call final : public http::IResponseObserver, public std::enable_shared_from_this<Call> {
public:
    Call(boost::asio::io_context& loop, store::OnProgress progress,
        std::function<void(store::Outcome<std::string>)> done)
        : m_timer(loop)
        , m_progress(std::move(progress))
        , m_done(std::move(done))
    {
    }

    void start(http::EventClient& client, const http::Endpoint& host, std::string target, Duration timeout)
    {
        http::OutgoingRequest request { .head = { .method = "GET", .target = std::move(target) },
            .connectTimeout = CONNECT_TIMEOUT };
        m_call = client.start(host, std::move(request), *this);
        m_timer.expires_after(timeout);
        m_timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self)
                self->fail("no answer in time");
        });
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
        m_timer.cancel();
        if (const auto done = std::exchange(m_done, nullptr))
            done(std::move(outcome));
    }

    boost::asio::steady_timer m_timer;
    const store::OnProgress m_progress;
    std::function<void(store::Outcome<std::string>)> m_done;
    std::unique_ptr<http::ClientCall> m_call;
    int m_status = 0;
    std::string m_body;
};

RelayClient::RelayClient(boost::asio::io_context& loop, const IClock& clock)
    : m_loop(loop)
    , m_client(http::EventClient::create(loop, clock))
{
}

RelayClient::~RelayClient() = default;

void RelayClient::call(const http::Endpoint& host, std::string target, Duration timeout, store::OnProgress progress,
    std::function<void(store::Outcome<std::string>)> done)
{
    const auto position = m_openCalls.emplace(m_openCalls.end());
    *position
        = std::make_shared<Call>(m_loop, std::move(progress), [this, position, done = std::move(done)](auto outcome) {
              const auto self = *position;
              m_openCalls.erase(position);
              done(std::move(outcome));
          });
    (*position)->start(*m_client, host, std::move(target), timeout);
}

void RelayClient::read(const http::Endpoint& host, store::Topic topic, const store::FeedRequest& request,
    Duration timeout, store::OnProgress progress, store::OnOutcome<store::RecordBatch> done)
{
    std::string target = fmt::format(
        "{}?topic={}&from={}&wait={}", READ_PATH, static_cast<int>(topic), request.offset, request.wait.count());
    if (request.era)
        target += fmt::format("&era={}", request.era->value());
    call(host, std::move(target), timeout, std::move(progress), [done = std::move(done)](const auto& raw) {
        if (!raw.value)
            return done(store::Outcome<store::RecordBatch>::failed(raw.error, raw.reason));
        auto answer = decode(*raw.value);
        if (!answer)
            return done(store::Outcome<store::RecordBatch>::failed(
                store::StoreError::Malformed, "malformed answer of the source host"));
        done({ .value = store::RecordBatch { .records = std::move(answer->records),
                   .nextOffset = answer->offset,
                   .era = answer->storeEra(),
                   .isRestoring = answer->isRestoring,
                   .sourceAge = Duration(answer->ageMs),
                   .heldFor = Duration(answer->heldMs) } });
    });
}

void RelayClient::readNewest(const http::Endpoint& host, store::Topic topic, store::OnProgress progress,
    store::OnOutcome<store::SnapshotPage> done)
{
    std::string target = fmt::format("{}?topic={}", NEWEST_PATH, static_cast<int>(topic));
    call(host, std::move(target), store::RELAY_TIMEOUT, std::move(progress), [done = std::move(done)](const auto& raw) {
        if (!raw.value)
            return done(store::Outcome<store::SnapshotPage>::failed(raw.error, raw.reason));
        auto answer = decode(*raw.value);
        if (!answer)
            return done(store::Outcome<store::SnapshotPage>::failed(
                store::StoreError::Malformed, "malformed answer of the source host"));
        store::SnapshotPage page { .records = std::move(answer->records),
            .endOffset = answer->offset,
            .era = answer->storeEra(),
            .isRestoring = answer->isRestoring };
        page.sourceAge = Duration(answer->ageMs);
        done({ .value = std::move(page) });
    });
}

}
