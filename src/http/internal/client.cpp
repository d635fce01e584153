#include "fireflyhaven/http/client.h"

#include "fireflyhaven/http/types/status.h"
#include "transfer.h"

#include <curl/curl.h>
#include <unistd.h>

#include <algorithm>

namespace fireflyhaven::http {

namespace {

// One curl handle per thread, so that later calls of the thread reuse its connections.
class ThreadHandle {
public:
    ThreadHandle()
        : m_handle(curl_easy_init())
    {
    }
    // Closes the connections, which calls onSocketClosing().
    ~ThreadHandle() { curl_easy_cleanup(m_handle); }
    ThreadHandle(const ThreadHandle&) = delete;
    ThreadHandle& operator=(const ThreadHandle&) = delete;
    CURL* get()
    {
        curl_easy_reset(m_handle);
        curl_easy_setopt(m_handle, CURLOPT_CLOSESOCKETFUNCTION, onSocketClosing);
        curl_easy_setopt(m_handle, CURLOPT_CLOSESOCKETDATA, this);
        return m_handle;
    }
    CURLcode perform(Transfer& transfer)
    {
        m_transfer = &transfer;
        const CURLcode rc = curl_easy_perform(m_handle);
        m_transfer = nullptr;
        return rc;
    }

private:
    // A connection may be closed during a later call than the one that opened it.
    static int onSocketClosing(void* context, curl_socket_t socket)
    {
        if (Transfer* transfer = static_cast<ThreadHandle*>(context)->m_transfer)
            transfer->onSocketClosing(socket);
        return ::close(socket);
    }

    CURL* m_handle;
    // The call in progress, if any.
    Transfer* m_transfer = nullptr;
};

// Gets the lines of heads, and the body in its framing.
std::size_t onReceived(char* data, std::size_t size, std::size_t n, void* context)
{
    const std::string_view bytes(data, size * n);
    return static_cast<Transfer*>(context)->receive(bytes) ? bytes.size() : 0;
}

int onProgress(void* context, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
    return static_cast<Transfer*>(context)->isCancelled() ? 1 : 0;
}

void setMethodAndBody(CURL* handle, const Call& call)
{
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (call.method == "GET")
        return;
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
}

CallOutcome execute(const Call& call, const BodyReceiver* receiver, const CancellationCheck* isCancelled)
{
    thread_local ThreadHandle threadHandle;
    CURL* handle = threadHandle.get();
    Transfer transfer(handle, call, receiver, isCancelled);
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
    curl_easy_setopt(handle, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, onReceived);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, onReceived);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, onProgress);
    curl_easy_setopt(handle, CURLOPT_XFERINFODATA, &transfer);
    setMethodAndBody(handle, call);
    const CURLcode rc = threadHandle.perform(transfer);
    curl_slist_free_all(headers);
    return transfer.finish(rc);
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
