#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/crypto.h"
#include "fireflyhaven/membership/types/entries.h"
#include "fireflyhaven/peer/types/frame.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace fireflyhaven::peer {

// Flow-control window: pieces that a sender may send on a channel before the receiver has consumed any.
constexpr std::uint32_t CHANNEL_CREDIT_PIECES = 64;

// How a call to a peer ended; Open while it has not.
enum class CallEnd {
    Open,
    // All pieces have arrived.
    Complete,
    // The peer refused to run the call.
    Refused,
    // The connection broke; the call may or may not have been run.
    Broken,
};

class PeerConnection;

// One call on a shared connection; its answer arrives in pieces.
class PeerCall {
public:
    PeerCall(std::weak_ptr<PeerConnection> connection, std::uint64_t channel);

    // Returns the next piece. Returns an empty string if `wait` passes (`end()` is then Open), or once the call has
    // ended and all pieces are consumed.
    std::string next(Duration wait);
    CallEnd end() const;
    void cancel();

    // Called by the reader thread of the connection.
    void onPiece(std::string piece);
    void onEnd(CallEnd end);

private:
    std::weak_ptr<PeerConnection> m_connection;
    const std::uint64_t m_channel;
    mutable absl::Mutex m_mutex;
    std::deque<std::string> m_pieces ABSL_GUARDED_BY(m_mutex);
    CallEnd m_end ABSL_GUARDED_BY(m_mutex) = CallEnd::Open;
    // Consumed pieces whose credit has not been returned to the sender yet.
    std::uint32_t m_uncreditedPieces ABSL_GUARDED_BY(m_mutex) = 0;
};

// Calls other hosts over TCP; all calls to a host share one connection.
class PeerClient {
public:
    explicit PeerClient(SecretKey key);
    ~PeerClient();

    // Fails if the peer can't be reached; the call has not been sent in that case.
    Result<std::shared_ptr<PeerCall>> call(const membership::HostAddress& to, std::string payload);

private:
    struct Session;

    Result<std::shared_ptr<Session>> session(const membership::HostAddress& to);
    static void readLoop(Session& session);

    const SecretKey m_key;
    absl::Mutex m_mutex;
    std::map<std::string, std::shared_ptr<Session>> m_sessions ABSL_GUARDED_BY(m_mutex);
    // Sessions replaced by a newer one to the same address, whose reader thread is not joined yet.
    std::vector<std::shared_ptr<Session>> m_replacedSessions ABSL_GUARDED_BY(m_mutex);
};

}
