#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace fireflyhaven::entry {

// One whole event of a server-sent event stream.
struct StreamEvent {
    // Bytes of the event, its closing blank line included.
    std::string_view bytes;
    std::optional<std::uint64_t> id;
};

// Cuts the bytes of an event stream into whole events. Bytes of an event that has not ended are kept back.
class EventSplitter {
public:
    using OnEvent = std::function<void(const StreamEvent&)>;

    void feed(std::string_view bytes, const OnEvent& onEvent);
    // Bytes that are kept back.
    std::string_view rest() const { return m_rest; }

private:
    std::string m_rest;
};

}
