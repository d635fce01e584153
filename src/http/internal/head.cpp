#include "fireflyhaven/http/types/head.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <ostream>

namespace fireflyhaven::http {

namespace beast = boost::beast;

namespace {

constexpr std::array<std::string_view, 9> HOP_BY_HOP_HEADERS { "connection", "keep-alive", "proxy-connection",
    "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade" };

bool isHopByHop(std::string_view name)
{
    return std::any_of(
        HOP_BY_HOP_HEADERS.begin(), HOP_BY_HOP_HEADERS.end(), [&](auto it) { return equalsIgnoringCase(it, name); });
}

int hexValue(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    const char lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string decodeQueryValue(std::string_view text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool escaped = text[n] == '%' && n + 2 < text.size() + 0 && hexValue(text[n + 1]) >= 0
            && n + 2 < text.size() && hexValue(text[n + 2]) >= 0;
        if (escaped) {
            out += static_cast<char>(hexValue(text[n + 1]) * 16 + hexValue(text[n + 2]));
            n += 2;
        } else {
            out += text[n] == '+' ? ' ' : text[n];
        }
    }
    return out;
}

}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return beast::iequals({ a.data(), a.size() }, { b.data(), b.size() });
}

void HeaderList::add(std::string name, std::string value)
{
    m_fields.push_back({ .name = std::move(name), .value = std::move(value) });
}

void HeaderList::set(std::string name, std::string value)
{
    remove(name);
    add(std::move(name), std::move(value));
}

void HeaderList::remove(std::string_view name)
{
    std::erase_if(m_fields, [&](const HeaderField& it) { return equalsIgnoringCase(it.name, name); });
}

const std::string* HeaderList::find(std::string_view name) const
{
    const auto it = std::find_if(m_fields.begin(), m_fields.end(),
        [&](const HeaderField& field) { return equalsIgnoringCase(field.name, name); });
    return it == m_fields.end() ? nullptr : &it->value;
}

void HeaderList::removeHopByHop()
{
    std::vector<std::string> connectionTokens;
    for (const HeaderField& it : m_fields) {
        if (!equalsIgnoringCase(it.name, "connection"))
            continue;
        for (const auto token : beast::http::token_list { it.value })
            connectionTokens.emplace_back(token);
    }
    std::erase_if(m_fields, [&](const HeaderField& field) {
        return isHopByHop(field.name)
            || std::any_of(connectionTokens.begin(), connectionTokens.end(),
                [&](const auto& it) { return equalsIgnoringCase(it, field.name); });
    });
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::optional<std::string> queryParameter(std::string_view target, std::string_view name)
{
    const auto queryMark = target.find('?');
    std::string_view remaining
        = queryMark == std::string_view::npos ? std::string_view() : target.substr(queryMark + 1);
    while (!remaining.empty()) {
        const std::string_view pair = remaining.substr(0, remaining.find('&'));
        remaining.remove_prefix(std::min(remaining.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) != name)
            continue;
        return equals == std::string_view::npos ? std::string() : decodeQueryValue(pair.substr(equals + 1));
    }
    return std::nullopt;
}

std::string encodeQueryValue(std::string_view text)
{
    constexpr std::string_view UNRESERVED_CHARACTERS
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    constexpr std::string_view HEX_DIGITS = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        if (UNRESERVED_CHARACTERS.find(c) != std::string_view::npos) {
            out += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        out += { '%', HEX_DIGITS[byte / 16], HEX_DIGITS[byte % 16] };
    }
    return out;
}

std::string_view reasonPhrase(int status)
{
    const auto text = beast::http::obsolete_reason(beast::http::int_to_status(static_cast<unsigned>(status)));
    return { text.data(), text.size() };
}

std::string serializeHead(const RequestHead& head, std::string_view host, std::size_t bodyBytes)
{
    std::string out = head.method + " " + head.target + " HTTP/1.1\r\n";
    if (!head.headers.find("host"))
        out.append("Host: ").append(host).append("\r\n");
    for (const HeaderField& it : head.headers.fields())
        out.append(it.name).append(": ").append(it.value).append("\r\n");
    const bool bodyExpected = head.method != "GET" && head.method != "HEAD";
    if (bodyBytes > 0 || bodyExpected)
        out.append("Content-Length: ").append(std::to_string(bodyBytes)).append("\r\n");
    return out.append("\r\n");
}

}
