#include "fireflyhaven/peer/peerclient.h"

#include "fireflyhaven/common/clock.h"
#include "peerconnection.h"

namespace fireflyhaven::peer {

namespace {
constexpr int CONNECT_TIMEOUT_MS = 1000;
}

PeerCall::PeerCall(std::weak_ptr<PeerConnection> connection, std::uint64_t channel)
    : m_connection(std::move(connection))
    , m_channel(channel)
{
}

std::string PeerCall::next(Duration wait)
{
    std::string piece;
    std::uint32_t credit = 0;
    {
        absl::MutexLock lock(&m_mutex);
        const auto ready
            = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return !m_pieces.empty() || m_end != CallEnd::Open; };
        m_mutex.AwaitWithTimeout(absl::Condition(&ready), absl::Milliseconds(wait.count()));
        if (m_pieces.empty())
            return {};
        piece = std::move(m_pieces.front());
        m_pieces.pop_front();
        // Credit is returned in batches of half the window to reduce the number of frames.
        if (++m_uncreditedPieces >= CHANNEL_CREDIT_PIECES / 2)
            credit = std::exchange(m_uncreditedPieces, 0);
    }
    const auto connection = m_connection.lock();
    if (credit > 0 && connection)
        connection->send({ .type = FrameType::Credit, .channel = m_channel, .credit = credit, .payload = {} });
    return piece;
}

CallEnd PeerCall::end() const
{
    absl::MutexLock lock(&m_mutex);
    return m_end;
}

void PeerCall::cancel()
{
    if (end() != CallEnd::Open)
        return;
    if (const auto connection = m_connection.lock())
        connection->send({ .type = FrameType::Cancel, .channel = m_channel, .credit = 0, .payload = {} });
}

void PeerCall::onPiece(std::string piece)
{
    absl::MutexLock lock(&m_mutex);
    m_pieces.push_back(std::move(piece));
}

void PeerCall::onEnd(CallEnd end)
{
    absl::MutexLock lock(&m_mutex);
    if (m_end == CallEnd::Open)
        m_end = end;
}

struct PeerClient::Session {
    std::shared_ptr<PeerConnection> connection;
    std::thread reader;
    absl::Mutex mutex;
    std::map<std::uint64_t, std::shared_ptr<PeerCall>> calls ABSL_GUARDED_BY(mutex);
    std::uint64_t lastChannel ABSL_GUARDED_BY(mutex) = 0;
    bool broken ABSL_GUARDED_BY(mutex) = false;
};

PeerClient::PeerClient(SecretKey key)
    : m_key(key)
{
}

PeerClient::~PeerClient()
{
    std::vector<std::shared_ptr<Session>> sessions;
    {
        absl::MutexLock lock(&m_mutex);
        for (auto& [address, it] : m_sessions)
            sessions.push_back(it);
        sessions.insert(sessions.end(), m_replacedSessions.begin(), m_replacedSessions.end());
    }
    for (const auto& it : sessions)
        it->connection->shutdown();
    for (const auto& it : sessions)
        it->reader.join();
}

Result<std::shared_ptr<PeerCall>> PeerClient::call(const membership::HostAddress& to, std::string payload)
{
    BOOST_LEAF_AUTO(target, session(to));
    std::shared_ptr<PeerCall> call;
    Frame frame {
        .type = FrameType::Open, .channel = 0, .credit = CHANNEL_CREDIT_PIECES, .payload = std::move(payload)
    };
    {
        absl::MutexLock lock(&target->mutex);
        if (target->broken)
            return failure(ErrorCode::Unavailable, "the connection to " + to.ip + " broke before the call was sent");
        frame.channel = ++target->lastChannel;
        call = std::make_shared<PeerCall>(target->connection, frame.channel);
        target->calls[frame.channel] = call;
    }
    // A failed send may have been transmitted in part, so the call is not reported as unsent; the reader thread ends it
    // as Broken.
    if (!target->connection->send(frame))
        target->connection->shutdown();
    return call;
}

Result<std::shared_ptr<PeerClient::Session>> PeerClient::session(const membership::HostAddress& to)
{
    const std::string address = to.ip + ":" + std::to_string(to.peerPort);
    {
        absl::MutexLock lock(&m_mutex);
        const auto it = m_sessions.find(address);
        if (it != m_sessions.end()) {
            absl::MutexLock sessionLock(&it->second->mutex);
            if (!it->second->broken)
                return it->second;
        }
    }
    const int fd = connectTo(to.ip, to.peerPort, CONNECT_TIMEOUT_MS);
    if (fd < 0)
        return failure(ErrorCode::Unavailable, "cannot connect to " + address);
    auto session = std::make_shared<Session>();
    session->connection = std::make_shared<PeerConnection>(fd, m_key, PeerConnection::Side::Client);
    if (!session->connection->handshake())
        return failure(ErrorCode::Unavailable, "no handshake with " + address);
    session->reader = std::thread([session = session.get()] { readLoop(*session); });
    absl::MutexLock lock(&m_mutex);
    std::shared_ptr<Session>& slot = m_sessions[address];
    if (slot)
        m_replacedSessions.push_back(slot);
    slot = session;
    std::erase_if(m_replacedSessions, [](const std::shared_ptr<Session>& it) {
        bool broken = false;
        {
            absl::MutexLock sessionLock(&it->mutex);
            broken = it->broken;
        }
        if (broken)
            it->reader.join();
        return broken;
    });
    return session;
}

void PeerClient::readLoop(Session& session)
{
    while (std::optional<Frame> frame = session.connection->receive()) {
        std::shared_ptr<PeerCall> call;
        {
            absl::MutexLock lock(&session.mutex);
            const auto it = session.calls.find(frame->channel);
            if (it == session.calls.end())
                continue;
            call = it->second;
            if (frame->type != FrameType::Piece)
                session.calls.erase(it);
        }
        if (frame->type == FrameType::Piece)
            call->onPiece(std::move(frame->payload));
        else
            call->onEnd(frame->type == FrameType::End ? CallEnd::Complete : CallEnd::Refused);
    }
    session.connection->shutdown();
    absl::MutexLock lock(&session.mutex);
    session.broken = true;
    for (auto& [channel, call] : session.calls)
        call->onEnd(CallEnd::Broken);
    session.calls.clear();
}

}
