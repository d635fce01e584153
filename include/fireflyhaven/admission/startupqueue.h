#pragma once

#include "fireflyhaven/admission/admissionqueue.h"

#include <absl/container/flat_hash_map.h>

namespace fireflyhaven::admission {

struct StartupQueueOptions {
    // Requests wait at most until this time after the start of the process; zero if none waits.
    Duration period { 1500 };
    // Largest share of the caller's time that a request waits, so that a refused caller can still be served elsewhere.
    double maxShareOfDeadline = 0.5;
    std::size_t maxRequests = 512;
    // Limit on the memory of all waiting requests.
    std::size_t maxBytes = 8UL * 1024 * 1024;
};

// A request that arrived before the host knows how to serve it.
struct EarlyRequest {
    TicketId id;
    // Memory that the request holds.
    std::size_t bytes = 0;
    // Time that the caller is willing to wait; no value if it did not say.
    std::optional<Duration> deadline;
    // In [0, 1); differs between requests, so that they are not all refused at the same time.
    double spread = 0;
};

// Limits the requests that wait at the start of a host for the configuration and the upstreams to be loaded: their
// number, their memory and their time. Does no I/O.
class StartupQueue {
public:
    // `startedAt` is the start of the process.
    StartupQueue(StartupQueueOptions options, TimePoint startedAt);

    // Returns the time until which the request waits; no value if it is to be refused at once.
    std::optional<TimePoint> offer(const EarlyRequest& request, TimePoint now);
    void remove(TicketId id);
    std::size_t size() const { return m_bytes.size(); }
    std::size_t bytes() const { return m_totalBytes; }

private:
    const StartupQueueOptions m_options;
    const TimePoint m_startedAt;
    // Memory of each waiting request.
    absl::flat_hash_map<TicketId, std::size_t> m_bytes;
    std::size_t m_totalBytes = 0;
};

}
