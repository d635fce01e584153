#include "messageparser.h"

#include "fireflyhaven/common/text.h"

#include <algorithm>

namespace fireflyhaven::http {

namespace {

// Memory that is allocated for a body when it is announced; a larger one gets more as it arrives.
constexpr std::uint64_t MAX_INITIAL_BODY_BYTES = 64 * 1024;

constexpr int MIN_STATUS = 100;
constexpr int SWITCHING_PROTOCOLS = 101;
constexpr int MIN_FINAL_STATUS = 200;
constexpr int MAX_STATUS = 599;

bool isDigit(char c) { return c >= '0' && c <= '9'; }

// Whether the status may answer a request that does not ask for another protocol.
bool isExpectedStatus(int status)
{
    return status >= MIN_STATUS && status <= MAX_STATUS && status != SWITCHING_PROTOCOLS;
}

bool mayBeginResponse(std::string_view bytes)
{
    // Each digit stands for any digit.
    constexpr std::string_view FORM = "HTTP/0.0 000";
    constexpr std::size_t STATUS_DIGITS = 3;
    const std::string_view begin = bytes.substr(0, FORM.size());
    for (std::size_t n = 0; n < begin.size(); ++n) {
        const bool matches = isDigit(FORM[n]) ? isDigit(begin[n]) : begin[n] == FORM[n];
        if (!matches)
            return false;
    }
    if (begin.size() < FORM.size())
        return true;
    return isExpectedStatus(parseNumber<int>(begin.substr(FORM.size() - STATUS_DIGITS)).value_or(0));
}

}

RequestParser::RequestParser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes)
{
    header_limit(maxHeaderBytes);
    body_limit(maxBodyBytes);
    eager(true);
}

bool RequestParser::hasAmbiguousLength() const
{
    const std::string* coding = m_head.headers.find("transfer-encoding");
    return coding && !equalsIgnoringCase(*coding, "chunked");
}

bool RequestParser::expectsContinue() const
{
    const std::string* expected = m_head.headers.find("expect");
    return expected && equalsIgnoringCase(*expected, "100-continue");
}

void RequestParser::on_request_impl(verb, string_view method, string_view target, int version, IoErrorCode& ec)
{
    m_head.method.assign(method.data(), method.size());
    m_head.target.assign(target.data(), target.size());
    m_version = version;
    ec = {};
}

void RequestParser::on_field_impl(field, string_view name, string_view value, IoErrorCode& ec)
{
    ec = {};
    // Drops the trailer fields of a chunked body: they arrive after the headers were checked.
    if (m_headerDone)
        return;
    m_headBytes += sizeof(HeaderField) + name.size() + value.size();
    m_head.headers.add(std::string(name), std::string(value));
}

void RequestParser::on_header_impl(IoErrorCode& ec)
{
    m_headerDone = true;
    ec = {};
    if (hasAmbiguousLength())
        ec = boost::beast::http::error::bad_transfer_encoding;
}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t>& length, IoErrorCode& ec)
{
    ec = {};
    if (length)
        m_body.reserve(std::min(*length, MAX_INITIAL_BODY_BYTES));
}

std::size_t RequestParser::on_body_impl(string_view body, IoErrorCode& ec)
{
    ec = {};
    m_body.append(body.data(), body.size());
    return body.size();
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t, string_view body, IoErrorCode& ec)
{
    return on_body_impl(body, ec);
}

ResponseParser::ResponseParser(bool isHeadResponse, OnHead onHead, OnBodyData onBodyData)
    : m_onHead(std::move(onHead))
    , m_onBodyData(std::move(onBodyData))
{
    constexpr std::uint32_t MAX_HEADER_BYTES = 64 * 1024;
    header_limit(MAX_HEADER_BYTES);
    body_limit(boost::none);
    eager(true);
    skip(isHeadResponse);
}

bool ResponseParser::mayContinueWith(std::string_view bytes) const
{
    return m_statusLineDone || mayBeginResponse(bytes);
}

bool ResponseParser::isInterim() const { return m_head.status < MIN_FINAL_STATUS; }

// "identity" leaves the body as it is.
bool ResponseParser::hasUnknownCoding() const
{
    const auto& fields = m_head.headers.fields();
    return std::any_of(fields.begin(), fields.end(), [](const HeaderField& it) {
        return equalsIgnoringCase(it.name, "transfer-encoding") && !equalsIgnoringCase(it.value, "chunked")
            && !equalsIgnoringCase(it.value, "identity");
    });
}

void ResponseParser::on_response_impl(int status, string_view reason, int, IoErrorCode& ec)
{
    m_statusLineDone = true;
    m_head.status = status;
    m_head.reason.assign(reason.data(), reason.size());
    ec = {};
    if (!isExpectedStatus(status))
        ec = boost::beast::http::error::bad_status;
}

void ResponseParser::on_field_impl(field, string_view name, string_view value, IoErrorCode& ec)
{
    ec = {};
    if (!m_headerDone)
        m_head.headers.add(std::string(name), std::string(value));
}

void ResponseParser::on_header_impl(IoErrorCode& ec)
{
    m_headerDone = true;
    ec = {};
    if (hasUnknownCoding())
        ec = boost::beast::http::error::bad_transfer_encoding;
    else
        m_onHead(m_head);
}

std::size_t ResponseParser::on_body_impl(string_view body, IoErrorCode& ec)
{
    ec = {};
    m_onBodyData({ body.data(), body.size() });
    return body.size();
}

std::size_t ResponseParser::on_chunk_body_impl(std::uint64_t, string_view body, IoErrorCode& ec)
{
    return on_body_impl(body, ec);
}

}
