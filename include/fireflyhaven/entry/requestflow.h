#pragma once

#include "fireflyhaven/entry/eventsplitter.h"
#include "fireflyhaven/entry/attemptevidence.h"
#include "fireflyhaven/entry/escalation.h"
#include "fireflyhaven/entry/permitwait.h"
#include "fireflyhaven/entry/requesttarget.h"
#include "fireflyhaven/http/eventclient.h"

namespace fireflyhaven::entry {

// Parameters of one send of a request to an upstream.
struct AttemptPlan {
    http::Endpoint address;
    UpstreamDirectives directives;
    Duration connectTimeout {};
    // Longest idle time of a connection that may be reused; no value for no limit.
    std::optional<Duration> maxReuseIdleTime;
};

// I/O operations that a request flow requests from its driver. At most one attempt is open at a time.
class IFlowActions {
public:
    virtual ~IFlowActions() = default;
    virtual void startAttempt(const AttemptPlan& plan) = 0;
    // Closes the attempt's connection, so that the upstream stops processing the request.
    virtual void cancelAttempt() = 0;
    // Starts forwarding an upstream's response. Calls of `sendData` follow, then `finish` or `abort`.
    virtual void sendHead(const http::ResponseHead& upstream) = 0;
    virtual void sendData(std::string_view bytes) = 0;
    virtual void finish() = 0;
    // Breaks the caller's connection, so that the response cannot be mistaken for a complete one.
    virtual void abort() = 0;
    // Forwards a buffered response of an upstream.
    virtual void forwardResponse(const http::ResponseHead& upstream, std::string_view body) = 0;
    // Sends a response that this host generates itself.
    virtual void sendLocalResponse(int status, std::optional<Duration> retryAfter) = 0;
    // Schedules a call of `onTimer`, replacing any earlier schedule.
    virtual void scheduleTimer(TimePoint time) = 0;
    // Whether the caller has left, also if `onCallerGone` has not been called yet.
    virtual bool hasCallerLeft() const = 0;
};

// State machine for one request: admission, queuing, attempts and response. Does no I/O. Never repeats a request that
// may have run and must not be repeated, and reports a request as not run only if no upstream can have run it.
class RequestFlow {
public:
    RequestFlow(FlowContext& context, IFlowActions& actions, CallerRequest request);
    // Removes the request from its service queue and releases its balancer ticket, whatever its stage.
    ~RequestFlow();
    RequestFlow(const RequestFlow&) = delete;
    RequestFlow& operator=(const RequestFlow&) = delete;

    void begin(TimePoint now);
    http::HeadVerdict onAttemptHead(const ResponseInfo& info, const http::ResponseHead& head, TimePoint now);
    void onAttemptData(std::string_view bytes, TimePoint now);
    void onAttemptEnd(TimePoint now);
    void onAttemptFailed(http::SendState state, const std::string& reason, TimePoint now);
    void onTimer(TimePoint now);
    // Called when this host has loaded the configuration and the upstreams for the first time.
    void onCatalogLoaded(TimePoint now);
    void onCallerGone(TimePoint now);
    // Called when the request was taken from its service queue to be sent. Returns false if no upstream can take it
    // yet; the request is then put back into the queue.
    bool onDequeued(TimePoint now);
    // Called with the decision on a permit that the flow has asked for.
    void onPermitDecision(const ratelimit::PermitDecision& decision, TimePoint now);
    // Called right before the process exits: answers the request, as not run if no upstream can have run it.
    void onHostStops(TimePoint now);
    // Called when a more urgent request has displaced this one from the service queue.
    void onShed(TimePoint now);

    bool isDone() const { return m_stage == Stage::Done; }
    admission::TicketId waitingTicket() const { return m_waitingTicket; }
    // Priority of the request by the present configuration; 0 is the most urgent.
    int priority() const;

private:
    enum class Stage {
        // Neither queued nor sent.
        Received,
        // In the startup queue until this host has loaded the configuration and the upstreams.
        AwaitingCatalog,
        // In a service queue until an upstream can take it.
        Waiting,
        // Neither queued nor sent; waits for the permit to be sent to a limited upstream.
        AwaitingPermit,
        // An attempt is open and its response head has not arrived.
        AwaitingHead,
        // An answer of low confidence is held back until the permit for a larger model is granted or refused.
        HoldingAnswer,
        // The whole response is buffered before any of it is forwarded.
        Buffering,
        // Events are forwarded as they arrive.
        Streaming,
        Done,
    };

