#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"

#include <map>
#include <optional>
#include <vector>

namespace fireflyhaven::admission {

using TicketId = StrongNumber<struct AdmissionTicketTag>;

// A request queued for dispatch to an upstream.
struct QueuedRequest {
    TicketId id;
    WorkspaceId workspace;
    // 0 is shed first, 9 last.
    int priority = 5;
    int weight = 1;
    // Latest dispatch time at which the request can still meet its deadline.
    TimePoint startBy {};
};

struct QueueOptions {
    std::size_t capacity = 256;
};

struct OfferResult {
    bool admitted = false;
    // Request of lower priority that was removed to make room.
    std::optional<TicketId> shedTicket;
};

// Queue of the requests for one upstream, ordered by priority, then by weighted fair queuing between workspaces, then
// by earliest deadline within a workspace. A full queue sheds the request of the lowest priority, provided that the new
// request has a higher one.
class AdmissionQueue {
public:
    explicit AdmissionQueue(QueueOptions options = {});

    OfferResult offer(const QueuedRequest& request);
    // Removes and returns the next request to dispatch. Skips requests whose deadline has passed; `expire` removes
    // these.
    std::optional<TicketId> pop(TimePoint now);
    // Removes the requests whose deadline has passed, and returns them.
    std::vector<TicketId> expire(TimePoint now);
    // Puts back a popped request that could not be dispatched, and restores the fair share that `pop` charged to its
    // workspace.
    void requeue(const QueuedRequest& request);
    bool remove(TicketId id);
    std::size_t size() const { return m_size; }

private:
    // Requests of one workspace and one priority, by deadline.
    struct Lane {
        std::multimap<TimePoint, QueuedRequest> requests;
        // Virtual finish time of weighted fair queuing; the lane with the earliest one is served next.
        double virtualFinish = 0;
        int weight = 1;
    };
    using Level = std::map<WorkspaceId, Lane>;

    std::optional<TicketId> shedBelow(int priority);

    QueueOptions m_options;
    // Highest priority first.
    std::map<int, Level, std::greater<>> m_levels;
    // Virtual time of weighted fair queuing, by priority.
    std::map<int, double> m_virtualTime;
    std::size_t m_size = 0;
};

}
