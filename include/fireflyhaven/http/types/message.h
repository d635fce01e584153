#pragma once

#include "fireflyhaven/common/clock.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fireflyhaven::http {

// Header names are kept in lower case.
using Headers = std::map<std::string, std::string>;

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    Headers headers;
    std::string body;

    // Value of the header, or an empty text; `name` in lower case.
    const std::string& header(const std::string& name) const;
    const std::string& parameter(const std::string& name) const;
};

// Body that is produced while it is being sent.
class IBodyStream {
public:
    virtual ~IBodyStream() = default;
    // Waits for the next piece; an empty piece ends the body.
    virtual std::string next() = 0;
    // The peer has gone away.
    virtual void cancel() = 0;
};

struct Response {
    int status = 200;
    Headers headers;
    std::string body;
    // Sent instead of `body` where set.
    std::shared_ptr<IBodyStream> stream;
};

}
