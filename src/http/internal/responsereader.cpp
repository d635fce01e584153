#include "responsereader.h"

#include <boost/asio/buffer.hpp>

namespace fireflyhaven::http {

namespace {

// A head, or the framing of a chunk.
constexpr std::size_t MAX_PENDING_BYTES = 128 * 1024;

}

ResponseReader::ResponseReader(
    bool isHeadResponse, ResponseParser::OnHead onHead, ResponseParser::OnBodyData onBodyData)
    : m_isHeadResponse(isHeadResponse)
    , m_onHead(std::move(onHead))
    , m_onBodyData(std::move(onBodyData))
{
    resetParser();
}

void ResponseReader::resetParser()
{
    m_parser.emplace(
        m_isHeadResponse,
        [this](const ResponseHead& head) {
            if (!m_parser->isInterim())
                m_onHead(head);
        },
        m_onBodyData);
}

bool ResponseReader::feed(std::string_view bytes)
{
    m_pending += bytes;
    while (!m_pending.empty() && !m_complete && m_failureReason.empty()) {
        IoErrorCode ec;
        const std::size_t n = m_parser->put(boost::asio::buffer(m_pending), ec);
        m_pending.erase(0, n);
        if (ec == boost::beast::http::error::need_more) {
            if (!m_parser->mayContinueWith(m_pending))
                m_failureReason = "invalid HTTP response: no status line";
            break;
        }
        if (ec) {
            m_failureReason = "invalid HTTP response: " + ec.message();
        } else if (m_parser->is_done()) {
            m_complete = !m_parser->isInterim();
            resetParser();
        }
    }
    if (!m_complete && m_pending.size() > MAX_PENDING_BYTES)
        m_failureReason = "over 128 KiB received that are no part of the response's body";
    return m_failureReason.empty();
}

void ResponseReader::onConnectionEnd()
{
    if (m_complete || !m_parser->is_header_done() || !m_parser->need_eof())
        return;
    IoErrorCode ec;
    m_parser->put_eof(ec);
    m_complete = !ec;
}

}
