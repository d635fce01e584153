#pragma once

#include <spdlog/formatter.h>

#include <memory>
#include <string>

namespace fireflyhaven::telemetry {

// Formats each line as one JSON object: time (UTC), level, host where one is given, then the fields of `logEvent`.
// Plain messages become the event "message" with the field "text".
std::unique_ptr<spdlog::formatter> makeJsonFormatter(const std::string& host = {});

}
