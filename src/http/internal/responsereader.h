#pragma once

#include "messageparser.h"

#include <optional>
#include <string>

namespace fireflyhaven::http {

// Reads the responses to one request from the bytes of a connection. Skips interim ones, and passes on the head and the
// body of the final one.
class ResponseReader {
public:
    ResponseReader(bool isHeadResponse, ResponseParser::OnHead onHead, ResponseParser::OnBodyData onBodyData);

    // Returns false where the bytes are no response. Ignores what stands behind the final response.
    bool feed(std::string_view bytes);
    // The connection has ended regularly. Completes a response whose end that is.
    void onConnectionEnd();
    // Whether the final response has arrived as a whole.
    bool isComplete() const { return m_complete; }
    // Why the bytes are no response; empty if they are one so far.
    const std::string& failureReason() const { return m_failureReason; }

private:
    void resetParser();

    const bool m_isHeadResponse;
    const ResponseParser::OnHead m_onHead;
    const ResponseParser::OnBodyData m_onBodyData;
    std::optional<ResponseParser> m_parser;
    // Bytes that the parser takes only together with later ones.
    std::string m_pending;
    bool m_complete = false;
    std::string m_failureReason;
};

}
