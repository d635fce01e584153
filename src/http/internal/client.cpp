#include "fireflyhaven/http/client.h"

#include "fireflyhaven/http/types/status.h"

#include <curl/curl.h>

#include <algorithm>

namespace fireflyhaven::http {

namespace {

constexpr std::size_t MAX_RESPONSE_BODY_BYTES = 64 * 1024 * 1024;

// One curl handle per thread, so that later calls of the thread reuse its connections.
class ThreadHandle {
public:
    ThreadHandle()
        : m_handle(curl_easy_init())
    {
    }
    ~ThreadHandle() { curl_easy_cleanup(m_handle); }
    ThreadHandle(const ThreadHandle&) = delete;
    ThreadHandle& operator=(const ThreadHandle&) = delete;
    CURL* get()
    {
        curl_easy_reset(m_handle);
        return m_handle;
    }

private:
    CURL* m_handle;
};

struct Transfer {
    CURL* handle = nullptr;
    const BodyReceiver* receiver = nullptr;
    const CancellationCheck* isCancelled = nullptr;
    Response response;
    bool aborted = false;
};

std::size_t onBodyData(char* data, std::size_t size, std::size_t n, void* context)
{
    auto& transfer = *static_cast<Transfer*>(context);
    const std::string_view piece(data, size * n);
    if (transfer.receiver) {
        long status = 0;
        curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
        if ((*transfer.receiver)(static_cast<int>(status), piece))
            return piece.size();
        transfer.aborted = true;
        return 0;
    }
    if (transfer.response.body.size() + piece.size() > MAX_RESPONSE_BODY_BYTES)
        return 0;
    transfer.response.body += piece;
    return piece.size();
}

std::size_t onHeader(char* data, std::size_t size, std::size_t n, void* context)
{
    auto& transfer = *static_cast<Transfer*>(context);
    const std::string line(data, size * n);
    const auto colon = line.find(':');
    if (colon == std::string::npos)
        return line.size();
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    const auto first = line.find_first_not_of(" \t", colon + 1);
    const auto lastChar = line.find_last_not_of("\r\n \t");
    transfer.response.headers[name]
        = first == std::string::npos || first > lastChar ? std::string() : line.substr(first, lastChar - first + 1);
    return line.size();
}

int onProgress(void* context, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
    auto& transfer = *static_cast<Transfer*>(context);
    if (!transfer.isCancelled || !*transfer.isCancelled || !(*transfer.isCancelled)())
        return 0;
    transfer.aborted = true;
    return 1;
}

void setMethodAndBody(CURL* handle, const Call& call)
{
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (call.method == "GET")
        return;
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
}

CallProgress progressOf(CURL* handle, CURLcode rc, long status)
{
    if (status > 0)
        return rc == CURLE_OK ? CallProgress::Answered : CallProgress::MaybeReceived;
    long requestBytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &requestBytes);
    const bool connectFailed = rc == CURLE_COULDNT_CONNECT || rc == CURLE_COULDNT_RESOLVE_HOST
        || rc == CURLE_URL_MALFORMAT || rc == CURLE_UNSUPPORTED_PROTOCOL;
    return connectFailed || requestBytes == 0 ? CallProgress::NotSent : CallProgress::MaybeReceived;
}

CallOutcome execute(const Call& call, const BodyReceiver* receiver, const CancellationCheck* isCancelled)
{
    thread_local ThreadHandle threadHandle;
    CURL* handle = threadHandle.get();
    Transfer transfer { .handle = handle, .receiver = receiver, .isCancelled = isCancelled };
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    for (const auto& [name, value] : call.headers)
        headers = curl_slist_append(headers, std::string(name).append(": ").append(value).c_str());
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(call.connectTimeout.count()));
    curl_easy_setopt(
        handle, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<Duration>(call.timeout, Duration(1)).count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, onBodyData);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, onProgress);
    curl_easy_setopt(handle, CURLOPT_XFERINFODATA, &transfer);
    setMethodAndBody(handle, call);
    const CURLcode rc = curl_easy_perform(handle);
    curl_slist_free_all(headers);
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    CallOutcome outcome { .progress = progressOf(handle, rc, status), .response = std::move(transfer.response) };
    outcome.response.status = static_cast<int>(status);
    outcome.timedOut = rc == CURLE_OPERATION_TIMEDOUT;
    outcome.interrupted = rc != CURLE_OK && (status > 0 || transfer.aborted);
    if (rc != CURLE_OK)
        outcome.error = curl_easy_strerror(rc);
    return outcome;
}

}

CallOutcome perform(const Call& call) { return execute(call, nullptr, nullptr); }

CallOutcome performStreaming(const Call& call, const BodyReceiver& receiver, const CancellationCheck& isCancelled)
{
    return execute(call, &receiver, &isCancelled);
}

Result<std::string> fetch(const Call& call)
{
    CallOutcome outcome = perform(call);
    if (outcome.progress != CallProgress::Answered) {
        const ErrorCode code = outcome.timedOut ? ErrorCode::Timeout : ErrorCode::Unavailable;
        return failure(code, call.method + " " + call.url + ": " + outcome.error);
    }

    if (outcome.response.status < STATUS_OK || outcome.response.status > STATUS_MAX_SUCCESS) {
        return failure(ErrorCode::Unavailable,
            call.method + " " + call.url + ": status " + std::to_string(outcome.response.status));
    }
    return std::move(outcome.response.body);
}

}
