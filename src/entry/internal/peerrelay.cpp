#include "peerrelay.h"

#include "fireflyhaven/common/text.h"
#include "fireflyhaven/store/readtiming.h"
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
    archive(it.key, it.value, it.mayReturn);
}

}

namespace fireflyhaven::entry {

namespace {

constexpr std::string_view READ_PATH = "/records";
constexpr std::string_view NEWEST_PATH = "/newest";
constexpr Duration LONGEST_WAIT { 2000 };
constexpr Duration CONNECT_TIMEOUT { 250 };

// Answer of either call.
struct RelayAnswer {
    std::vector<store::KeyedRecord> records;
    std::uint64_t offset = 0;
    std::uint32_t ageMs = 0;
    // How long the request was held.
    std::uint32_t heldMs = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(offset, ageMs, heldMs, records); }
};

std::string encode(const RelayAnswer& answer)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(answer);
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
        return answer;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::optional<std::uint64_t> numberIn(const std::string& target, std::string_view name)
{
    return parseNumber<std::uint64_t>(http::queryParameter(target, name).value_or(""));
}

std::optional<store::Topic> topicIn(const std::string& target)
{
    const auto n = numberIn(target, "topic");
    if (!n || *n > static_cast<std::uint64_t>(store::Topic::Hosts))
        return std::nullopt;
    return static_cast<store::Topic>(*n);
}

}

RelayServer::RelayServer(boost::asio::io_context& loop, const IClock& clock, ConfirmedAt confirmedAt)
    : m_loop(loop)
    , m_clock(clock)
    , m_confirmedAt(std::move(confirmedAt))
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

void RelayServer::onUpdate(
    store::Topic topic, const store::FeedUpdate& update, const std::vector<bool>& significant, std::uint64_t nextOffset)
{
    m_logs[topic].onUpdate(update, significant, nextOffset);
    answerReaders();
}

void RelayServer::onRequest(std::shared_ptr<http::Exchange> exchange)
{
    const std::string& target = exchange->head().target;
    const auto topic = topicIn(target);
    const std::string_view path = http::pathOf(target);
    if (!topic || (path != READ_PATH && path != NEWEST_PATH))
        return exchange->sendResponse({ .status = STATUS_NOT_FOUND }, {});
    if (path == NEWEST_PATH)
        return answerNewest(*exchange, *topic);
    const Duration wait = std::min(LONGEST_WAIT, Duration(numberIn(target, "wait").value_or(0)));
    const Reader reader { .exchange = std::move(exchange),
        .topic = *topic,
        .offset = numberIn(target, "from").value_or(0),
        .since = m_clock.now(),
        .until = m_clock.now() + wait };
    if (wait == Duration(0) || hasNews(reader))
        return answerRead(reader);
    m_readers.push_back(reader);
    answerReaders();
}

bool RelayServer::hasNews(const Reader& reader) const
{
    const auto it = m_logs.find(reader.topic);
    if (it == m_logs.end())
        return true;
    const auto batch = it->second.read(reader.offset);
    return !batch || !batch->records.empty();
}

void RelayServer::answerReaders()
{
    const TimePoint now = m_clock.now();
    std::optional<TimePoint> next;
    for (auto it = m_readers.begin(); it != m_readers.end();) {
        if (now >= it->until || hasNews(*it)) {
            answerRead(*it);
            it = m_readers.erase(it);
            continue;
        }
        next = std::min(next.value_or(it->until), it->until);
        ++it;
    }
    if (!next)
        return;
    m_timer.expires_after(*next - now);
    m_timer.async_wait([this, alive = m_alive](boost::system::error_code ec) {
        if (!ec && *alive)
            answerReaders();
    });
}

Duration RelayServer::age(store::Topic topic) const
{
    constexpr Duration UNKNOWN { 3'600'000 };
    const auto confirmed = m_confirmedAt(topic);
    return confirmed ? m_clock.now() - *confirmed : UNKNOWN;
}

void RelayServer::answerRead(const Reader& reader)
{
    const auto batch = m_logs[reader.topic].read(reader.offset);
    if (!batch)
        return reader.exchange->sendResponse({ .status = STATUS_GONE }, {});
    const RelayAnswer answer { .records = batch->records,
        .offset = batch->nextOffset,
        .ageMs = static_cast<std::uint32_t>(age(reader.topic).count()),
        .heldMs = static_cast<std::uint32_t>((m_clock.now() - reader.since).count()) };
    reader.exchange->sendResponse({ .status = STATUS_OK }, encode(answer));
}

