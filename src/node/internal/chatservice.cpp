#include "chatservice.h"

#include "chatcall.h"
#include "fireflyhaven/common/json.h"
#include "fireflyhaven/config/documentreader.h"
#include "fireflyhaven/http/types/status.h"

namespace fireflyhaven::node {

namespace {
// Each new measurement enters the moving averages with a weight of 1 / TIMING_AVERAGE_SAMPLES.
constexpr int TIMING_AVERAGE_SAMPLES = 8;
constexpr std::size_t MAX_NAME_BYTES = 128;
constexpr std::size_t MAX_CONTENT_BYTES = 1024 * 1024;
constexpr std::int64_t MAX_OUTPUT_TOKENS = 32'768;
constexpr std::int64_t DEFAULT_OUTPUT_TOKENS = 256;

// Parses the body of a chat request. Returns the first error, or an empty text if there is none.
std::string parseChatRequest(const http::Request& http, ChatRequest& chat)
{
    const std::optional<nlohmann::json> document = parseJson(http.body);
    if (!document)
        return "the body is not JSON";
    std::vector<config::ValidationError> errors;
    config::DocumentReader reader(*document, "$", errors);
    chat.model = reader.text("model", MAX_NAME_BYTES);
    chat.stream = reader.optionalFlag("stream", false);
    chat.maxTokens
        = static_cast<std::uint32_t>(reader.optionalInteger("max_tokens", 1, MAX_OUTPUT_TOKENS, DEFAULT_OUTPUT_TOKENS));
    std::size_t n = 0;
    for (const nlohmann::json& node : reader.array("messages")) {
        config::DocumentReader message(node, "$.messages[" + std::to_string(n++) + "]", errors);
        const std::string role = message.text("role", MAX_NAME_BYTES);
        chat.prompt += role + ": " + message.text("content", MAX_CONTENT_BYTES) + "\n";
    }
    if (n == 0)
        reader.addError("messages", "at least one message");
    const std::string& task = http.header("x-task");
    chat.task = TaskName(task.empty() ? "chat" : task);
    return errors.empty() ? std::string() : errors.front().path + ": expected " + errors.front().expected;
}

nlohmann::json chunkBody(const ChatCall& call, const std::string& text, bool last)
{
    nlohmann::json choice { { "index", 0 }, { "delta", nlohmann::json::object() }, { "finish_reason", nullptr } };
    if (last)
        choice["finish_reason"] = "stop";
    else
        choice["delta"]["content"] = text;
    return { { "id", call.context().request }, { "object", "chat.completion.chunk" },
        { "model", call.version().text() }, { "choices", nlohmann::json::array({ choice }) } };
}

std::string formatEvent(const nlohmann::json& body)
{
    return "data: " + body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n\n";
}

// Streams the answer as server-sent events. The last event is "[DONE]" after a complete answer, and an event with
// "error" after an incomplete one.
class ChatStream final : public http::IBodyStream {
public:
    explicit ChatStream(std::unique_ptr<ChatCall> call)
        : m_call(std::move(call))
    {
    }

    std::string next() override
    {
        if (m_ended)
            return {};
        const std::string text = m_call->next();
        if (!text.empty())
            return formatEvent(chunkBody(*m_call, text, false));
        m_ended = true;
        if (const std::optional<ApiError> error = m_call->finish())
            return formatEvent({ { "error", errorBody(*error, m_call->context().request.value()) } });
        return formatEvent(chunkBody(*m_call, {}, true)) + "data: [DONE]\n\n";
    }

    void cancel() override
    {
        if (std::exchange(m_ended, true))
            return;
        m_call->cancel();
        // The attempts that have run are billed although the caller has disconnected.
        while (!m_call->next().empty()) { }
        m_call->finish();
    }

private:
    std::unique_ptr<ChatCall> m_call;
    bool m_ended = false;
};

nlohmann::json completionBody(const ChatCall& call, const std::string& text)
{
    const nlohmann::json message { { "role", "assistant" }, { "content", text } };
    const nlohmann::json choice { { "index", 0 }, { "message", message }, { "finish_reason", "stop" } };
    return { { "id", call.context().request }, { "object", "chat.completion" }, { "model", call.version().text() },
        { "choices", nlohmann::json::array({ choice }) },
        { "usage", { { "prompt_tokens", call.inputTokens() }, { "completion_tokens", call.outputTokens() } } } };
}

}

ChatService::ChatService(AdmissionController& admissionController, const routing::SessionSigner& signer)
    : m_admissionController(admissionController)
    , m_signer(signer)
{
}

ChatService::Timing ChatService::timingOf(const ModelVersion& version) const
{
    absl::MutexLock lock(&m_mutex);
    const auto it = m_timings.find(version);
    return it == m_timings.end() ? Timing {} : it->second;
}

void ChatService::recordTiming(const ModelVersion& version, Duration firstToken, Duration total)
{
    absl::MutexLock lock(&m_mutex);
    Timing& timing = m_timings[version];
    timing.firstToken = (timing.firstToken * (TIMING_AVERAGE_SAMPLES - 1) + firstToken) / TIMING_AVERAGE_SAMPLES;
    timing.total = (timing.total * (TIMING_AVERAGE_SAMPLES - 1) + total) / TIMING_AVERAGE_SAMPLES;
}

http::Response ChatService::handle(const http::Request& request)
{
    const RequestId id = requestIdOf(request);
    ChatRequest chat;
    const std::string parseError = parseChatRequest(request, chat);
    if (!parseError.empty())
        return errorResponse(
            { .status = STATUS_BAD_REQUEST, .code = "bad_request", .message = parseError }, id.value());
    std::variant<CallContext, ApiError> admitted = m_admissionController.admitRequest(request, id);
    if (const auto* error = std::get_if<ApiError>(&admitted))
        return errorResponse(*error, id.value());
    const bool stream = chat.stream;
    auto call = std::make_unique<ChatCall>(*this, std::get<CallContext>(std::move(admitted)), std::move(chat));
    if (const std::optional<ApiError> error = call->selectVersions(request.header("x-session")))
        return errorResponse(*error, id.value());
    if (const std::optional<ApiError> error = call->begin())
        return errorResponse(*error, id.value());
    http::Headers headers { { "X-Request-Id", id.value() }, { "X-Model-Version", call->version().text() },
        { "X-Session", call->sessionHandle() } };
    if (stream) {
        headers["Content-Type"] = "text/event-stream";
        return {
            .status = STATUS_OK, .headers = headers, .body = {}, .stream = std::make_shared<ChatStream>(std::move(call))
        };
    }
    std::string text;
    for (std::string piece = call->next(); !piece.empty(); piece = call->next())
        text += piece;
    if (const std::optional<ApiError> error = call->finish())
        return errorResponse(*error, id.value());
    http::Response response = jsonResponse(STATUS_OK, completionBody(*call, text));
    response.headers.insert(headers.begin(), headers.end());
    return response;
}

}
