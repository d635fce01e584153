#pragma once

#include <nlohmann/json.hpp>
#include <spdlog/common.h>

#include <string_view>

namespace fireflyhaven::telemetry {

// Fields of a structured log line, in output order.
using LogFields = nlohmann::ordered_json;

// Writes one structured line to the default logger: the event name, then the fields. docs/OPERATIONS.md describes the
// events and their fields.
void logEvent(spdlog::level::level_enum level, std::string_view event, const LogFields& fields = LogFields::object());

}
