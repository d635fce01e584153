#pragma once

#include "fireflyhaven/common/clock.h"

namespace fireflyhaven::http {

// Disables Nagle's algorithm, and lets the connection fail after `userTimeout` without an acknowledgement by the peer.
// Keep-alive probes detect this on idle connections.
void setSocketOptions(int fd, Duration userTimeout);

}
