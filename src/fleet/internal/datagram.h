#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>

#include <cstdint>
#include <optional>
#include <sstream>
#include <string>

// Datagrams between hosts: a 16-bit layout number, followed by the fields of the message. Fields that were added later
// follow as an extension, which older builds neither send nor read.
namespace fireflyhaven::fleet {

template <typename Message, typename... Extension>
std::string encodeDatagram(std::uint16_t layout, const Message& message, const Extension&... extension)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(layout, message, extension...);
    }
    return std::move(out).str();
}

// Returns no value if the datagram has another layout or is malformed. Each build may have added one extension, and one
// is left as it is where the datagram ends before it.
template <typename Message, typename... Extension>
std::optional<Message> decodeDatagram(std::uint16_t layout, const std::string& datagram, Extension&... extension)
{
    try {
        std::istringstream in(datagram);
        cereal::PortableBinaryInputArchive archive(in);
        std::uint16_t received = 0;
        archive(received);
        if (received != layout)
            return std::nullopt;
        Message message;
        archive(message);
        [[maybe_unused]] const auto read = [&](auto& it) {
            if (in.peek() != std::istringstream::traits_type::eof())
                archive(it);
        };
        (read(extension), ...);
        return message;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}
