#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>

#include <cstdint>
#include <optional>
#include <sstream>
#include <string>

// Datagrams between hosts: two bytes that name the layout, then the fields.
namespace fireflyhaven::fleet {

template <typename Message> std::string encodeDatagram(std::uint16_t layout, const Message& message)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(layout, message);
    }
    return std::move(out).str();
}

// No value where the datagram has another layout or is malformed.
template <typename Message> std::optional<Message> decodeDatagram(std::uint16_t layout, const std::string& datagram)
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
        return message;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}
