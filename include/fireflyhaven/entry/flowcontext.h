#pragma once

#include "fireflyhaven/admission/servicequeues.h"
#include "fireflyhaven/balancing/balancer.h"
#include "fireflyhaven/dispatch/retrybudgets.h"
#include "fireflyhaven/entry/types/flowevent.h"
#include "fireflyhaven/rollout/rolloutboard.h"
#include "fireflyhaven/routing/escalationpolicy.h"

namespace fireflyhaven::entry {

// What a request's flow needs to know of its host.
class IHostView {
public:
    virtual ~IHostView() = default;
    // Whether what was read from the store is recent enough to act on a key.
    virtual bool mayUseKeys(TimePoint now) const = 0;
    // Whether a route or key that is not known surely does not exist.
    virtual bool knowsAll(TimePoint now) const = 0;
    // Age of what is known of the operator's records.
    virtual Duration configurationAge(TimePoint now) const = 0;
    // Hosts that may be sending to upstreams, this one included.
    virtual int sharers(TimePoint now) const = 0;
    // Whether requests of the kind may begin here; a host that leaves service soon takes only short ones.
    virtual bool takesRequests(catalog::RouteKind kind, TimePoint now) const = 0;
};

struct FlowOptions {
    Duration connectTimeout { 300 };
    // A send that may be repeated is given up without an answer after a multiple of what was expected, at least this.
    Duration leastServiceWait { 200 };
    Duration leastModelWait { 1200 };
    int expectedFactor = 4;
    // Longest pause in a stream before it is resumed elsewhere, as a factor of the longest pause in time, beside the
    // time that its upstream needs for the prompts it reads.
    double gapFactor = 1.5;
    // A larger model is asked while the wait ahead of it, with half of its own time, stays under this part of the
    // tightest target of the service: its prompts hold up all others. Below the idle wait it is always asked.
    double escalationPart = 0.5;
    Duration idleWait { 100 };
    // Idle time after which a connection is not used for a request that may run once only.
    Duration freshFor { 2000 };
};

// What the flows of one host share.
struct FlowContext {
    const catalog::Catalog& catalog;
    balancing::Balancer& balancer;
    routing::EscalationPolicy& ladder;
    rollout::RolloutBoard& rollouts;
    dispatch::RetryBudgets& retries;
    admission::ServiceQueues& waiting;
    const IHostView& host;
    IFlowObserver& observer;
    FlowOptions options;
    std::uint64_t nextTicket = 1;
    // Waiting requests that had to give way to more urgent ones and have not been told yet.
    std::vector<admission::TicketId> shedTickets;
};

}
