#pragma once

#include "fireflyhaven/admission/servicequeues.h"
#include "fireflyhaven/admission/startupqueue.h"
#include "fireflyhaven/balancing/balancer.h"
#include "fireflyhaven/balancing/upstreamreach.h"
#include "fireflyhaven/dispatch/retrybudgets.h"
#include "fireflyhaven/entry/ilimitlink.h"
#include "fireflyhaven/entry/types/flowevent.h"
#include "fireflyhaven/poison/poisonguard.h"
#include "fireflyhaven/ratelimit/limittable.h"
#include "fireflyhaven/rollout/rolloutcontroller.h"
#include "fireflyhaven/routing/escalationpolicy.h"

namespace fireflyhaven::entry {

// State of this host that the request flows depend on.
class IHostView {
public:
    virtual ~IHostView() = default;
    // Whether the configuration and the registered upstreams have been read completely since the start.
    virtual bool isCatalogLoaded() const = 0;
    // Whether the operator's records were confirmed recently enough to accept an API key.
    virtual bool mayAcceptKeys(TimePoint now) const = 0;
    // Whether the local copy of the store is current, so that a route or key missing from it does not exist.
    virtual bool isCatalogCurrent(TimePoint now) const = 0;
    // Whether this host cannot show that its configuration is in force, although other hosts reach the store and can.
    virtual bool isBehindOthers(TimePoint now) const = 0;
    // Time since the operator's records were last confirmed; negative if they never were.
    virtual Duration configurationAge(TimePoint now) const = 0;
    // Number of hosts that may be sending to upstreams, including this one.
    virtual int sendingHostCount(TimePoint now) const = 0;
    // Whether requests of this kind may start here. A draining host rejects long-running kinds first.
    virtual bool acceptsRequests(catalog::RouteKind kind, TimePoint now) const = 0;
};

struct FlowOptions {
    Duration connectTimeout { 300 };
    // An attempt of a repeatable request times out after `timeoutFactor` times its expected time to first token, but
    // not before these minimums.
    Duration minServiceTimeout { 200 };
    Duration minStreamingTimeout { 1200 };
    int timeoutFactor = 4;
    // Longest gap between two events before a stream is resumed at another upstream, as a multiple of the route's
    // target gap. The upstream's pending prefill time is added to it.
    double eventGapFactor = 1.5;
    // A request escalates to a larger model only while the expected wait plus half of its own processing time is at
    // most this fraction of the service's tightest latency target, because its prefill delays all other requests. A
    // wait of at most `uncongestedWait` always permits it.
    double escalationTargetFraction = 0.5;
    Duration uncongestedWait { 100 };
    // An unanswered request for a permit counts as refused after `permitTimeout`. No more are made for the same
    // upstream during `unansweredPermitPause`.
    Duration permitTimeout { 60 };
    Duration unansweredPermitPause { 300 };
    // A permit that became valid longer ago than this is not used.
    Duration maxPermitAge { 250 };
    // Longest idle time of a connection that is reused for a request that must not be repeated.
    Duration maxReuseIdleTime { 2000 };
};

// Objects and options shared by all request flows of a host.
struct FlowContext {
    const catalog::Catalog& catalog;
    balancing::Balancer& balancer;
    routing::EscalationPolicy& escalationPolicy;
    rollout::RolloutController& rollouts;
    dispatch::RetryBudgets& retries;
    admission::ServiceQueues& serviceQueues;
    admission::StartupQueue& startupQueue;
    ratelimit::LimitTable& limits;
    ILimitLink& limitLink;
    poison::PoisonGuard& poisonGuard;
    balancing::UpstreamReach& reach;
    const IHostView& host;
    IFlowObserver& observer;
    FlowOptions options;
    std::uint64_t nextTicket = 1;
    // Tickets of requests that more urgent ones displaced from a service queue, and whose flows have not been notified
    // yet.
    std::vector<admission::TicketId> shedTickets;
};

}
