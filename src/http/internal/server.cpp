#include "fireflyhaven/http/server.h"
#include "fireflyhaven/http/types/status.h"

#include <microhttpd.h>

#include <arpa/inet.h>
#include <unistd.h>

#include <algorithm>

namespace fireflyhaven::http {

const std::string& Request::header(const std::string& name) const
{
    static const std::string EMPTY;
    const auto it = headers.find(name);
    return it == headers.end() ? EMPTY : it->second;
}

const std::string& Request::parameter(const std::string& name) const
{
    static const std::string EMPTY;
    const auto it = query.find(name);
    return it == query.end() ? EMPTY : it->second;
}

namespace {

constexpr std::size_t STREAM_BLOCK_BYTES = 16 * 1024;
constexpr std::size_t THREAD_STACK_BYTES = 512 * 1024;
constexpr std::size_t CONNECTION_MEMORY_BYTES = 32 * 1024;

// A request that is being received or processed.
struct PendingRequest {
    Request request;
    bool tooLarge = false;
    bool answered = false;
};

// Splits the pieces of a body stream into blocks of the size that libmicrohttpd requests.
struct StreamState {
    std::shared_ptr<IBodyStream> stream;
    std::string currentPiece;
    std::size_t consumedBytes = 0;
    bool reachedEnd = false;
};

ssize_t readStream(void* context, std::uint64_t, char* buf, std::size_t max)
{
    auto& state = *static_cast<StreamState*>(context);
    if (state.consumedBytes == state.currentPiece.size()) {
        state.currentPiece = state.stream->next();
        state.consumedBytes = 0;
        if (state.currentPiece.empty()) {
            state.reachedEnd = true;
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
    }
    const std::size_t n = std::min(max, state.currentPiece.size() - state.consumedBytes);
    std::copy_n(state.currentPiece.data() + state.consumedBytes, n, buf);
    state.consumedBytes += n;
    return static_cast<ssize_t>(n);
}

void freeStream(void* context)
{
    auto* state = static_cast<StreamState*>(context);
    if (!state->reachedEnd)
        state->stream->cancel();
    delete state;
}

struct HeaderCollector {
    Headers* headers;
    std::size_t count = 0;
};

MHD_Result collectHeader(void* context, MHD_ValueKind, const char* name, const char* value)
{
    auto& collector = *static_cast<HeaderCollector*>(context);
    ++collector.count;
    std::string key(name);
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) { return std::tolower(c); });
    (*collector.headers)[key] = value ? value : "";
    return MHD_YES;
}

MHD_Result collectParameter(void* context, MHD_ValueKind, const char* name, const char* value)
{
    (*static_cast<std::map<std::string, std::string>*>(context))[name] = value ? value : "";
    return MHD_YES;
}

class MicroServer final : public Server {
public:
    MicroServer(ServerOptions options, Handler handler, RejectionHandler rejectionHandler)
        : m_options(std::move(options))
        , m_handler(std::move(handler))
        , m_rejectionHandler(std::move(rejectionHandler))
    {
    }
    MicroServer(const MicroServer&) = delete;
    MicroServer& operator=(const MicroServer&) = delete;
    ~MicroServer() override
    {
        stopListening();
        if (m_daemon)
            MHD_stop_daemon(m_daemon);
    }

    bool listen()
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(m_options.port);
        if (inet_pton(AF_INET, m_options.ip.c_str(), &address.sin_addr) != 1)
            return false;
        m_daemon = MHD_start_daemon(
            MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC,
            m_options.port, nullptr, nullptr, &MicroServer::onAccess, this, MHD_OPTION_SOCK_ADDR, &address,
            MHD_OPTION_NOTIFY_COMPLETED, &MicroServer::onCompleted, this, MHD_OPTION_CONNECTION_LIMIT,
            m_options.maxConnections, MHD_OPTION_CONNECTION_TIMEOUT,
            static_cast<unsigned>(m_options.idleTimeout.count()), MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES,
            MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY_BYTES, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
            MHD_OPTION_END);
        return m_daemon != nullptr;
    }