    // Puts the request into the startup queue; returns false if that does not take it.
    bool awaitCatalog(TimePoint now);
    // Admits and dispatches the request.
    void start(TimePoint now);
    // Sets the route and the caller; returns false if the request was answered because it cannot be routed.
    bool admit(TimePoint now);
    // Whether the request needs an API key by the present configuration.
    bool needsCaller() const;
    // Sets the caller, or rejects the request and returns false.
    bool authenticate(TimePoint now);
    // Sends the request, queues it, or refuses it.
    void dispatch(TimePoint now);
    // Fails the request and returns false if its key is no longer valid. A request that was not sent yet follows its
    // key to another workspace.
    bool keyIsValid(TimePoint now);
    // Who holds the request's key by the present configuration; no value if nobody does.
    std::optional<catalog::Caller> presentCaller() const;
    // Ends the request and returns false if its time is over or its caller has left.
    bool isAwaited(TimePoint now);
    // Ends the request and returns false if it is not awaited, its key is no longer valid, or it crashes upstreams.
    bool maySend(TimePoint now);
    // Ends the request and returns true if it is one that crashes upstreams.
    bool failIfItCrashesUpstreams(TimePoint now);
    // Whether the request may be sent again while its present attempt is open.
    bool maySendBeside(TimePoint now);
    // Takes an upstream for another attempt, while the present one is open; no value if none can begin.
    std::optional<balancing::Ticket> pickBeside(
        const balancing::UpstreamRequirements& requirements, const std::optional<UpstreamId>& permitted, TimePoint now);
    // Sends the request or asks for the permit to; returns false if neither is possible.
    bool trySend(TimePoint now);
    // Sends the request to the upstream that a permit was granted for, or to one without a limit; returns false if none
    // can take it.
    bool sendNow(
        const balancing::UpstreamRequirements& requirements, const std::optional<UpstreamId>& permitted, TimePoint now);
    // Sends the request with a permit, or dispatches it anew without one.
    void sendPermitted(const std::optional<UpstreamId>& permitted, TimePoint now);
    void onPermitTimer(TimePoint now);
    void onPermitRefused(TimePoint now);
    void enqueueOrRefuse(TimePoint now);
    admission::WaitingRequest waitingRequest() const;
    void send(balancing::Ticket ticket, TimePoint now);
    void startAttempt(const catalog::Upstream& upstream, TimePoint now);
    // Ends the open attempt, if any, and reports its outcome to the balancer.
    void closeAttempt(balancing::SendOutcome outcome, TimePoint now);
    void reportConnectionLost(TimePoint now);
    // Handles an attempt that ended without a response that can be forwarded.
    void onAttemptUnusable(balancing::SendOutcome outcome, std::string_view reason, TimePoint now);
    void resend(std::string_view reason, const std::optional<UpstreamId>& permitted, TimePoint now);
    // Answers the request as timed out, or as not run.
    void onTimeOver(TimePoint now);
    // Replaces an attempt that makes no progress if another one can begin, or asks for the permit to.
    void onProgressTimeout(TimePoint now);
    // Returns false if no other attempt can begin; the present one then goes on.
    bool replaceAttempt(const std::optional<UpstreamId>& permitted, TimePoint now);
    // The permit that the replacement of a silent attempt needs; no value if it needs none or cannot begin.
    std::optional<balancing::PermitNeed> permitBeside(TimePoint now);
    // Requirements on an upstream that replaces the present one, which makes no progress.
    balancing::UpstreamRequirements requirementsBesideSilent(TimePoint now) const;
    // Cancels an answer of which the caller has received nothing.
    void dropAnswer(TimePoint now);
    // Starts to forward or to buffer the response whose head has arrived.
    void beginAnswer(TimePoint now);
    // Goes on with the answer that was held back for a larger model.
    void releaseHeldAnswer(TimePoint now);
    bool holdsWholeAnswer() const { return m_stage == Stage::HoldingAnswer && m_heldAnswerEnded; }
    // The open attempt has made progress: its replacement is no longer wanted, and its time begins anew.
    void onProgress(TimePoint now);
    // Applies the draining, backoff and limit notices that the upstream sent with its response.
    void applyUpstreamNotices(TimePoint now);
    TimePoint nextEventDeadline(TimePoint now) const;
    bool mayRetry(bool mayHaveRun, TimePoint now) const;
    // Dispatches the request to a larger model if the response's confidence is too low, or holds the answer until the
    // permit for that is decided; returns false if the answer is to be used.
    bool escalate(TimePoint now);
    // Returns false if the larger model cannot begin and the answer at hand is to be used; true if it begins or the
    // request has ended.
    bool escalateTo(const Escalation& escalation, const std::optional<UpstreamId>& permitted, TimePoint now);
    // Tells the roll-outs of an attempt that is given up before its first token.
    void recordGivenUpAttempt(TimePoint now);
    void onBufferedResponse(TimePoint now);
    void forwardEvent(const StreamEvent& event);
    // Aborts a response that is partly sent; otherwise answers 502 if the request may have run and 503 if it has not.
    // `retryAfter` replaces the estimate of the service queue.
    void failRequest(std::string_view reason, TimePoint now, const std::optional<Duration>& retryAfter = std::nullopt);
    void refuse(int status, std::optional<Duration> retryAfter, std::string_view reason, TimePoint now);
    Duration spread(Duration retryAfter, double minFactor, double maxFactor) const;
    void respondLocally(
        FlowStep step, int status, std::optional<Duration> retryAfter, std::string_view reason, TimePoint now);
    // Removes the request from the queue that it waits in, if any.
    void leaveQueue();
    void end();
    void armTimer();
    void reportFailedAttempt(std::string_view reason, TimePoint now);
    void report(FlowEvent event, TimePoint now);
    FlowEvent event(FlowStep step, std::string_view reason = {}) const;

