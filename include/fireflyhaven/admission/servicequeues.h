#pragma once

#include "fireflyhaven/admission/admissionqueue.h"

#include <optional>

namespace fireflyhaven::admission {

struct WaitingRoomOptions {
    // Requests that may wait for one service.
    std::size_t capacity = 512;
    // Starts a second that are assumed until some were seen.
    double firstRate = 50;
};

// A request that wants to wait for an upstream of a service.
struct WaitingRequest {
    TicketId id;
    ServiceName service;
    WorkspaceId workspace;
    // 0 is the most urgent.
    int priority = 5;
    // Latest time at which a start still makes sense.
    TimePoint startBy {};
};

struct WaitingResult {
    // Set where the request may not wait: the time after which it would have a chance.
    std::optional<Duration> refusedFor;
    // A less urgent request that had to leave.
    std::optional<TicketId> shed;
};

// Requests that wait until an upstream of their service can take them, in an order that is fair between workspaces.
// Refuses at once what would not get its turn in time. Does no I/O.
class WaitingRoom {
public:
    explicit WaitingRoom(WaitingRoomOptions options = {});

    WaitingResult offer(const WaitingRequest& request, TimePoint now);
    // The request that is next in turn for the service; it no longer waits.
    std::optional<TicketId> next(const ServiceName& service, TimePoint now);
    // The request could not be started after all: it waits on in its place.
    void putBack(const WaitingRequest& request);
    void remove(const ServiceName& service, TicketId id);
    // A request of the service was sent to an upstream.
    void onStarted(const ServiceName& service, TimePoint now);

    Duration expectedWait(const ServiceName& service, TimePoint now) const;
    std::vector<ServiceName> servicesWithRequests() const;
    std::size_t size() const;

private:
    struct Line {
        explicit Line(QueueOptions options)
            : queue(options)
        {
        }
        AdmissionQueue queue;
        // Starts a second, averaged over the last ones.
        double rate = 0;
        TimePoint lastStart {};
    };

    static Waiting toWaiting(const WaitingRequest& request);
    Line& lineOf(const ServiceName& service);

    const WaitingRoomOptions m_options;
    std::map<ServiceName, Line> m_lines;
};

}
