#pragma once

#include "fireflyhaven/http/client.h"
#include "responsereader.h"

#include <curl/curl.h>

namespace fireflyhaven::http {

// One call of the blocking client. libcurl moves the bytes; the parser of the event client tells what they mean, so
// that both clients take the same bytes for a response.
class Transfer {
public:
    Transfer(CURL* handle, const Call& call, const BodyReceiver* receiver, const CancellationCheck* isCancelled);
    Transfer(const Transfer&) = delete;
    Transfer& operator=(const Transfer&) = delete;

    // Takes the lines of heads, and the body in its framing. Returns false where the transfer is to be stopped.
    bool receive(std::string_view bytes);
    bool isCancelled();
    // Keeps what libcurl has not read from the socket.
    void onSocketClosing(int socket);
    CallOutcome finish(CURLcode rc);

private:
    void onHead(const ResponseHead& head);
    void onBodyData(std::string_view piece);
    bool isRequestWritten() const;
    bool anythingSent() const;
    std::string failureReason(CURLcode rc) const;

    CURL* m_handle;
    const std::size_t m_bodyBytes;
    const BodyReceiver* m_receiver;
    const CancellationCheck* m_isCancelled;
    // The status is 0 until the final response begins.
    Response m_response { .status = 0 };
    // By the receiver or the cancellation check.
    bool m_stopped = false;
    bool m_tooLarge = false;
    // Received on the connection that was closed last, and unread then.
    std::string m_unread;
    ResponseReader m_reader;
};

}
