#include "fireflyhaven/peer/peerserver.h"

#include "peerconnection.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <list>
#include <map>
#include <thread>

namespace fireflyhaven::peer {

namespace {

constexpr int LISTEN_BACKLOG = 256;

// Server side of one channel.
class Channel final : public IPieceSink {
public:
    Channel(std::shared_ptr<PeerConnection> connection, std::uint64_t number, std::uint32_t credit)
        : m_connection(std::move(connection))
        , m_number(number)
        , m_credit(credit)
    {
    }

    bool write(std::string piece) override
    {
        {
            absl::MutexLock lock(&m_mutex);
            const auto ready = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_credit > 0 || m_cancelled; };
            m_mutex.Await(absl::Condition(&ready));
            if (m_cancelled)
                return false;
            --m_credit;
        }
        return m_connection->send(
            { .type = FrameType::Piece, .channel = m_number, .credit = 0, .payload = std::move(piece) });
    }

    bool cancelled() const override
    {
        absl::MutexLock lock(&m_mutex);
        return m_cancelled;
    }

    void addCredit(std::uint32_t n)
    {
        absl::MutexLock lock(&m_mutex);
        m_credit += n;
    }

    void cancel()
    {
        absl::MutexLock lock(&m_mutex);
        m_cancelled = true;
    }

    void finish(bool ran)
    {
        m_connection->send(
            { .type = ran ? FrameType::End : FrameType::Refused, .channel = m_number, .credit = 0, .payload = {} });
    }

private:
    std::shared_ptr<PeerConnection> m_connection;
    const std::uint64_t m_number;
    mutable absl::Mutex m_mutex;
    std::uint32_t m_credit ABSL_GUARDED_BY(m_mutex);
    bool m_cancelled ABSL_GUARDED_BY(m_mutex) = false;
};

// One accepted connection and its channels.
class Session {
public:
    Session(int fd, SecretKey key, const CallHandler& handler, WorkerPool& pool)
        : m_connection(std::make_shared<PeerConnection>(fd, key, PeerConnection::Side::Server))
        , m_handler(handler)
        , m_pool(pool)
        , m_reader([this] { readLoop(); })
    {
    }
    ~Session()
    {
        m_connection->shutdown();
        m_reader.join();
    }
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    bool ended() const { return m_ended; }

private:
    using Channels = std::map<std::uint64_t, std::shared_ptr<Channel>>;
    // Shared with the jobs of the pool, which can outlive the session.
    struct ChannelTable {
        absl::Mutex mutex;
        Channels channels ABSL_GUARDED_BY(mutex);
    };

    void readLoop()
    {
        if (m_connection->handshake()) {
            while (std::optional<Frame> frame = m_connection->receive())
                handleFrame(std::move(*frame));
        }
        m_connection->shutdown();
        absl::MutexLock lock(&m_channelTable->mutex);
        for (auto& [number, channel] : m_channelTable->channels)
            channel->cancel();
        m_ended = true;
    }

    void handleFrame(Frame frame)
    {
        if (frame.type == FrameType::Open) {
            openChannel(std::move(frame));
            return;
        }
        absl::MutexLock lock(&m_channelTable->mutex);
        const auto it = m_channelTable->channels.find(frame.channel);
        if (it == m_channelTable->channels.end())
            return;
        if (frame.type == FrameType::Credit)
            it->second->addCredit(frame.credit);
        else if (frame.type == FrameType::Cancel)
            it->second->cancel();
    }

    void openChannel(Frame frame)
    {
        auto channel = std::make_shared<Channel>(m_connection, frame.channel, frame.credit);
        {
            absl::MutexLock lock(&m_channelTable->mutex);
            m_channelTable->channels[frame.channel] = channel;
        }
        const auto job = [channelTable = m_channelTable, channel, number = frame.channel,
                             payload = std::move(frame.payload), &handler = m_handler] {
            const bool ran = handler(payload, *channel);
            {
                absl::MutexLock lock(&channelTable->mutex);
                channelTable->channels.erase(number);
            }
            channel->finish(ran);
        };
        if (!m_pool.run(job))
            channel->finish(false);
    }

    std::shared_ptr<PeerConnection> m_connection;
    const CallHandler& m_handler;
    WorkerPool& m_pool;
    std::shared_ptr<ChannelTable> m_channelTable = std::make_shared<ChannelTable>();
    std::atomic<bool> m_ended { false };
    std::thread m_reader;
};

class TcpPeerServer final : public PeerServer {
public:
    TcpPeerServer(int fd, SecretKey key, CallHandler handler, std::size_t maxCalls)
        : m_listenFd(fd)
        , m_key(key)
        , m_handler(std::move(handler))
        , m_pool(maxCalls)
        , m_acceptor([this] { acceptLoop(); })
    {
    }
    ~TcpPeerServer() override
    {
        m_stopping = true;
        ::shutdown(m_listenFd, SHUT_RDWR);
        m_acceptor.join();
        close(m_listenFd);
        m_sessions.clear();
    }
    TcpPeerServer(const TcpPeerServer&) = delete;
    TcpPeerServer& operator=(const TcpPeerServer&) = delete;

    std::size_t runningCalls() const override { return m_pool.busyThreads(); }

private:
    void acceptLoop()
    {
        while (!m_stopping) {
            const int fd = accept4(m_listenFd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            m_sessions.remove_if([](const std::unique_ptr<Session>& it) { return it->ended(); });
            m_sessions.push_back(std::make_unique<Session>(fd, m_key, m_handler, m_pool));
        }
    }

    const int m_listenFd;
    const SecretKey m_key;
    const CallHandler m_handler;
    WorkerPool m_pool;
    // Accessed only by the acceptor thread until it is joined.
    std::list<std::unique_ptr<Session>> m_sessions;
    std::atomic<bool> m_stopping { false };
    std::thread m_acceptor;
};

}

Result<std::unique_ptr<PeerServer>> PeerServer::start(
    const PeerServerOptions& options, SecretKey key, CallHandler handler)
{
    const std::string endpoint = options.ip + ":" + std::to_string(options.port);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const bool bound = fd >= 0 && inet_pton(AF_INET, options.ip.c_str(), &address.sin_addr) == 1
        && bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0
        && listen(fd, LISTEN_BACKLOG) == 0;
    if (!bound) {
        if (fd >= 0)
            close(fd);
        return failure(ErrorCode::Unavailable, "cannot listen for peers on " + endpoint);
    }
    return std::unique_ptr<PeerServer>(std::make_unique<TcpPeerServer>(fd, key, std::move(handler), options.maxCalls));
}

}
