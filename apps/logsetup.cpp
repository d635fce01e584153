#include "logsetup.h"

#include "fireflyhaven/telemetry/boundedsink.h"
#include "fireflyhaven/telemetry/jsonformatter.h"

#include <spdlog/spdlog.h>

namespace fireflyhaven {

void setUpLog(const LogSettings& settings)
{
    spdlog::set_level(spdlog::level::from_str(settings.level));
    if (settings.json)
        spdlog::set_formatter(telemetry::makeJsonFormatter(settings.host));
}

void setUpBoundedLog(const LogSettings& settings)
{
    auto sink = std::make_shared<telemetry::BoundedSink>();
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("fireflyhaven", std::move(sink)));
    setUpLog(settings);
}

}
