#pragma once

#include <absl/strings/string_view.h>

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <vector>

namespace fireflyhaven {

// Converts to Abseil's string view, which is a distinct type if Abseil was built for a standard before C++17.
inline absl::string_view abslView(std::string_view text) { return { text.data(), text.size() }; }

// Returns the text without leading and trailing white space.
std::string_view trimmed(std::string_view text);
// Splits at each separator and trims the parts; an empty text gives one empty part.
std::vector<std::string_view> splitText(std::string_view text, char separator);

// Returns no value unless the whole text is a number of this type.
template <typename Number> std::optional<Number> parseNumber(std::string_view text, int base = 10)
{
    Number value {};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return ec == std::errc() && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

// Returns no value unless the whole text is a finite decimal number.
std::optional<double> parseDecimal(std::string_view text);

}
