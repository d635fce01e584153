#pragma once

#include <nlohmann/json.hpp>

#include <istream>
#include <string>
#include <vector>

namespace fireflyhaven::explain {

// One structured line of a host's log. Times are UTC and compare as text.
struct LogLine {
    std::string time;
    std::string host;
    std::string event;
    nlohmann::ordered_json fields;
};

// Takes the structured lines out of a stream; whatever stands before a line's JSON object, and other lines, are left
// out.
std::vector<LogLine> readLogLines(std::istream& in);

}
