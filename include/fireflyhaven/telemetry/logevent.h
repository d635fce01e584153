#pragma once

#include <nlohmann/json.hpp>
#include <spdlog/common.h>

#include <string_view>

namespace fireflyhaven::telemetry {

// Fields of a structured log line, in the order in which they are written.
using LogFields = nlohmann::ordered_json;

// Writes one structured line to the default logger: the event's name, then its fields. docs/OPERATIONS.md describes
// each event and its fields.
void logEvent(spdlog::level::level_enum level, std::string_view event, const LogFields& fields = LogFields::object());

}
