#pragma once

#include <nlohmann/json.hpp>

#include <istream>
#include <string>
#include <vector>

namespace fireflyhaven::explain {

// One structured line of a host's log. Times are UTC in ISO 8601, so that they sort as text.
struct LogLine {
    std::string time;
    std::string host;
    std::string event;
    nlohmann::ordered_json fields;
};

// Parses the structured lines of a stream. Skips text before the JSON object of a line, such as a collector's prefix,
// and lines without a valid JSON object. The object must begin with the field "time", as the log formatter writes it.
std::vector<LogLine> readLogLines(std::istream& in);

}
