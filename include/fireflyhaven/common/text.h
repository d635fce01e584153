#pragma once

#include <absl/strings/string_view.h>

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <vector>

namespace fireflyhaven {

// The view as Abseil's own type, which differs from the standard one where Abseil was built for an older standard.
inline absl::string_view abslView(std::string_view text) { return { text.data(), text.size() }; }

// The text without white space at its ends.
std::string_view trimmed(std::string_view text);
// Parts between separators, each without white space at its ends; one empty part for an empty text.
std::vector<std::string_view> splitText(std::string_view text, char separator);

// No value where the whole text is not a number of this type.
template <typename Number> std::optional<Number> parseNumber(std::string_view text, int base = 10)
{
    Number value {};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return ec == std::errc() && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

// No value where the whole text is not a finite decimal number.
std::optional<double> parseDecimal(std::string_view text);

}
