#pragma once

#include "fireflyhaven/config/types/lists.h"

namespace fireflyhaven::routing {

// Picks the version for a new session by weighted rendezvous hashing: a higher share for one version moves new sessions
// to that version only, and every host assigns the same version to a session id. Returns null where no version has a
// share above 0.
const config::VersionShare* assignVersion(const std::vector<config::VersionShare>& shares, const SessionId& session);

}
