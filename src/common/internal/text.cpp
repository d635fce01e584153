#include "fireflyhaven/common/text.h"

namespace fireflyhaven {

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view WHITE_SPACE = " \t\r\n";
    const auto first = text.find_first_not_of(WHITE_SPACE);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(WHITE_SPACE) - first + 1);
}

std::vector<std::string_view> splitText(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    std::size_t begin = 0;
    for (std::size_t end = text.find(separator); end != std::string_view::npos; end = text.find(separator, begin)) {
        parts.push_back(trimmed(text.substr(begin, end - begin)));
        begin = end + 1;
    }
    parts.push_back(trimmed(text.substr(begin)));
    return parts;
}

std::optional<double> parseDecimal(std::string_view text)
{
    double value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool valid = ec == std::errc() && end == text.data() + text.size() && std::isfinite(value);
    return valid ? std::optional(value) : std::nullopt;
}

}
