#pragma once

#include "fireflyhaven/common/clock.h"

namespace fireflyhaven::http {

// Disables Nagle's algorithm, and lets the connection fail after `userTimeout` without an acknowledgement by the peer.
// Keep-alive probes let idle connections fail as well, on which no data awaits an acknowledgement.
void setSocketOptions(int fd, Duration userTimeout);

}
