#include "fireflyhaven/http/types/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace fireflyhaven::http {

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Endpoint it { .ip = std::string(text.substr(0, colon)) };
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), it.port);
    in_addr address {};
    const bool valid = ec == std::errc() && end == digits.data() + digits.size() && it.port != 0
        && inet_pton(AF_INET, it.ip.c_str(), &address) == 1;
    return valid ? std::optional(it) : std::nullopt;
}

std::uint32_t Endpoint::ipNumber() const
{
    in_addr address {};
    inet_pton(AF_INET, ip.c_str(), &address);
    return ntohl(address.s_addr);
}

void Endpoint::setIpNumber(std::uint32_t number)
{
    const in_addr address { .s_addr = htonl(number) };
    std::array<char, INET_ADDRSTRLEN> text {};
    ip = inet_ntop(AF_INET, &address, text.data(), text.size());
}

}
