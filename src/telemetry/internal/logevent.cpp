#include "fireflyhaven/telemetry/logevent.h"

#include <spdlog/spdlog.h>

namespace fireflyhaven::telemetry {

void logEvent(spdlog::level::level_enum level, std::string_view event, const LogFields& fields)
{
    if (!spdlog::default_logger_raw()->should_log(level))
        return;
    LogFields line = LogFields::object();
    line["event"] = event;
    line.update(fields);
    spdlog::log(level, "{}", line.dump(-1, ' ', false, LogFields::error_handler_t::replace));
}

}