    FlowContext& m_context;
    IFlowActions& m_actions;
    const CallerRequest m_request;
    const admission::TicketId m_waitingTicket;
    const poison::RequestSuspects m_suspects;
    RequestTarget m_target;
    Stage m_stage = Stage::Received;
    std::shared_ptr<const catalog::Route> m_route;
    std::optional<catalog::Caller> m_caller;
    TimePoint m_receivedAt {};
    TimePoint m_deadline {};
    // The open attempt times out if it makes no progress until then; no value if only the request's deadline applies.
    std::optional<TimePoint> m_attemptDeadline;
    // Longest time that the open attempt of a repeatable request may make no progress, but between events.
    Duration m_attemptTimeout {};
    // Whether the open attempt makes no progress and no other upstream could take the request.
    bool m_isSilent = false;
    // Sends that an upstream may have received.
    int m_sends = 0;
    int m_connectFailures = 0;
    // Whether an upstream may have run the request.
    bool m_mayHaveRun = false;
    std::optional<balancing::Ticket> m_ticket;
    AttemptEvidence m_evidence;
    PermitWait m_permit;
    std::optional<poison::Refusal> m_refusal;
    // Upstream of the latest attempt, for the log.
    std::optional<UpstreamId> m_lastUpstream;
    // When the head of the latest attempt's response arrived; no value if it has not.
    std::optional<TimePoint> m_headAt;
    ResponseInfo m_responseInfo;
    http::ResponseHead m_head;
    std::string m_body;
    // The escalation that an answer is held back for, and what has arrived of that answer.
    Escalation m_escalation;
    std::string m_heldBytes;
    bool m_heldAnswerEnded = false;
    EventSplitter m_splitter;
    bool m_headSent = false;
    std::optional<std::uint64_t> m_lastEventId;
};

}
