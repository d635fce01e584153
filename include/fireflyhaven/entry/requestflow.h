#pragma once

#include "fireflyhaven/balancing/balancer.h"
#include "fireflyhaven/dispatch/retrybudget.h"
#include "fireflyhaven/entry/eventsplitter.h"
#include "fireflyhaven/entry/types/request.h"
#include "fireflyhaven/http/eventclient.h"

namespace fireflyhaven::entry {

// One send of a request to an upstream.
struct AttemptPlan {
    http::Endpoint address;
    UpstreamOrder order;
    Duration connectTimeout {};
    // Opens a connection of its own, so that a peer that closes an idle one can't lose the request.
    bool freshConnection = false;
};

// What a request's flow tells its driver to do. At most one attempt is open at a time.
class IFlowActions {
public:
    virtual ~IFlowActions() = default;
    virtual void startAttempt(const AttemptPlan& plan) = 0;
    // Closes the attempt's connection, so that the upstream stops working on it.
    virtual void cancelAttempt() = 0;
    // Begins to pass an upstream's answer on; pieces and `finish` or `abort` follow.
    virtual void sendHead(const http::ResponseHead& upstream) = 0;
    virtual void sendPiece(std::string_view bytes) = 0;
    virtual void finish() = 0;
    // Breaks the answer off, so that it can't be taken for a complete one.
    virtual void abort() = 0;
    // Passes a whole answer of an upstream on.
    virtual void answerWhole(const http::ResponseHead& upstream, std::string_view body) = 0;
    // Answers in the system's own name.
    virtual void answerOwn(int status, std::optional<Duration> retryAfter) = 0;
    // Asks for a call of `onTimer` at this time; replaces an earlier wish.
    virtual void wakeAt(TimePoint time) = 0;
};

// What the flows of one host share.
struct FlowContext {
    const catalog::Catalog& catalog;
    balancing::Balancer& balancer;
    dispatch::RetryBudget& retries;
    // Whether what was read from the store is recent enough to act on a key.
    std::function<bool(TimePoint)> mayUseKeys;
};

// The way of one request: received, waiting, sent, answered. A state machine without I/O.
class RequestFlow {
public:
    RequestFlow(FlowContext& context, IFlowActions& actions, CallerRequest request);
    ~RequestFlow();
    RequestFlow(const RequestFlow&) = delete;
    RequestFlow& operator=(const RequestFlow&) = delete;

    void begin(TimePoint now);
    http::HeadVerdict onAttemptHead(const AnswerFacts& facts, const http::ResponseHead& head, TimePoint now);
    void onAttemptPiece(std::string_view piece, TimePoint now);
    void onAttemptEnd(TimePoint now);
    void onAttemptFailed(http::SendState state, const std::string& reason, TimePoint now);
    void onTimer(TimePoint now);
    void onCallerGone();
    bool isDone() const { return m_stage == Stage::Done; }

private:
    enum class Stage {
        Received,
        // An attempt is open, its head has not come.
        AwaitingHead,
        // The whole answer is collected before any of it is passed on.
        Collecting,
        // Events are passed on as they come.
        Streaming,
        Done,
    };

    // Answers at once where the request can't be routed; otherwise sets route and caller.
    bool admit(TimePoint now);
    void attempt(TimePoint now);
    void send(const catalog::UpstreamState& target, TimePoint now);
    void attemptOver();
    // Tries another upstream where the rules allow it; `ran` tells whether the last one may have run the request.
    bool tryAgain(bool ran, TimePoint now);
    void giveUp(bool ran);
    void onBroken(bool ran, TimePoint now);
    void passEvent(const StreamEvent& event);
    void answerOwn(int status, std::optional<Duration> retryAfter = std::nullopt);
    void end();

    FlowContext& m_context;
    IFlowActions& m_actions;
    const CallerRequest m_request;
    Stage m_stage = Stage::Received;
    std::shared_ptr<const catalog::Route> m_route;
    std::optional<catalog::Caller> m_caller;
    TimePoint m_deadline {};
    // Upstreams that this request was sent to.
    std::vector<UpstreamId> m_tried;
    std::optional<UpstreamId> m_upstream;
    // Whether an upstream may have run the request.
    bool m_mayHaveRun = false;
    AnswerFacts m_facts;
    http::ResponseHead m_head;
    std::string m_collected;
    EventSplitter m_splitter;
    bool m_headSent = false;
    std::optional<std::uint64_t> m_lastEventId;
};

}
