#pragma once

namespace fireflyhaven {

// HTTP status codes that the programs send or evaluate.
constexpr int STATUS_OK = 200;
constexpr int STATUS_MAX_SUCCESS = 299;
constexpr int STATUS_TEMPORARY_REDIRECT = 307;
constexpr int STATUS_BAD_REQUEST = 400;
constexpr int STATUS_UNAUTHORIZED = 401;
constexpr int STATUS_FORBIDDEN = 403;
constexpr int STATUS_NOT_FOUND = 404;
constexpr int STATUS_REQUEST_TIMEOUT = 408;
constexpr int STATUS_CONFLICT = 409;
constexpr int STATUS_GONE = 410;
constexpr int STATUS_CONTENT_TOO_LARGE = 413;
constexpr int STATUS_MISDIRECTED = 421;
constexpr int STATUS_UNPROCESSABLE = 422;
constexpr int STATUS_TOO_MANY_REQUESTS = 429;
constexpr int STATUS_HEADERS_TOO_LARGE = 431;
constexpr int STATUS_SERVER_ERROR = 500;
constexpr int STATUS_BAD_GATEWAY = 502;
constexpr int STATUS_UNAVAILABLE = 503;
constexpr int STATUS_GATEWAY_TIMEOUT = 504;

constexpr bool isSuccess(int status) { return status >= STATUS_OK && status <= STATUS_MAX_SUCCESS; }

}
