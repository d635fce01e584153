#pragma once

#include "fireflyhaven/admission/admissionqueue.h"

#include <optional>

namespace fireflyhaven::admission {

struct ServiceQueueOptions {
    // Maximum number of queued requests per service.
    std::size_t capacity = 512;
    // Initial estimate of the start rate, in requests per second.
    double initialStartRate = 50;
};

// A request to be queued until an upstream of its service has capacity.
struct WaitingRequest {
    TicketId id;
    ServiceName service;
    WorkspaceId workspace;
    // 0 is the most urgent.
    int priority = 5;
    // Latest start time at which the request can still meet its deadline.
    TimePoint startBy {};
};

struct AdmissionResult {
    // Set where the request is rejected: the expected wait, after which a retry may succeed.
    std::optional<Duration> retryDelay;
    // Request of lower urgency that was removed to make room.
    std::optional<TicketId> shedTicket;
};

// One queue per service for requests that no upstream can take yet, with fair queuing between workspaces. Rejects a
// request at once if it is not expected to start in time for its deadline. Does no I/O.
class ServiceQueues {
public:
    explicit ServiceQueues(ServiceQueueOptions options = {});

    AdmissionResult offer(const WaitingRequest& request, TimePoint now);
    // Removes and returns the next request of the service.
    std::optional<TicketId> popNext(const ServiceName& service, TimePoint now);
    // Puts back a popped request that could not be started, at its former position.
    void requeue(const WaitingRequest& request);
    void remove(const ServiceName& service, TicketId id);
    // Records that a request of the service was sent to an upstream, for the estimate of the start rate.
    void onStarted(const ServiceName& service, TimePoint now);

    Duration expectedWait(const ServiceName& service, TimePoint now) const;
    // Services with at least one queued request.
    std::vector<ServiceName> servicesWithRequests() const;
    std::size_t size() const;

private:
    struct ServiceQueue {
        explicit ServiceQueue(QueueOptions options)
            : queue(options)
        {
        }
        AdmissionQueue queue;
        // Started requests per second, as a moving average over the intervals between starts.
        double startRate = 0;
        TimePoint lastStart {};
    };

    static QueuedRequest toQueuedRequest(const WaitingRequest& request);
    ServiceQueue& queueFor(const ServiceName& service);

    const ServiceQueueOptions m_options;
    std::map<ServiceName, ServiceQueue> m_queues;
};

}