    void stopListening() override
    {
        if (!m_daemon || m_quiesced)
            return;
        m_quiesced = true;
        const MHD_socket fd = MHD_quiesce_daemon(m_daemon);
        if (fd != MHD_INVALID_SOCKET)
            close(fd);
    }

    unsigned openConnections() const override
    {
        const MHD_DaemonInfo* info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
        return info ? info->num_connections : 0;
    }

private:
    static MHD_Result onAccess(void* self, MHD_Connection* connection, const char* url, const char* method, const char*,
        const char* data, std::size_t* size, void** context)
    {
        return static_cast<MicroServer*>(self)->access(connection, url, method, data, size, context);
    }

    static void onCompleted(void*, MHD_Connection*, void** context, MHD_RequestTerminationCode)
    {
        delete static_cast<PendingRequest*>(*context);
        *context = nullptr;
    }

    MHD_Result access(MHD_Connection* connection, const char* url, const char* method, const char* data,
        std::size_t* size, void** context)
    {
        auto* pending = static_cast<PendingRequest*>(*context);
        if (!pending)
            return begin(connection, url, method, context);
        if (*size > 0) {
            receive(*pending, { data, *size });
            *size = 0;
            return MHD_YES;
        }
        if (pending->answered)
            return MHD_YES;
        pending->answered = true;
        if (pending->tooLarge)
            return reply(
                connection, m_rejectionHandler(STATUS_CONTENT_TOO_LARGE, "too_large", "the body is too large"));
        return reply(connection, m_handler(pending->request));
    }

    MHD_Result begin(MHD_Connection* connection, const char* url, const char* method, void** context)
    {
        auto* pending = new PendingRequest;
        *context = pending;
        pending->request.method = method;
        pending->request.path = url;
        HeaderCollector collector { .headers = &pending->request.headers };
        MHD_get_connection_values(connection, MHD_HEADER_KIND, collectHeader, &collector);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, collectParameter, &pending->request.query);
        if (collector.count > m_options.maxHeaders) {
            pending->answered = true;
            return reply(
                connection, m_rejectionHandler(STATUS_HEADERS_TOO_LARGE, "too_many_headers", "too many headers"));
        }
        return MHD_YES;
    }

    void receive(PendingRequest& pending, std::string_view piece) const
    {
        std::string& body = pending.request.body;
        pending.tooLarge = pending.tooLarge || body.size() + piece.size() > m_options.maxBodyBytes;
        if (pending.tooLarge)
            body.clear();
        else
            body += piece;
    }

    static MHD_Result reply(MHD_Connection* connection, Response response)
    {
        MHD_Response* out = nullptr;
        if (response.stream) {
            auto* state = new StreamState { .stream = std::move(response.stream) };
            out = MHD_create_response_from_callback(
                MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, readStream, state, freeStream);
        } else {
            out = MHD_create_response_from_buffer(response.body.size(), response.body.data(), MHD_RESPMEM_MUST_COPY);
        }
        for (const auto& [name, value] : response.headers)
            MHD_add_response_header(out, name.c_str(), value.c_str());
        const MHD_Result rc = MHD_queue_response(connection, static_cast<unsigned>(response.status), out);
        MHD_destroy_response(out);
        return rc;
    }

    ServerOptions m_options;
    Handler m_handler;
    RejectionHandler m_rejectionHandler;
    MHD_Daemon* m_daemon = nullptr;
    bool m_quiesced = false;
};

}

Result<std::unique_ptr<Server>> Server::start(ServerOptions options, Handler handler, RejectionHandler rejectionHandler)
{
    const std::string address = options.ip + ":" + std::to_string(options.port);
    auto server = std::make_unique<MicroServer>(std::move(options), std::move(handler), std::move(rejectionHandler));
    if (!server->listen())
        return failure(ErrorCode::Unavailable, "cannot listen on " + address);
    return std::unique_ptr<Server>(std::move(server));
}

}