void RelayServer::answerNewest(http::Exchange& exchange, store::Topic topic)
{
    const auto page = m_logs[topic].newest();
    if (!page)
        return exchange.sendResponse({ .status = STATUS_UNAVAILABLE }, {});
    const RelayAnswer answer {
        .records = page->records, .offset = page->endOffset, .ageMs = static_cast<std::uint32_t>(age(topic).count())
    };
    exchange.sendResponse({ .status = STATUS_OK }, encode(answer));
}

// One call to another host.
class RelayClient::Call final : public http::IResponseObserver, public std::enable_shared_from_this<Call> {
public:
    Call(boost::asio::io_context& loop, std::function<void(store::Outcome<std::string>)> done)
        : m_timer(loop)
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
    void onBodyData(std::string_view piece) override { m_body += piece; }
    void onComplete() override
    {
        if (m_status == STATUS_OK)
            return finish({ .value = std::move(m_body) });
        const bool lost = m_status == STATUS_GONE;
        finish(store::Outcome<std::string>::failed(
            lost ? store::StoreError::HistoryLost : store::StoreError::NotDone, fmt::format("status {}", m_status)));
    }
    void onFailed(http::SendState, const std::string& reason) override { fail(reason); }

private:
    void fail(const std::string& reason)
    {
        m_call.reset();
        finish(store::Outcome<std::string>::failed(store::StoreError::NotDone, reason));
    }

    void finish(store::Outcome<std::string> outcome)
    {
        m_timer.cancel();
        if (const auto done = std::exchange(m_done, nullptr))
            done(std::move(outcome));
    }

    boost::asio::steady_timer m_timer;
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

void RelayClient::call(const http::Endpoint& host, std::string target, Duration timeout,
    std::function<void(store::Outcome<std::string>)> done)
{
    const auto place = m_open.emplace(m_open.end());
    *place = std::make_shared<Call>(m_loop, [this, place, done = std::move(done)](auto outcome) {
        const auto self = *place;
        m_open.erase(place);
        done(std::move(outcome));
    });
    (*place)->start(*m_client, host, std::move(target), timeout);
}

void RelayClient::read(const http::Endpoint& host, store::Topic topic, std::uint64_t offset, Duration wait,
    store::OnOutcome<store::RecordBatch> done)
{
    std::string target
        = fmt::format("{}?topic={}&from={}&wait={}", READ_PATH, static_cast<int>(topic), offset, wait.count());
    const Duration timeout = wait > Duration(0) ? wait + store::RELAY_TIMEOUT : store::SUBSTITUTE_TIMEOUT;
    call(host, std::move(target), timeout, [done = std::move(done)](const auto& raw) {
        if (!raw.value)
            return done(store::Outcome<store::RecordBatch>::failed(raw.error, raw.reason));
        auto answer = decode(*raw.value);
        if (!answer)
            return done(store::Outcome<store::RecordBatch>::failed(store::StoreError::Malformed, "malformed records"));
        done({ .value = store::RecordBatch { .records = std::move(answer->records),
                   .nextOffset = answer->offset,
                   .sourceAge = Duration(answer->ageMs),
                   .heldFor = Duration(answer->heldMs) } });
    });
}

void RelayClient::readNewest(const http::Endpoint& host, store::Topic topic, store::OnOutcome<store::SnapshotPage> done)
{
    std::string target = fmt::format("{}?topic={}", NEWEST_PATH, static_cast<int>(topic));
    call(host, std::move(target), store::RELAY_TIMEOUT, [done = std::move(done)](const auto& raw) {
        if (!raw.value)
            return done(store::Outcome<store::SnapshotPage>::failed(raw.error, raw.reason));
        auto answer = decode(*raw.value);
        if (!answer)
            return done(store::Outcome<store::SnapshotPage>::failed(store::StoreError::Malformed, "malformed records"));
        store::SnapshotPage page { .records = std::move(answer->records), .endOffset = answer->offset };
        page.sourceAge = Duration(answer->ageMs);
        done({ .value = std::move(page) });
    });
}

}
