#pragma once

#include <memory>
#include <string>

namespace fireflyhaven {

struct LogSettings {
    // debug, info, warn or error.
    std::string level = "info";
    bool json = false;
    // Host name in each JSON line, unless empty.
    std::string host;
};

// Configures the default logger.
void setUpLog(const LogSettings& settings);
// Replaces the default logger by one that writes to standard output without blocking, for single-threaded processes,
// and configures it.
void setUpBoundedLog(const LogSettings& settings);

}
