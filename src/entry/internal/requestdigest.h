#pragma once

#include "fireflyhaven/entry/types/request.h"
#include "fireflyhaven/http/types/head.h"

#include <string_view>

namespace fireflyhaven::entry {

// Digest of a request's method, target, caller and body, the same on all hosts and for each repeat. It leaves out what
// differs from one repeat to the next: ids of attempts, time-outs, and headers that hosts add.
RequestDigest digestOf(const CallerRequest& request, const http::RequestHead& head, std::string_view body);

}
