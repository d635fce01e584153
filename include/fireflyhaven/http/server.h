#pragma once

#include "fireflyhaven/common/result.h"
#include "fireflyhaven/http/types/message.h"

namespace fireflyhaven::http {

struct ServerOptions {
    std::string ip;
    std::uint16_t port = 0;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxHeaders = 64;
    unsigned maxConnections = 4096;
    std::chrono::seconds idleTimeout { 60 };
};

using Handler = std::function<Response(const Request&)>;
// Creates the response to a request that the server rejects itself: the body is too large, or there are too many
// headers.
using RejectionHandler = std::function<Response(int status, const std::string& code, const std::string& message)>;

// HTTP/1.1 server with one thread per connection; the handler may block.
class Server {
public:
    static Result<std::unique_ptr<Server>> start(
        ServerOptions options, Handler handler, RejectionHandler rejectionHandler);
    virtual ~Server() = default;

    // Accepts no further connections; open connections are not affected.
    virtual void stopListening() = 0;
    virtual unsigned openConnections() const = 0;
};

}
