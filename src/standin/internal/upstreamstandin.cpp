#include "fireflyhaven/standin/upstreamstandin.h"

#include "fireflyhaven/common/hash.h"
#include "fireflyhaven/common/json.h"
#include "fireflyhaven/http/types/status.h"

#include <absl/time/clock.h>

#include <algorithm>

namespace fireflyhaven::standin {

namespace {
constexpr std::size_t MAX_CACHED_PREFIXES = 64;
constexpr std::size_t PREFIX_CHARACTERS = 256;
constexpr std::size_t CHARACTERS_PER_TOKEN = 4;

http::Response jsonResponse(const nlohmann::json& body, int status = STATUS_OK)
{
    return {
        .status = status, .headers = { { "Content-Type", "application/json" } }, .body = body.dump(), .stream = {}
    };
}

struct ChatRequest {
    std::string requestId;
    std::uint32_t attempt = 0;
    std::string version;
    std::string prompt;
    int maxTokens = 16;
    std::uint64_t firstIndex = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(ChatRequest, requestId, attempt, version, prompt, maxTokens, firstIndex)
};

std::string sseEvent(const nlohmann::json& event) { return "data: " + event.dump() + "\n\n"; }

}

// Generates the events of one answer with the configured delays. The texts depend only on the piece index and on
// whether the answer is bad, so that a resumed or repeated answer has the same text.
class UpstreamStandin::AnswerStream final : public http::IBodyStream {
public:
    AnswerStream(UpstreamStandin& upstream, ChatRequest request, UpstreamBehaviour behaviour, bool bad, bool cacheHit,
        std::uint64_t generation)
        : m_upstream(upstream)
        , m_request(std::move(request))
        , m_behaviour(std::move(behaviour))
        , m_bad(bad)
        , m_cacheHit(cacheHit)
        , m_generation(generation)
        , m_index(m_request.firstIndex)
    {
    }
    ~AnswerStream() override { release(); }
    AnswerStream(const AnswerStream&) = delete;
    AnswerStream& operator=(const AnswerStream&) = delete;

    std::string next() override
    {
        if (m_done)
            return {};
        delayNextPiece();
        bool cut = m_sentPieces >= static_cast<std::uint64_t>(m_behaviour.cutAfter) && m_behaviour.cutAfter > 0;
        {
            absl::MutexLock lock(&m_upstream.m_mutex);
            const bool restarted = m_upstream.m_generation != m_generation;
            cut = restarted || m_upstream.m_behaviour.down || (cut && m_upstream.m_behaviour.cutStreams > 0);
            if (cut && !restarted && m_upstream.m_behaviour.cutStreams > 0)
                --m_upstream.m_behaviour.cutStreams;
        }
        if (cut) {
            m_done = true;
            release();
            return {};
        }
        if (m_index >= static_cast<std::uint64_t>(m_request.maxTokens))
            return doneEvent();
        ++m_sentPieces;
        return nextPiece();
    }

    void cancel() override { release(); }

private:
    void delayNextPiece()
    {
        const std::size_t promptTokens = m_request.prompt.size() / CHARACTERS_PER_TOKEN;
        const auto tokens = static_cast<double>(promptTokens);
        const double prefill = m_cacheHit ? 0 : tokens * m_behaviour.prefillMsPerToken;
        const double ms = m_sentPieces == 0 ? m_behaviour.firstTokenMs + prefill : m_behaviour.tokenMs;
        absl::SleepFor(absl::Microseconds(static_cast<std::int64_t>(ms * 1000)));
    }

    std::string nextPiece()
    {
        const std::string text = (m_bad ? "[bad]" : "w") + std::to_string(m_index) + " ";
        return sseEvent({ { "request_id", m_behaviour.crossed ? "other" : m_request.requestId },
            { "attempt", m_request.attempt }, { "index", m_index++ }, { "text", text } });
    }

    std::string doneEvent()
    {
        m_done = true;
        release();
        const std::string version = m_behaviour.wrongVersion.empty() ? m_request.version : m_behaviour.wrongVersion;
        return sseEvent({ { "request_id", m_request.requestId }, { "attempt", m_request.attempt }, { "done", true },
            { "pieces", m_index }, { "version", version },
            { "input_tokens", m_request.prompt.size() / CHARACTERS_PER_TOKEN }, { "output_tokens", m_index } });
    }

