#include "fireflyhaven/adapters/upstreamclient.h"

#include "fireflyhaven/common/json.h"
#include "fireflyhaven/http/types/status.h"

namespace fireflyhaven::adapters {

namespace {

using dispatch::RunEvent;
using dispatch::RunEventKind;

std::string urlOf(const config::Upstream& upstream, const std::string& path)
{
    return "http://" + upstream.ip + ":" + std::to_string(upstream.port) + path;
}

// Converts one event of an engine's stream to a RunEvent; returns nothing if it is malformed.
std::optional<RunEvent> eventFromJson(const nlohmann::json& document)
{
    try {
        RunEvent event { .kind = RunEventKind::Text,
            .pieceRequest = document.at("request_id").get<std::string>(),
            .pieceAttempt = document.at("attempt").get<std::uint32_t>() };
        if (document.value("done", false)) {
            event.kind = RunEventKind::Done;
            event.status = STATUS_OK;
            event.pieces = document.at("pieces").get<std::uint64_t>();
            event.inputTokens = document.at("input_tokens").get<std::uint64_t>();
            event.outputTokens = document.at("output_tokens").get<std::uint64_t>();
            event.text = document.at("version").get<std::string>();
            return event;
        }
        event.index = document.at("index").get<std::uint64_t>();
        event.text = document.at("text").get<std::string>();
        return event;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

// Splits a stream of server-sent events into its JSON events.
class EventStreamParser {
public:
    // Returns false if an event is malformed or `onEvent` returns false.
    bool feed(std::string_view piece, const std::function<bool(RunEvent)>& onEvent)
    {
        m_buffer += piece;
        std::size_t end = 0;
        while ((end = m_buffer.find("\n\n")) != std::string::npos) {
            std::string line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 2);
            if (line.rfind("data: ", 0) != 0)
                continue;
            const auto document = parseJson(line.substr(6));
            std::optional<RunEvent> event = document ? eventFromJson(*document) : std::nullopt;
            if (!event)
                return false;
            if (!onEvent(std::move(*event)))
                return false;
        }
        return true;
    }

private:
    std::string m_buffer;
};

RunEvent refusedEvent(const std::string& code, const std::string& message)
{
    return { .kind = RunEventKind::Refused, .code = code, .message = message };
}

RunEvent failedEvent(const std::string& code, const std::string& message)
{
    return { .kind = RunEventKind::Failed, .code = code, .message = message };
}

AttemptOutcome outcomeWithoutResponse(const http::CallOutcome& outcome)
{
    AttemptOutcome result;
    if (outcome.progress == http::CallProgress::NotSent)
        result.finalEvent = refusedEvent("upstream_unreachable", outcome.error);
    else
        result.finalEvent = failedEvent(outcome.timedOut ? "upstream_timeout" : "upstream_cut", outcome.error);
    return result;
}

}

AttemptOutcome runOnEngine(const config::Upstream& upstream, const dispatch::RunRequest& request, const IClock& clock,
    const RunEventReceiver& receiver, const http::CancellationCheck& cancelled)
{
    const nlohmann::json body { { "requestId", request.request }, { "attempt", request.attempt },
        { "version", request.version }, { "prompt", request.prompt }, { "maxTokens", request.maxTokens },
        { "firstIndex", request.firstIndex } };
    const http::Call call { .method = "POST",
        .url = urlOf(upstream, "/v1/completions"),
        .headers = { { "Content-Type", "application/json" } },
        .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
        .timeout = Duration(request.answerWithinMs) };
    AttemptOutcome result;
    std::optional<RunEvent> doneEvent;
    bool malformed = false;
    EventStreamParser parser;
    const TimePoint sentAt = clock.now();
    const auto onEvent = [&](RunEvent event) {
        if (!result.firstToken)
            result.firstToken = clock.now() - sentAt;
        if (event.kind == RunEventKind::Done) {
            doneEvent = std::move(event);
            return true;
        }
        result.stopped = !receiver(std::move(event));
        return !result.stopped;
    };
    const auto onPiece = [&](int status, std::string_view piece) {
        if (status != STATUS_OK)
            return true;
        const bool keepReading = parser.feed(piece, onEvent);
        malformed = !keepReading && !result.stopped;
        return keepReading;
    };
    const http::CallOutcome outcome = http::performStreaming(call, onPiece, cancelled);
    const int status = outcome.response.status;
    if (doneEvent) {
        result.finalEvent = std::move(*doneEvent);
    } else if (outcome.progress == http::CallProgress::Answered && status >= STATUS_SERVER_ERROR
        && status != STATUS_UNAVAILABLE) {
        // An engine that answers with a server error may have run the request.
        result.finalEvent = failedEvent("upstream_error", "the upstream answered " + std::to_string(status));
    } else if (outcome.progress == http::CallProgress::Answered && status != STATUS_OK) {
        result.refusedForCapacity = status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY_REQUESTS;
        result.finalEvent = refusedEvent("upstream_refused", "the upstream answered " + std::to_string(status));
    } else if (malformed) {
        result.finalEvent = failedEvent("upstream_protocol", "the upstream's stream can't be read");
    } else if (outcome.progress == http::CallProgress::Answered) {
        result.finalEvent = failedEvent("upstream_cut", "the upstream's stream ended early");
    } else {
        result.finalEvent = outcomeWithoutResponse(outcome).finalEvent;
        result.stopped = result.stopped || (cancelled && cancelled());
    }
    return result;
}

AttemptOutcome runOnService(
    const config::Upstream& upstream, const dispatch::RunRequest& request, const http::CancellationCheck& cancelled)
{
    http::Call call { .method = request.method,
        .url = urlOf(upstream, "/" + request.path),
        .headers = { { "Content-Type", request.contentType }, { "X-Request-Id", request.request.value() } },
        .body = request.body,
        .timeout = Duration(request.answerWithinMs) };
    if (!request.idempotencyKey.empty())
        call.headers["Idempotency-Key"] = request.idempotencyKey;
    // A call that may run only once is not cancelled when its caller disconnects, because its result must be recorded.
    const http::CancellationCheck neverCancelled = [] { return false; };
    std::string body;
    const auto collect = [&](int, std::string_view piece) {
        body += piece;
        return true;
    };
    const http::CallOutcome outcome
        = http::performStreaming(call, collect, upstream.repeatable ? cancelled : neverCancelled);
    if (outcome.progress != http::CallProgress::Answered)
        return outcomeWithoutResponse(outcome);
    const int status = outcome.response.status;
    AttemptOutcome result;
    if (status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY_REQUESTS) {
        result.refusedForCapacity = true;
        result.finalEvent = refusedEvent("upstream_refused", "the service answered " + std::to_string(status));
    } else if (status >= STATUS_SERVER_ERROR) {
        result.finalEvent = failedEvent("upstream_error", "the service answered " + std::to_string(status));
    } else {
        result.finalEvent = { .kind = RunEventKind::Done, .text = std::move(body), .status = status };
        const auto type = outcome.response.headers.find("content-type");
        result.finalEvent.contentType
            = type == outcome.response.headers.end() ? "application/octet-stream" : type->second;
    }
    return result;
}

bool cancelOnEngine(const config::Upstream& upstream, const dispatch::RunRequest& request)
{
    constexpr Duration CANCEL_TIMEOUT { 1000 };
    const nlohmann::json body { { "requestId", request.request }, { "attempt", request.attempt } };
    const http::CallOutcome outcome = http::perform(
        { .method = "POST", .url = urlOf(upstream, "/v1/cancel"), .body = body.dump(), .timeout = CANCEL_TIMEOUT });
    return outcome.progress == http::CallProgress::Answered && outcome.response.status == STATUS_OK;
}

Result<dispatch::LoadReport> readLoadReport(const config::Upstream& upstream)
{
    constexpr Duration LOAD_TIMEOUT { 800 };
    BOOST_LEAF_AUTO(text,
        http::fetch({ .url = urlOf(upstream, "/v1/load"), .connectTimeout = LOAD_TIMEOUT, .timeout = LOAD_TIMEOUT }));
    const auto document = parseJson(text);
    if (!document || !document->is_object() || !document->contains("running")
        || !(*document)["running"].is_number_unsigned() || !document->contains("restarts")
        || !(*document)["restarts"].is_number_unsigned())
        return failure(ErrorCode::Protocol, "the load report can't be read");
    return dispatch::LoadReport { .running = (*document)["running"].get<int>(),
        .restarts = (*document)["restarts"].get<std::uint64_t>() };
}

}
