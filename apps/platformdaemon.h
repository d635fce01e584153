#pragma once

#include "fireflyhaven/common/result.h"

#include <string>

namespace fireflyhaven {

// Runs an entry host on the users' platform until SIGTERM; `settingsFile` is the platform's settings file. Options of
// the command line and their variables set what that file does not.
Result<int> runOnPlatform(const std::string& settingsFile, int argc, char** argv);

}
