#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace fireflyhaven::http {

// IPv4 address and port.
struct Endpoint {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
    // Expects "a.b.c.d:port" with a port other than 0; no value for any other text.
    static std::optional<Endpoint> parse(std::string_view text);

    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
    template <typename H> friend H AbslHashValue(H h, const Endpoint& it)
    {
        return H::combine(std::move(h), it.ip, it.port);
    }
    // The IPv4 address as an integer in host byte order.
    std::uint32_t ipNumber() const;
    void setIpNumber(std::uint32_t number);
    template <typename Archive> void serialize(Archive& archive)
    {
        std::uint32_t number = ipNumber();
        archive(number, port);
        setIpNumber(number);
    }
};

}
