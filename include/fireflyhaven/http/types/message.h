#pragma once

#include "fireflyhaven/common/clock.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fireflyhaven::http {

// Maps lower-case header names to values.
using Headers = std::map<std::string, std::string>;

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    Headers headers;
    std::string body;

    // Value of the header, or an empty string; `name` must be in lower case.
    const std::string& header(const std::string& name) const;
    // Value of the query parameter, or an empty string.
    const std::string& parameter(const std::string& name) const;
};

// Response body that is generated while it is being sent.
class IBodyStream {
public:
    virtual ~IBodyStream() = default;
    // Blocks until the next piece of the body is available; an empty string ends the body.
    virtual std::string next() = 0;
    // Called when the response ends before the end of the body, for example because the caller disconnected.
    virtual void cancel() = 0;
};

struct Response {
    int status = 200;
    Headers headers;
    std::string body;
    // If set, replaces `body`.
    std::shared_ptr<IBodyStream> stream;
};

}
