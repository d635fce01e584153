#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace fireflyhaven::entry {

// One complete event of a server-sent event stream.
struct StreamEvent {
    // Bytes of the event, including the blank line that ends it.
    std::string_view bytes;
    std::optional<std::uint64_t> id;
};

// Splits the bytes of a server-sent event stream into complete events. The bytes of an event that has not ended yet
// stay buffered.
class EventSplitter {
public:
    using OnEvent = std::function<void(const StreamEvent&)>;

    void feed(std::string_view bytes, const OnEvent& onEvent);
    std::string_view incompleteEvent() const { return m_incompleteEvent; }

private:
    std::string m_incompleteEvent;
};

}
