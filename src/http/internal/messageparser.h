#pragma once

#include "fireflyhaven/http/types/head.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <functional>

namespace fireflyhaven::http {

using IoErrorCode = boost::system::error_code;

// Parses one request and collects its head and body.
class RequestParser final : public boost::beast::http::basic_parser<true> {
public:
    RequestParser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes);

    RequestHead& head() { return m_head; }
    std::string& body() { return m_body; }
    bool isHttp10() const { return m_version == 10; }
    // Memory that the parts of the request hold that have arrived.
    std::size_t heldBytes() const { return m_headBytes + m_body.capacity(); }
    // Whether the request has a Transfer-Encoding other than exactly "chunked". If "chunked" is not the last coding,
    // the end of the body is undefined.
    bool hasAmbiguousLength() const;
    bool expectsContinue() const;

private:
    using verb = boost::beast::http::verb;
    using field = boost::beast::http::field;
    using string_view = boost::beast::string_view;

    void on_request_impl(verb, string_view method, string_view target, int version, IoErrorCode& ec) override;
    void on_response_impl(int, string_view, int, IoErrorCode&) override { }
    void on_field_impl(field, string_view name, string_view value, IoErrorCode& ec) override;
    void on_header_impl(IoErrorCode& ec) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, IoErrorCode& ec) override;
    std::size_t on_body_impl(string_view body, IoErrorCode& ec) override;
    void on_chunk_header_impl(std::uint64_t, string_view, IoErrorCode& ec) override { ec = {}; }
    std::size_t on_chunk_body_impl(std::uint64_t, string_view body, IoErrorCode& ec) override;
    void on_finish_impl(IoErrorCode& ec) override { ec = {}; }

    RequestHead m_head;
    std::size_t m_headBytes = 0;
    std::string m_body;
    int m_version = 11;
    bool m_headerDone = false;
};

// Parses one response and passes its body to the callback as it arrives. Fails where HTTP does not define the status,
// or where the body is in a coding other than "chunked".
class ResponseParser final : public boost::beast::http::basic_parser<false> {
public:
    using OnHead = std::function<void(const ResponseHead&)>;
    using OnBodyData = std::function<void(std::string_view)>;

    ResponseParser(bool isHeadResponse, OnHead onHead, OnBodyData onBodyData);

    // Whether the bytes that the parser has left until more arrive can become a response. The parser itself reads
    // nothing of a status line before it has arrived as a whole.
    bool mayContinueWith(std::string_view bytes) const;
    const ResponseHead& head() const { return m_head; }
    // Whether another response to the same request follows.
    bool isInterim() const;

private:
    using verb = boost::beast::http::verb;
    using field = boost::beast::http::field;
    using string_view = boost::beast::string_view;

    // Whether the body has a transfer coding that the parser does not undo.
    bool hasUnknownCoding() const;
    void on_request_impl(verb, string_view, string_view, int, IoErrorCode&) override { }
    void on_response_impl(int status, string_view reason, int version, IoErrorCode& ec) override;
    void on_field_impl(field, string_view name, string_view value, IoErrorCode& ec) override;
    void on_header_impl(IoErrorCode& ec) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>&, IoErrorCode& ec) override { ec = {}; }
    std::size_t on_body_impl(string_view body, IoErrorCode& ec) override;
    void on_chunk_header_impl(std::uint64_t, string_view, IoErrorCode& ec) override { ec = {}; }
    std::size_t on_chunk_body_impl(std::uint64_t, string_view body, IoErrorCode& ec) override;
    void on_finish_impl(IoErrorCode& ec) override { ec = {}; }

    ResponseHead m_head;
    OnHead m_onHead;
    OnBodyData m_onBodyData;
    bool m_statusLineDone = false;
    bool m_headerDone = false;
};

}
