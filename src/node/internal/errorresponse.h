#pragma once

#include "fireflyhaven/common/result.h"
#include "fireflyhaven/http/types/message.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace fireflyhaven::node {

// Error response to a caller or operator.
struct ApiError {
    int status = 500;
    std::string code;
    std::string message;
    RunState run = RunState::NotRun;
    // Suggested delay before a retry.
    std::optional<Duration> retryAfter;
};

inline nlohmann::json errorBody(const ApiError& error, const std::string& requestId)
{
    nlohmann::json body { { "code", error.code }, { "message", error.message }, { "request_id", requestId },
        { "run", runStateName(error.run) } };
    if (error.retryAfter)
        body["retry_after_ms"] = error.retryAfter->count();
    return body;
}

inline http::Response jsonResponse(int status, const nlohmann::json& body)
{
    return { .status = status,
        .headers = { { "Content-Type", "application/json" } },
        .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
        .stream = {} };
}

inline http::Response errorResponse(const ApiError& error, const std::string& requestId)
{
    http::Response response = jsonResponse(error.status, errorBody(error, requestId));
    if (error.retryAfter)
        response.headers["Retry-After"] = std::to_string((error.retryAfter->count() + 999) / 1000);
    return response;
}

}
