#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"

#include <map>
#include <optional>
#include <vector>

namespace fireflyhaven::admission {

using TicketId = StrongNumber<struct AdmissionTicketTag>;

// A request that waits for its turn at an upstream.
struct Waiting {
    TicketId id;
    WorkspaceId workspace;
    // 0 is shed first, 9 last.
    int priority = 5;
    int weight = 1;
    // Latest time at which sending still makes sense.
    TimePoint startBy {};
};

struct QueueOptions {
    std::size_t capacity = 256;
};

struct OfferResult {
    bool admitted = false;
    // A less important request that had to give way.
    std::optional<TicketId> shed;
};

// Orders the requests that wait at one upstream: by priority, then weighted fairness between workspaces, then the
// earliest deadline within a workspace. When full, sheds the least important request.
class AdmissionQueue {
public:
    explicit AdmissionQueue(QueueOptions options = {});

    OfferResult offer(const Waiting& request);
    // Next request to send; requests that can no longer meet their deadline are skipped until `expire` takes them out.
    std::optional<TicketId> pop(TimePoint now);
    // Takes out the requests that can no longer meet their deadline.
    std::vector<TicketId> expire(TimePoint now);
    // Gives a request that was popped, and could not be sent after all, its place and its workspace's turn back.
    void putBack(const Waiting& request);
    bool remove(TicketId id);
    std::size_t size() const { return m_size; }

private:
    // Requests of one workspace at one priority, by deadline.
    struct Lane {
        std::multimap<TimePoint, Waiting> requests;
        double finish = 0;
        int weight = 1;
    };
    using Level = std::map<WorkspaceId, Lane>;

    std::optional<TicketId> shedBelow(int priority);

    QueueOptions m_options;
    // Highest priority first.
    std::map<int, Level, std::greater<>> m_levels;
    std::map<int, double> m_virtualTime;
    std::size_t m_size = 0;
};

}
