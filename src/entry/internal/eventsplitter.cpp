#include "fireflyhaven/entry/eventsplitter.h"

#include "fireflyhaven/common/text.h"

#include <utility>

namespace fireflyhaven::entry {

namespace {

// Position behind the first blank line; npos where there is none.
std::size_t endOfEvent(std::string_view bytes)
{
    for (std::size_t end = bytes.find('\n'); end != std::string_view::npos; end = bytes.find('\n', end + 1)) {
        if (bytes.substr(end + 1).starts_with('\n'))
            return end + 2;
        if (bytes.substr(end + 1).starts_with("\r\n"))
            return end + 3;
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> idOf(std::string_view event)
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
    m_rest += bytes;
    const std::string pending = std::exchange(m_rest, {});
    std::string_view left = pending;
    for (std::size_t end = endOfEvent(left); end != std::string_view::npos; end = endOfEvent(left)) {
        const std::string_view event = left.substr(0, end);
        left.remove_prefix(end);
        onEvent({ .bytes = event, .id = idOf(event) });
    }
    m_rest = left;
}

}
