#pragma once

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace fireflyhaven::peer {

enum class FrameType : std::uint8_t {
    // Opens a channel with the call in `payload`; the caller accepts `credit` pieces of the answer.
    Open,
    // One piece of the answer.
    Piece,
    // The answer is complete.
    End,
    // The call was refused and not run.
    Refused,
    // The caller accepts no more pieces.
    Cancel,
    // The caller accepts `credit` more pieces.
    Credit,
};

// Message on the connection between two hosts, which all channels share. Each call has its own channel.
struct Frame {
    FrameType type = FrameType::Open;
    std::uint64_t channel = 0;
    std::uint32_t credit = 0;
    std::string payload;

    template <typename Archive> void serialize(Archive& archive) { archive(type, channel, credit, payload); }
};

}
