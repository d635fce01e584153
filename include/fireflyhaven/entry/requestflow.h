#pragma once

#include "fireflyhaven/entry/eventsplitter.h"
#include "fireflyhaven/entry/requesttarget.h"
#include "fireflyhaven/http/eventclient.h"

namespace fireflyhaven::entry {

// One send of a request to an upstream.
struct AttemptPlan {
    http::Endpoint address;
    UpstreamOrder order;
    Duration connectTimeout {};
    // Longest idle time of a connection that may be used again; no value for any.
    std::optional<Duration> freshFor;
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

// The way of one request: received, waiting, sent, answered. A state machine without I/O. Never sends a second time
// what may have run and may not be repeated, and says "not run" only of what surely was not.
class RequestFlow {
public:
    RequestFlow(FlowContext& context, IFlowActions& actions, CallerRequest request);
    // Gives back what the request holds, wherever it stands.
    ~RequestFlow();
    RequestFlow(const RequestFlow&) = delete;
    RequestFlow& operator=(const RequestFlow&) = delete;

    void begin(TimePoint now);
    http::HeadVerdict onAttemptHead(const AnswerFacts& facts, const http::ResponseHead& head, TimePoint now);
    void onAttemptPiece(std::string_view piece, TimePoint now);
    void onAttemptEnd(TimePoint now);
    void onAttemptFailed(http::SendState state, const std::string& reason, TimePoint now);
    void onTimer(TimePoint now);
    void onCallerGone(TimePoint now);
    // It is this request's turn; false where no upstream can take it yet.
    bool onTurn(TimePoint now);
    // It had to leave the waiting room for a more urgent request.
    void onShed(TimePoint now);

    bool isDone() const { return m_stage == Stage::Done; }
    admission::TicketId waitingTicket() const { return m_waitingTicket; }

private:
    enum class Stage {
        Received,
        // No upstream can take it yet.
        Waiting,
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
    bool identify(TimePoint now);
    // Sends the request, lets it wait, or refuses it.
    void dispatch(TimePoint now);
    bool trySend(TimePoint now);
    void waitOrRefuse(TimePoint now);
    admission::WaitingRequest waitingRequest() const;
    void send(balancing::Ticket ticket, TimePoint now);
    void startAttempt(const catalog::Upstream& upstream, TimePoint now);
    // The open attempt is over; its upstream is told of by the outcome.
    void attemptOver(balancing::SendOutcome outcome, TimePoint now);
    void onBroken(bool ran, std::string_view reason, TimePoint now);
    void sendAgain(std::string_view reason, TimePoint now);
    // Gives up an attempt without progress, where another one may follow.
    void onNoProgress(TimePoint now);
    void takeNotices(TimePoint now);
    TimePoint nextEventBy(TimePoint now) const;
    bool mayTryAgain(bool ran, TimePoint now) const;
    // Asks a larger model where the answer's confidence is too low; true where it does.
    bool escalate(TimePoint now);
    bool isCongested(const balancing::Outlook& outlook) const;
    void judgeVersion(bool failed, std::optional<quality::LatencySample> time, TimePoint now);
    std::optional<quality::LatencySample> timeSample(TimePoint now) const;
    std::optional<double> reportedLoad() const;
    void onWholeAnswer(TimePoint now);
    void passEvent(const StreamEvent& event);
    void giveUp(std::string_view reason, TimePoint now);
    void refuse(int status, std::optional<Duration> retryAfter, std::string_view reason, TimePoint now);
    void answerOwn(
        FlowStep step, int status, std::optional<Duration> retryAfter, std::string_view reason, TimePoint now);
    void end();
    void arm();
    void report(FlowEvent event, TimePoint now);
    FlowEvent event(FlowStep step, std::string_view reason = {}) const;
    void noteSession(TimePoint now);

    FlowContext& m_context;
    IFlowActions& m_actions;
    const CallerRequest m_request;
    const admission::TicketId m_waitingTicket;
    RequestTarget m_target;
    Stage m_stage = Stage::Received;
    std::shared_ptr<const catalog::Route> m_route;
    std::optional<catalog::Caller> m_caller;
    TimePoint m_receivedAt {};
    TimePoint m_deadline {};
    // Without progress until then the open attempt is given up; no value where it is left to the deadline.
    std::optional<TimePoint> m_attemptDeadline;
    // Sends that an upstream may have received.
    int m_sends = 0;
    int m_connectFailures = 0;
    // Whether an upstream may have run the request.
    bool m_mayHaveRun = false;
    std::optional<balancing::Ticket> m_ticket;
    // The one that was asked last, for the log.
    std::optional<UpstreamId> m_lastUpstream;
    catalog::SoftwareVersion m_version;
    bool m_sentToCold = false;
    AnswerFacts m_facts;
    http::ResponseHead m_head;
    std::string m_collected;
    EventSplitter m_splitter;
    bool m_headSent = false;
    std::optional<std::uint64_t> m_lastEventId;
};

}
