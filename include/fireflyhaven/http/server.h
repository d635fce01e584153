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
// Writes the response for a request that the server itself refuses: too large, or with too many headers.
using Refusal = std::function<Response(int status, const std::string& code, const std::string& message)>;

// HTTP/1.1 server with a thread for each connection; the handler may block.
class Server {
public:
    static Result<std::unique_ptr<Server>> start(ServerOptions options, Handler handler, Refusal refusal);
    virtual ~Server() = default;

    // Takes no new connections; those open go on.
    virtual void stopListening() = 0;
    virtual unsigned openConnections() const = 0;
};

}
