#pragma once

#include "fireflyhaven/common/result.h"

#include <string>

namespace fireflyhaven {

// Runs an entry host on the users' platform until SIGTERM; `settingsFile` is the platform's settings file.
Result<int> runOnPlatform(const std::string& settingsFile);

}
