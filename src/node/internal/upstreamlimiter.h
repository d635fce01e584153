#pragma once

#include "fireflyhaven/admission/admissionqueue.h"
#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/dispatch/concurrencyramp.h"
#include "fireflyhaven/membership/types/heartbeat.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <set>

namespace fireflyhaven::node {

// Result of waiting for a slot at an upstream. Shed: displaced from the full queue by a request of higher priority.
enum class AcquireResult { Acquired, QueueFull, Shed, TimedOut, Cancelled };

// Limits the requests in flight at one upstream by its concurrency ramp. Blocks the threads of waiting requests and
// grants slots in the order of the admission queue.
class UpstreamLimiter {
public:
    UpstreamLimiter(dispatch::RampOptions options, const IClock& clock);

    // Waits for a slot until the request's `startBy`. After Acquired the caller must call one of the `release`
    // functions.
    AcquireResult acquire(admission::QueuedRequest request, const std::function<bool()>& cancelled);
    void releaseAnswered(std::optional<Duration> firstToken);
    void releaseFailed();
    void releaseRefused();

    void onTakeover();
    void setLimits(int coldLimit, int limit);
    void onLoadReport(const dispatch::LoadReport& report);
    membership::UpstreamLoad load(const UpstreamId& upstream) const;
    dispatch::ConcurrencyRamp::Phase phase() const;

private:
    void grantSlots() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const IClock& m_clock;
    mutable absl::Mutex m_mutex;
    dispatch::ConcurrencyRamp m_ramp ABSL_GUARDED_BY(m_mutex);
    admission::AdmissionQueue m_queue ABSL_GUARDED_BY(m_mutex);
    std::set<admission::TicketId> m_granted ABSL_GUARDED_BY(m_mutex);
    std::set<admission::TicketId> m_shed ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_lastTicket ABSL_GUARDED_BY(m_mutex) = 0;
};

}
