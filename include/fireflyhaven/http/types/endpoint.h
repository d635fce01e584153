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
    // No value where the text is not "a.b.c.d:port".
    static std::optional<Endpoint> parse(std::string_view text);

    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
    template <typename H> friend H AbslHashValue(H h, const Endpoint& it)
    {
        return H::combine(std::move(h), it.ip, it.port);
    }
    // As the number that the address stands for, in the host's byte order.
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
