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

enum class GateVerdict { Entered, QueueFull, Shed, TooLate, Cancelled };

// Lets requests through to one upstream: holds the ramp and the queue, and blocks the threads of requests that wait.
class UpstreamGate {
public:
    UpstreamGate(dispatch::RampOptions options, const IClock& clock);

    // Waits for the request's turn. After Entered the caller must call one of the `leave` functions.
    GateVerdict enter(admission::QueuedRequest request, const std::function<bool()>& cancelled);
    void leaveAnswered(std::optional<Duration> firstToken);
    void leaveFailed();
    void leaveRefused();

    void onTakeover();
    void setLimits(int coldLimit, int limit);
    void onLoadReport(const dispatch::LoadReport& report);
    membership::UpstreamLoad load(const UpstreamId& upstream) const;
    dispatch::ConcurrencyRamp::Phase phase() const;

private:
    void grantTurns() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const IClock& m_clock;
    mutable absl::Mutex m_mutex;
    dispatch::ConcurrencyRamp m_ramp ABSL_GUARDED_BY(m_mutex);
    admission::AdmissionQueue m_queue ABSL_GUARDED_BY(m_mutex);
    std::set<admission::TicketId> m_granted ABSL_GUARDED_BY(m_mutex);
    std::set<admission::TicketId> m_shed ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_lastTicket ABSL_GUARDED_BY(m_mutex) = 0;
};

}
