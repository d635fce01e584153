#pragma once

#include "fireflyhaven/explain/logreader.h"

#include <optional>

namespace fireflyhaven::explain {

// Returns the logged steps of one request, one per line in order of time, with the fields that record the inputs of
// each decision. Returns no value where no line has the request id.
std::optional<std::string> requestTrace(const std::vector<LogLine>& lines, const std::string& request);

// Returns the state that a host had at the given time: its last summary (event "beliefs") up to then, followed by the
// events logged since, other than those of requests. Returns no value where there is no summary. `time` is UTC, as in
// the log.
std::optional<std::string> hostStateAt(
    const std::vector<LogLine>& lines, const std::string& host, const std::string& time);

}
