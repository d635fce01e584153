#include "transfer.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace fireflyhaven::http {

namespace {

constexpr std::size_t MAX_RESPONSE_BODY_BYTES = 64 * 1024 * 1024;
constexpr std::size_t READ_BUFFER_BYTES = 16 * 1024;

}

Transfer::Transfer(CURL* handle, const Call& call, const BodyReceiver* receiver, const CancellationCheck* isCancelled)
    : m_handle(handle)
    , m_bodyBytes(call.method == "GET" ? 0 : call.body.size())
    , m_receiver(receiver)
    , m_isCancelled(isCancelled)
    , m_reader(
          call.method == "HEAD", [this](const ResponseHead& head) { onHead(head); },
          [this](std::string_view piece) { onBodyData(piece); })
{
}

bool Transfer::receive(std::string_view bytes)
{
    if (!m_reader.feed(bytes) || m_stopped || m_tooLarge)
        return false;
    // The rest of the request is of no use after the whole response.
    return !m_reader.isComplete() || isRequestWritten();
}

bool Transfer::isCancelled()
{
    m_stopped = m_stopped || (m_isCancelled && *m_isCancelled && (*m_isCancelled)());
    return m_stopped;
}

void Transfer::onSocketClosing(int socket)
{
    m_unread.clear();
    std::array<char, READ_BUFFER_BYTES> buf {};
    ssize_t n = 1;
    while (n > 0 && m_unread.size() < MAX_RESPONSE_BODY_BYTES) {
        n = ::recv(socket, buf.data(), buf.size(), MSG_DONTWAIT);
        m_unread.append(buf.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    }
}

void Transfer::onHead(const ResponseHead& head)
{
    m_response.status = head.status;
    for (const HeaderField& it : head.headers.fields()) {
        std::string name = it.name;
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        m_response.headers[name] = it.value;
    }
}

void Transfer::onBodyData(std::string_view piece)
{
    if (m_receiver) {
        m_stopped = m_stopped || !(*m_receiver)(m_response.status, piece);
        return;
    }
    m_tooLarge = m_tooLarge || m_response.body.size() + piece.size() > MAX_RESPONSE_BODY_BYTES;
    if (!m_tooLarge)
        m_response.body += piece;
}

bool Transfer::isRequestWritten() const
{
    curl_off_t n = 0;
    curl_easy_getinfo(m_handle, CURLINFO_SIZE_UPLOAD_T, &n);
    return static_cast<std::size_t>(n) >= m_bodyBytes;
}

bool Transfer::anythingSent() const
{
    long n = 0;
    curl_easy_getinfo(m_handle, CURLINFO_REQUEST_SIZE, &n);
    return n > 0;
}

std::string Transfer::failureReason(CURLcode rc) const
{
    if (!m_reader.failureReason().empty())
        return m_reader.failureReason();
    return rc == CURLE_OK ? "response truncated" : curl_easy_strerror(rc);
}

CallOutcome Transfer::finish(CURLcode rc)
{
    if (rc == CURLE_OK)
        m_reader.onConnectionEnd();
    // The connection failed during the request, and an early response may have arrived before. Whether the peer had
    // ended it regularly is not known any more, so that it has to tell its end itself.
    if (rc == CURLE_SEND_ERROR)
        m_reader.feed(m_unread);
    CallOutcome outcome;
    outcome.response = std::move(m_response);
    if (m_reader.isComplete() && !m_stopped && !m_tooLarge) {
        outcome.progress = CallProgress::Answered;
        return outcome;
    }
    const bool responseBegan = outcome.response.status > 0;
    outcome.progress = anythingSent() || responseBegan ? CallProgress::MaybeReceived : CallProgress::NotSent;
    outcome.error = failureReason(rc);
    outcome.timedOut = rc == CURLE_OPERATION_TIMEDOUT;
    outcome.interrupted = responseBegan || m_stopped;
    return outcome;
}

}
