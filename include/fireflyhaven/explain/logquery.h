#pragma once

#include "fireflyhaven/explain/logreader.h"

#include <optional>

namespace fireflyhaven::explain {

// The steps of one request in order, a line each, with the inputs that decided them; no value where no line names it.
std::optional<std::string> storyOf(const std::vector<LogLine>& lines, const std::string& request);

// What the host believed at the moment: its last summary before it, and what changed since; no value where there is
// no summary. `time` is UTC, as in the log.
std::optional<std::string> beliefsOf(
    const std::vector<LogLine>& lines, const std::string& host, const std::string& time);

}
