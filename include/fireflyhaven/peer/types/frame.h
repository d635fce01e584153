#pragma once

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace fireflyhaven::peer {

enum class FrameType : std::uint8_t {
    // Opens a channel with a call.
    Open,
    // A piece of the answer.
    Piece,
    // The answer is complete, or `payload` says why it was refused.
    End,
    Refused,
    // The caller wants no more pieces.
    Cancel,
    // The caller can take `credit` more pieces.
    Credit,
};

// Unit of the stream between two hosts; channels share one connection.
struct Frame {
    FrameType type = FrameType::Open;
    std::uint64_t channel = 0;
    std::uint32_t credit = 0;
    std::string payload;

    template <typename Archive> void serialize(Archive& archive) { archive(type, channel, credit, payload); }
};

}
