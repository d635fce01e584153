#pragma once

#include "fireflyhaven/common/clock.h"

namespace fireflyhaven::http {

// Sends small writes at once, and lets the connection fail where the peer acknowledges nothing for the time given,
// with keep-alive probes while nothing is sent.
void setSocketOptions(int fd, Duration userTimeout);

}
