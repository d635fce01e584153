#pragma once

#include <memory>
#include <string>

namespace fireflyhaven {

struct LogSettings {
    // debug, info, warn or error.
    std::string level = "info";
    bool json = false;
    // Stands in each line where it is set.
    std::string host;
};

// Sets up the default logger.
void setUpLog(const LogSettings& settings);
// The same for a process with one thread, on standard output through a sink that never waits.
void setUpBoundedLog(const LogSettings& settings);

}
