#include "runrouter.h"

#include "peermessages.h"

namespace fireflyhaven::node {

namespace {

using dispatch::RunEvent;
using dispatch::RunEventKind;

RunEvent refusedEvent(const std::string& code, const std::string& message)
{
    return { .kind = RunEventKind::Refused, .code = code, .message = message };
}

RunEvent failedEvent(const std::string& code, const std::string& message)
{
    return { .kind = RunEventKind::Failed, .code = code, .message = message };
}

// Stream of an attempt that was refused before it reached the owner.
class SingleEventStream final : public IRunStream {
public:
    explicit SingleEventStream(RunEvent event)
        : m_event(std::move(event))
    {
    }
    RunEvent next(Duration) override { return m_event; }
    void cancel() override { }

private:
    const RunEvent m_event;
};

// Bounded queue of events from the worker thread that runs an attempt to the thread of the caller's connection.
class EventQueue {
public:
    // Waits while the queue is full. Returns false once the consumer has cancelled.
    bool push(RunEvent event)
    {
        absl::MutexLock lock(&m_mutex);
        const auto canPush
            = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_events.size() < CAPACITY_EVENTS || m_cancelled; };
        m_mutex.Await(absl::Condition(&canPush));
        if (!m_cancelled)
            m_events.push_back(std::move(event));
        return !m_cancelled;
    }

    std::optional<RunEvent> pop(Duration wait)
    {
        absl::MutexLock lock(&m_mutex);
        const auto ready = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return !m_events.empty() || m_cancelled; };
        m_mutex.AwaitWithTimeout(absl::Condition(&ready), absl::Milliseconds(wait.count()));
        if (m_events.empty())
            return std::nullopt;
        RunEvent event = std::move(m_events.front());
        m_events.pop_front();
        return event;
    }

    void cancel()
    {
        absl::MutexLock lock(&m_mutex);
        m_cancelled = true;
    }

    bool cancelled() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_cancelled;
    }

private:
    static constexpr std::size_t CAPACITY_EVENTS = 64;

    mutable absl::Mutex m_mutex;
    std::deque<RunEvent> m_events ABSL_GUARDED_BY(m_mutex);
    bool m_cancelled ABSL_GUARDED_BY(m_mutex) = false;
};

class LocalStream final : public IRunStream {
public:
    explicit LocalStream(std::shared_ptr<EventQueue> queue)
        : m_queue(std::move(queue))
    {
    }
    ~LocalStream() override { m_queue->cancel(); }
    LocalStream(const LocalStream&) = delete;
    LocalStream& operator=(const LocalStream&) = delete;

    RunEvent next(Duration wait) override
    {
        std::optional<RunEvent> event = m_queue->pop(wait);
        return event ? std::move(*event) : failedEvent("deadline", "no answer in time");
    }
    void cancel() override { m_queue->cancel(); }

private:
    std::shared_ptr<EventQueue> m_queue;
};

class PeerStream final : public IRunStream {
public:
    explicit PeerStream(std::shared_ptr<peer::PeerCall> call)
        : m_call(std::move(call))
    {
    }
    ~PeerStream() override { m_call->cancel(); }
    PeerStream(const PeerStream&) = delete;
    PeerStream& operator=(const PeerStream&) = delete;

    RunEvent next(Duration wait) override
    {
        const std::string piece = m_call->next(wait);
        if (!piece.empty()) {
            std::optional<RunEvent> event = decodeMessage<RunEvent>(piece);
            return event ? std::move(*event) : failedEvent("owner_protocol", "the owner's event can't be read");
        }
        switch (m_call->end()) {
        case peer::CallEnd::Refused:
            return refusedEvent("owner_busy", "the owner takes no more calls");
        case peer::CallEnd::Open:
            return failedEvent("deadline", "no answer in time");
        case peer::CallEnd::Broken:
        case peer::CallEnd::Complete:
            break;
        }
        return failedEvent("owner_lost", "the connection to the owner broke");
    }
    void cancel() override { m_call->cancel(); }

private:
    std::shared_ptr<peer::PeerCall> m_call;
};

}

RunRouter::RunRouter(
    const NodeSettings& settings, ClusterReplica& replica, OwnerExecutor& executor, peer::PeerClient& peers)
    : m_settings(settings)
    , m_replica(replica)
    , m_executor(executor)
    , m_peers(peers)
{
}

std::unique_ptr<IRunStream> RunRouter::open(const dispatch::RunRequest& request)
{
    const std::optional<membership::Member> owner
        = m_replica.read([&](const ReplicaState& state) -> std::optional<membership::Member> {
              const HostId* id = state.owners.ownerOf(request.upstream);
              const membership::Member* member = id ? state.fold.membership().find(*id) : nullptr;
              return member ? std::optional(*member) : std::nullopt;
          });
    if (!owner)
        return std::make_unique<SingleEventStream>(refusedEvent("no_owner", "the upstream has no owner"));
    if (owner->id == m_settings.host) {
        auto queue = std::make_shared<EventQueue>();
        const bool started = m_workers.run([this, queue, request] {
            m_executor.run(
                request, [&](RunEvent event) { return queue->push(std::move(event)); },
                [&] { return queue->cancelled(); });
        });
        if (!started)
            return std::make_unique<SingleEventStream>(
                refusedEvent("owner_busy", "too many requests run on this host"));
        return std::make_unique<LocalStream>(queue);
    }
    return handleFailure(
        [&]() -> Result<std::unique_ptr<IRunStream>> {
            BOOST_LEAF_AUTO(call, m_peers.call(owner->address, encodeMessage(PeerRequest(request))));
            return std::unique_ptr<IRunStream>(std::make_unique<PeerStream>(std::move(call)));
        },
        [](const Failure& it) -> std::unique_ptr<IRunStream> {
            return std::make_unique<SingleEventStream>(refusedEvent("owner_unreachable", it.message));
        });
}

}
