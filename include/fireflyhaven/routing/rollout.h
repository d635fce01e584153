#pragma once

#include "fireflyhaven/config/types/lists.h"

namespace fireflyhaven::routing {

// Picks one of the uses for a new session by weighted rendezvous hashing: raising the share of one version moves new
// sessions to that version only, and the same session id gives the same version on every host. Returns null where no
// use has a share above 0.
const config::VersionShare* assignVersion(const std::vector<config::VersionShare>& uses, const SessionId& session);

}
