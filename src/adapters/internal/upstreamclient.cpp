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

// Turns one event of an engine's stream into a RunEvent; no value where it can't be read.
std::optional<RunEvent> eventFromJson(const nlohmann::json& node)
{
    try {
        RunEvent event { .kind = RunEventKind::Text,
            .pieceRequest = node.at("request_id").get<std::string>(),
            .pieceAttempt = node.at("attempt").get<std::uint32_t>() };
        if (node.value("done", false)) {
            event.kind = RunEventKind::Done;
            event.status = STATUS_OK;
            event.pieces = node.at("pieces").get<std::uint64_t>();
            event.inputTokens = node.at("input_tokens").get<std::uint64_t>();
            event.outputTokens = node.at("output_tokens").get<std::uint64_t>();
            event.text = node.at("version").get<std::string>();
            return event;
        }
        event.index = node.at("index").get<std::uint64_t>();
        event.text = node.at("text").get<std::string>();
        return event;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

// Cuts a server-sent event stream into its JSON events.
class EventSplitter {
public:
    // Returns false where an event can't be read.
    bool feed(std::string_view piece, const std::function<bool(RunEvent)>& onEvent)
    {
        m_rest += piece;
        std::size_t end = 0;
        while ((end = m_rest.find("\n\n")) != std::string::npos) {
            std::string line = m_rest.substr(0, end);
            m_rest.erase(0, end + 2);
            if (line.rfind("data: ", 0) != 0)
                continue;
            const auto node = parseJson(line.substr(6));
            std::optional<RunEvent> event = node ? eventFromJson(*node) : std::nullopt;
            if (!event)
                return false;
            if (!onEvent(std::move(*event)))
                return false;
        }
        return true;
    }

private:
    std::string m_rest;
};

RunEvent refused(const std::string& code, const std::string& message)
{
    return { .kind = RunEventKind::Refused, .code = code, .message = message };
}

RunEvent failed(const std::string& code, const std::string& message)
{
    return { .kind = RunEventKind::Failed, .code = code, .message = message };
}

AttemptOutcome notAnswered(const http::CallOutcome& outcome)
{
    AttemptOutcome result;
    if (outcome.progress == http::CallProgress::NotSent)
        result.last = refused("upstream_unreachable", outcome.error);
    else
        result.last = failed(outcome.timedOut ? "upstream_timeout" : "upstream_cut", outcome.error);
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
    std::optional<RunEvent> done;
    bool unreadable = false;
    EventSplitter splitter;
    const TimePoint sentAt = clock.now();
    const auto onEvent = [&](RunEvent event) {
        if (!result.firstToken)
            result.firstToken = clock.now() - sentAt;
        if (event.kind == RunEventKind::Done) {
            done = std::move(event);
            return true;
        }
        result.stopped = !receiver(std::move(event));
        return !result.stopped;
    };
    const auto onPiece = [&](int status, std::string_view piece) {
        if (status != STATUS_OK)
            return true;
        const bool good = splitter.feed(piece, onEvent);
        unreadable = !good && !result.stopped;
        return good;
    };
    const http::CallOutcome outcome = http::performStreaming(call, onPiece, cancelled);
    const int status = outcome.response.status;
    if (done) {
        result.last = std::move(*done);
    } else if (outcome.progress == http::CallProgress::Answered && status >= STATUS_SERVER_ERROR
        && status != STATUS_UNAVAILABLE) {
        // An engine that fails may have run the request.
        result.last = failed("upstream_error", "the upstream answered " + std::to_string(status));
    } else if (outcome.progress == http::CallProgress::Answered && status != STATUS_OK) {
        result.coldRefusal = status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY_REQUESTS;
        result.last = refused("upstream_refused", "the upstream answered " + std::to_string(status));
    } else if (unreadable) {
        result.last = failed("upstream_protocol", "the upstream's stream can't be read");
    } else if (outcome.progress == http::CallProgress::Answered) {
        result.last = failed("upstream_cut", "the upstream's stream ended early");
    } else {
        result.last = notAnswered(outcome).last;
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
    // A call that may run once is not cut off because its caller has gone: its result is still to be recorded.
    const http::CancellationCheck never = [] { return false; };
    std::string body;
    const auto collect = [&](int, std::string_view piece) {
        body += piece;
        return true;
    };
    const http::CallOutcome outcome = http::performStreaming(call, collect, upstream.repeatable ? cancelled : never);
    if (outcome.progress != http::CallProgress::Answered)
        return notAnswered(outcome);
    const int status = outcome.response.status;
    AttemptOutcome result;
    if (status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY_REQUESTS) {
        result.coldRefusal = true;
        result.last = refused("upstream_refused", "the service answered " + std::to_string(status));
    } else if (status >= STATUS_SERVER_ERROR) {
        result.last = failed("upstream_error", "the service answered " + std::to_string(status));
    } else {
        result.last = { .kind = RunEventKind::Done, .text = std::move(body), .status = status };
        const auto type = outcome.response.headers.find("content-type");
        result.last.contentType = type == outcome.response.headers.end() ? "application/octet-stream" : type->second;
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

Result<dispatch::LoadReport> readLoad(const config::Upstream& upstream)
{
    constexpr Duration LOAD_TIMEOUT { 800 };
    BOOST_LEAF_AUTO(text,
        http::fetch({ .url = urlOf(upstream, "/v1/load"), .connectTimeout = LOAD_TIMEOUT, .timeout = LOAD_TIMEOUT }));
    const auto node = parseJson(text);
    if (!node || !node->is_object() || !node->contains("running") || !(*node)["running"].is_number_unsigned()
        || !node->contains("restarts") || !(*node)["restarts"].is_number_unsigned())
        return failure(ErrorCode::Protocol, "the load report can't be read");
    return dispatch::LoadReport { .running = (*node)["running"].get<int>(),
        .restarts = (*node)["restarts"].get<std::uint64_t>() };
}

}
