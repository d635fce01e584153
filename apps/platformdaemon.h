#pragma once

#include "fireflyhaven/common/result.h"

#include <string>

namespace fireflyhaven {

// Runs an entry host on the users' platform until SIGTERM or SIGINT. `settingsFile` is the platform's settings file;
// command-line options and their environment variables configure what that file does not contain.
Result<int> runOnPlatform(const std::string& settingsFile, int argc, char** argv);

}