    void release()
    {
        if (!std::exchange(m_released, true))
            m_upstream.finish();
    }

    UpstreamStandin& m_upstream;
    const ChatRequest m_request;
    const UpstreamBehaviour m_behaviour;
    const bool m_bad;
    const bool m_cacheHit;
    const std::uint64_t m_generation;
    std::uint64_t m_index;
    std::uint64_t m_sentPieces = 0;
    bool m_done = false;
    bool m_released = false;
};

UpstreamStandin::UpstreamStandin(std::string id, config::Upstream upstream, const IClock& clock)
    : m_id(std::move(id))
    , m_upstream(std::move(upstream))
    , m_clock(clock)
    , m_random(stableHash(m_id))
{
}

UpstreamBehaviour UpstreamStandin::behaviour()
{
    absl::MutexLock lock(&m_mutex);
    return m_behaviour;
}

http::Response UpstreamStandin::handle(const http::Request& request)
{
    if (request.path == "/fault" && request.method == "POST") {
        const auto document = parseJson(request.body);
        absl::MutexLock lock(&m_mutex);
        nlohmann::json merged = m_behaviour;
        if (document && document->is_object())
            merged.update(*document);
        const auto behaviour = fromJson<UpstreamBehaviour>(merged);
        if (!behaviour)
            return jsonResponse({ { "error", "bad fault" } }, STATUS_BAD_REQUEST);
        if (behaviour->cold && !m_behaviour.cold) {
            ++m_stats.restarts;
            m_answeredWhileCold = 0;
        }
        m_behaviour = *behaviour;
        return jsonResponse(merged);
    }
    if (request.path == "/stats") {
        absl::MutexLock lock(&m_mutex);
        return jsonResponse(nlohmann::json(m_stats));
    }
    if (behaviour().down)
        return jsonResponse({ { "error", "down" } }, STATUS_UNAVAILABLE);
    if (request.path == "/v1/load")
        return load();
    if (request.path == "/v1/cancel")
        return jsonResponse({ { "cancelled", true } });
    if (request.path == "/v1/orders")
        return order(request);
    if (m_upstream.kind == config::UpstreamKind::Service)
        return callService(request);
    if (request.path == "/v1/completions" && request.method == "POST")
        return complete(request);
    return jsonResponse({ { "error", "no such path" } }, STATUS_NOT_FOUND);
}

http::Response UpstreamStandin::complete(const http::Request& request)
{
    const auto document = parseJson(request.body);
    const auto chat = document ? fromJson<ChatRequest>(*document) : std::nullopt;
    if (!chat)
        return jsonResponse({ { "error", "bad request" } }, STATUS_BAD_REQUEST);
    bool cacheHit = false;
    if (!begin(chat->version, chat->prompt, cacheHit))
        return jsonResponse({ { "error", "cold" } }, STATUS_UNAVAILABLE);
    if (const int status = behaviour().failStatus; status != 0) {
        finish();
        return jsonResponse({ { "error", "failed while running" } }, status);
    }
    std::uint64_t generation = 0;
    {
        absl::MutexLock lock(&m_mutex);
        generation = m_generation;
    }
    auto stream
        = std::make_shared<AnswerStream>(*this, *chat, behaviour(), isBadAnswer(chat->version), cacheHit, generation);
    return {
        .status = STATUS_OK, .headers = { { "Content-Type", "text/event-stream" } }, .body = {}, .stream = stream
    };
}

bool UpstreamStandin::begin(const std::string& version, const std::string& prompt, bool& cacheHit)
{
    absl::MutexLock lock(&m_mutex);
    const bool overloaded = m_behaviour.cold && m_stats.inFlight >= m_upstream.coldLimit;
    if (overloaded) {
        ++m_stats.overloads;
        m_stats.mostWhileCold = std::max(m_stats.mostWhileCold, m_stats.inFlight + 1);
        ++m_stats.refused;
        if (!m_behaviour.refusesWhenCold) {
            ++m_stats.restarts;
            ++m_generation;
            m_answeredWhileCold = 0;
        }
        return false;
    }
    ++m_stats.requests;
    ++m_stats.byVersion[version];
    ++m_stats.inFlight;
    m_stats.mostInFlight = std::max(m_stats.mostInFlight, m_stats.inFlight);
    if (m_behaviour.cold)
        m_stats.mostWhileCold = std::max(m_stats.mostWhileCold, m_stats.inFlight);
    sampleLoad();
    const std::uint64_t prefix = stableHash(prompt.substr(0, PREFIX_CHARACTERS));
    cacheHit = std::find(m_prefixCache.begin(), m_prefixCache.end(), prefix) != m_prefixCache.end();
    if (cacheHit) {
        ++m_stats.cacheHits;
    } else {
        m_prefixCache.push_back(prefix);
        if (m_prefixCache.size() > MAX_CACHED_PREFIXES)
            m_prefixCache.pop_front();
    }
    return true;
}

void UpstreamStandin::finish()
{
    absl::MutexLock lock(&m_mutex);
    --m_stats.inFlight;
    sampleLoad();
    if (m_behaviour.cold && ++m_answeredWhileCold >= m_behaviour.warmAfter)
        m_behaviour.cold = false;
}

void UpstreamStandin::sampleLoad()
{
    constexpr std::size_t MAX_LOAD_SAMPLES = 4096;
    m_loadSamples.push_back({ .at = m_clock.now(), .running = m_stats.inFlight });
    if (m_loadSamples.size() > MAX_LOAD_SAMPLES)
        m_loadSamples.pop_front();
}

bool UpstreamStandin::isBadAnswer(const std::string& version)
{
    absl::MutexLock lock(&m_mutex);
    const auto it = m_behaviour.badShare.find(version);
    return it != m_behaviour.badShare.end() && std::uniform_real_distribution<double>(0, 1)(m_random) < it->second;
}

// Returns the load as of `reportLagMs` ago.
http::Response UpstreamStandin::load()
{
    absl::MutexLock lock(&m_mutex);
    const TimePoint asOf = m_clock.now() - Duration(m_behaviour.reportLagMs);
    int running = 0;
    for (const LoadSample& it : m_loadSamples) {
        if (it.at <= asOf)
            running = it.running;
    }
    return jsonResponse({ { "running", running }, { "restarts", m_stats.restarts } });
}

http::Response UpstreamStandin::order(const http::Request& request)
{
    const auto document = parseJson(request.body);
    if (!document || !document->is_object() || !document->contains("fence")
        || !(*document)["fence"].is_number_unsigned())
        return jsonResponse({ { "error", "bad order" } }, STATUS_BAD_REQUEST);
    const auto fence = (*document)["fence"].get<std::uint64_t>();
    absl::MutexLock lock(&m_mutex);
    if (fence < m_highestFence && !m_behaviour.ignoresFence) {
        ++m_stats.ordersRefused;
        return jsonResponse({ { "error", "old fence" } }, STATUS_CONFLICT);
    }
    m_highestFence = std::max(m_highestFence, fence);
    ++m_stats.ordersAccepted;
    return jsonResponse({ { "accepted", true } });
}

// Counts the calls by idempotency key, so that tests can detect a call that ran twice.
http::Response UpstreamStandin::callService(const http::Request& request)
{
    bool cacheHit = false;
    if (!begin({}, {}, cacheHit))
        return jsonResponse({ { "error", "cold" } }, STATUS_UNAVAILABLE);
    const UpstreamBehaviour current = behaviour();
    absl::SleepFor(absl::Milliseconds(current.firstTokenMs));
    int callCount = 0;
    bool loseAnswer = false;
    {
        absl::MutexLock lock(&m_mutex);
        callCount = ++m_callsByKey[request.header("idempotency-key")];
        loseAnswer = m_behaviour.loseAnswers > 0;
        m_behaviour.loseAnswers -= loseAnswer ? 1 : 0;
    }
    finish();
    if (loseAnswer)
        absl::SleepFor(absl::Seconds(30));
    return jsonResponse({ { "service", m_upstream.service.value() }, { "ran", callCount }, { "upstream", m_id } });
}

}
