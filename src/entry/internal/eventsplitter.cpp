#include "fireflyhaven/entry/eventsplitter.h"

#include "fireflyhaven/common/text.h"

#include <utility>

namespace fireflyhaven::entry {

namespace {

// Returns the position after the first blank line, or npos if there is none.
std::size_t eventEnd(std::string_view bytes)
{
    for (std::size_t end = bytes.find('\n'); end != std::string_view::npos; end = bytes.find('\n', end + 1)) {
        if (bytes.substr(end + 1).starts_with('\n'))
            return end + 2;
        if (bytes.substr(end + 1).starts_with("\r\n"))
            return end + 3;
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> eventId(std::string_view event)
{
    constexpr std::string_view FIELD = "id:";
    for (const std::string_view line : splitText(event, '\n')) {
        if (line.starts_with(FIELD))
            return parseNumber<std::uint64_t>(trimmed(line.substr(FIELD.size())));
    }
    return std::nullopt;
}

}

void EventSplitter::feed(std::string_view bytes, const OnEvent& onEvent)
{
    m_incompleteEvent += bytes;
    const std::string pending = std::exchange(m_incompleteEvent, {});
    std::string_view remaining = pending;
    for (std::size_t end = eventEnd(remaining); end != std::string_view::npos; end = eventEnd(remaining)) {
        const std::string_view event = remaining.substr(0, end);
        remaining.remove_prefix(end);
        onEvent({ .bytes = event, .id = eventId(event) });
    }
    m_incompleteEvent = remaining;
}

}
